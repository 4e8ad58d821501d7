#ifndef HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP
#define HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Outcome of one call.
struct CallRecord {
  wire::CallOutcome Outcome = wire::CALL_OUTCOME_UNKNOWN;
  std::uint32_t Attempt = 0; ///< newest attempt that ran or was refused
  std::string Claim;
  wire::CallReply Reply; ///< set with CALL_OUTCOME_DONE
  TimePoint UpdatedAt{};
};

struct OutcomeLimits {
  milliseconds Retention{600'000};        ///< how long an ended call is kept
  std::size_t MaxRecords = 100'000;       ///< calls kept at most
  std::size_t MaxReplyBytes = 64U << 20U; ///< total size of kept bodies
};

/// Stores the outcomes of calls by request id and by claim id, so that a
/// non-repeatable call runs at most once. A record is never dropped before its
/// retention time has passed: while the store is full, the caller must refuse
/// new calls. When the kept bodies exceed MaxReplyBytes, the oldest replies are
/// dropped and their calls report an unknown outcome.
class CallOutcomes {
public:
  explicit CallOutcomes(OutcomeLimits Limits) : Limits(Limits) {}

  /// Returns the record of the call that ran under \p Claim, else the record of
  /// \p RequestId, else null.
  const CallRecord *find(const std::string &RequestId,
                         const std::string &Claim) const;

  /// True if no record of another call fits. The caller has to check this
  /// before it accepts a call.
  bool full() const { return Records.size() >= Limits.MaxRecords; }

  /// Records that a call was sent to the service.
  void recordStart(const std::string &RequestId, std::uint32_t Attempt,
                   const std::string &Claim, TimePoint Now);
  /// Records how a started call ended.
  void recordResult(const std::string &RequestId, wire::CallOutcome Outcome,
                    wire::CallReply Reply, TimePoint Now);

  /// Records that no attempt up to \p Attempt has run or will run.
  void recordNotRun(const std::string &RequestId, std::uint32_t Attempt,
                    TimePoint Now);

  /// Drops the records of calls that ended longer than Retention ago.
  void expire(TimePoint Now);

  std::size_t size() const { return Records.size(); }

private:
  void evictReplies();

  OutcomeLimits Limits;
  std::unordered_map<std::string, CallRecord> Records;
  std::unordered_map<std::string, std::string> RequestByClaim;
  std::deque<std::pair<TimePoint, std::string>> EndedCalls; ///< oldest first
  std::deque<std::string> ReplyQueue;                       ///< oldest first
  std::size_t ReplyBytes = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP
