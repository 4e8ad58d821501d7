#ifndef HYSSOPRAIL_PROCESS_LIMIT_SERVICE_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_SERVICE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/invariants.hpp"
#include "hyssoprail/process/limit_options.hpp"
#include "hyssoprail/process/limit_view.hpp"
#include "hyssoprail/process/metrics.hpp"
#include "hyssoprail/process/timeline.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Action: answers a debit that was passed to LimitService::debit().
struct AnswerDebit {
  std::string DebitId;
  /// UNSPECIFIED: the owner did not reply in time.
  wire::DebitResult Result = wire::DEBIT_RESULT_UNSPECIFIED;
  std::uint64_t Epoch = 0; ///< if GRANTED: pass it to refund()
  Duration RetryAfter{0};  ///< 0 with OVER_RATE: exceeds the burst
};

/// Action: sends a message to another entry.
struct SendToEntry {
  std::uint64_t Incarnation = 0;
  std::string Address; ///< "tcp://IP:PORT"; empty if it is no member
  wire::Envelope Message;
};

/// Action: reads the log up to its end. When everything that the read returned
/// is applied, the host calls viewApplied and then readFinished. Reads may
/// overlap.
struct StartLogRead {
  std::uint64_t ReadId = 0;
};

/// Action: appends a record to the log under this operation id.
struct AppendTakeOver {
  std::string OperationId;
  wire::TakeOver Record;
};

using LimitAction =
    std::variant<AnswerDebit, SendToEntry, StartLogRead, AppendTakeOver>;
using LimitActions = std::vector<LimitAction>;

/// Debit for a request of this process.
struct LimitDebit {
  std::string DebitId; ///< unique in the fleet, also among attempts
  std::string Account;
  std::uint64_t Tokens = 0;
};

/// Return of the unused tokens of a granted debit.
struct LimitRefund {
  std::string DebitId;
  std::string Account;
  std::uint64_t Tokens = 0;
  std::uint64_t Epoch = 0; ///< from AnswerDebit
};

/// Is notified of every grant and credit in this process, for tests and audits.
class LimitObserver {
public:
  virtual ~LimitObserver() = default;
  virtual void granted(const std::string &DebitId, const std::string &Account,
                       std::uint64_t Tokens) = 0;
  virtual void credited(const std::string &DebitId, const std::string &Account,
                        double Tokens) = 0;
};

/// Objects that the service uses. All must outlive it.
struct LimitDependencies {
  Timeline &Events;
  Invariants &Checks;
  Metrics &Registry;
  RandomSource &Random;
  LimitObserver *Observer = nullptr; ///< may be null
};

/// State for status pages.
struct LimitStatus {
  std::size_t ShardsOwned = 0;
  std::size_t ShardsActive = 0; ///< able to grant: epoch started, lease held
  Duration LeaseLeft{0};
  bool ExtendedByPromises = false;
  std::size_t PendingDebits = 0;
};

/// Enforces the fleet-wide limits of the client accounts. It does no I/O: calls
/// pass in events and the time, and append the actions that the host must carry
/// out. Not thread-safe; the host serialises calls and reads the clock for Now
/// under the same lock.
class LimitService {
public:
  virtual ~LimitService() = default;

  /// Applies a newer state reduced from the log. Older states are ignored.
  virtual void viewApplied(TimePoint Now, LimitViewPtr View,
                           LimitActions &Out) = 0;

  /// Replaces the list of live entries.
  virtual void setLivePeers(TimePoint Now, std::vector<LivePeer> Peers) = 0;

  /// Reports the end of a read that StartLogRead requested. \p End is the
  /// offset of the log's end that it returned, or nullopt if it failed. A read
  /// whose records were not all applied through viewApplied counts as failed.
  virtual void readFinished(TimePoint Now, std::uint64_t ReadId,
                            std::optional<std::uint64_t> End,
                            LimitActions &Out) = 0;

  /// Requests a debit. Exactly one AnswerDebit action follows, at the
  /// latest at the first tick after LimitOptions::DebitTimeout.
  virtual void debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) = 0;

  /// Returns unused tokens. Call at most once per granted debit.
  virtual void refund(TimePoint Now, const LimitRefund &Refund,
                      LimitActions &Out) = 0;

  /// Handles a message from entry \p From. Messages that do not concern limits
  /// are ignored.
  virtual void handleMessage(TimePoint Now, std::uint64_t From,
                             const wire::Envelope &Message,
                             LimitActions &Out) = 0;

  /// Runs timers. Must be called at least every 50 ms.
  virtual void tick(TimePoint Now, LimitActions &Out) = 0;

  virtual LimitStatus status(TimePoint Now) const = 0;
};

/// Creates the service with one owner per shard. \p Self is the incarnation of
/// this process.
std::unique_ptr<LimitService> makeOwnerLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies);

/// Creates the baseline, in which each member has an equal share of rate and
/// burst. The bound holds only while the set of members does not change.
std::unique_ptr<LimitService> makeFixedLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_SERVICE_HPP
