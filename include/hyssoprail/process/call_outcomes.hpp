#ifndef HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP
#define HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// What became of one call.
struct CallRecord {
  wire::CallOutcome Outcome = wire::CALL_OUTCOME_UNKNOWN;
  std::uint32_t Attempt = 0; ///< attempt that ran or was refused
  std::string Claim;
  wire::CallReply Reply; ///< set with CALL_OUTCOME_DONE
  TimePoint At{};
};

struct OutcomeLimits {
  milliseconds Keep{600'000};          ///< after the call ended
  std::size_t Records = 100'000;       ///< calls remembered
  std::size_t ReplyBytes = 64U << 20U; ///< bodies remembered in all
};

/// Outcomes of calls by request id and by claim id, so that a non-repeatable
/// call runs at most once. A record is never dropped before its time: when the
/// store is full, new calls are refused. Bodies beyond ReplyBytes are dropped
/// oldest first; such a call reports an unknown outcome.
class CallOutcomes {
public:
  explicit CallOutcomes(OutcomeLimits Limits) : Limits(Limits) {}

  /// Returns the record of a claim that ran or, else, of the request, or null.
  const CallRecord *find(const std::string &RequestId,
                         const std::string &Claim) const;

  /// True if no further call may be recorded now.
  bool full() const { return Records.size() >= Limits.Records; }

  void recordStart(const std::string &RequestId, std::uint32_t Attempt,
                   const std::string &Claim, TimePoint Now);
  void recordResult(const std::string &RequestId, wire::CallOutcome Outcome,
                    wire::CallReply Reply, TimePoint Now);

  /// Records that the attempts up to \p Attempt did not run and never will.
  void recordNotRun(const std::string &RequestId, std::uint32_t Attempt,
                    TimePoint Now);

  /// Drops records that are older than Keep.
  void expire(TimePoint Now);

  std::size_t size() const { return Records.size(); }

private:
  void dropReplies();

  OutcomeLimits Limits;
  std::unordered_map<std::string, CallRecord> Records;
  std::unordered_map<std::string, std::string> RequestByClaim;
  std::deque<std::pair<TimePoint, std::string>> Ended; ///< oldest first
  std::deque<std::string> Replies;                     ///< oldest first
  std::size_t Bytes = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_CALL_OUTCOMES_HPP
