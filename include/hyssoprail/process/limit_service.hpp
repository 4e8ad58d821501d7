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

/// Answer to a debit that this process asked for.
struct AnswerDebit {
  std::string DebitId;
  /// UNSPECIFIED: the owner did not answer in time.
  wire::DebitResult Result = wire::DEBIT_RESULT_UNSPECIFIED;
  std::uint64_t Epoch = 0; ///< with GRANTED: to be passed to refund()
  Duration RetryAfter{0};  ///< 0: the debit exceeds the account's burst
};

/// Message to another entry.
struct SendToEntry {
  std::uint64_t Incarnation = 0;
  std::string Address; ///< "tcp://IP:PORT"; empty if the state names none
  wire::Envelope Message;
};

/// Read of the log's end. When everything it returned was applied, the host
/// calls viewApplied and then readFinished. Reads may overlap.
struct StartLogRead {
  std::uint64_t ReadId = 0;
};

/// Record to append to the log under this operation id.
struct AppendTakeOver {
  std::string OperationId;
  wire::TakeOver Record;
};

using LimitAction =
    std::variant<AnswerDebit, SendToEntry, StartLogRead, AppendTakeOver>;
using LimitActions = std::vector<LimitAction>;

/// Debit asked by a request of this process.
struct LimitDebit {
  std::string DebitId; ///< unique over the fleet and all attempts
  std::string Account;
  std::uint64_t Tokens = 0;
};

/// Return of the unused tokens of a granted debit.
struct LimitRefund {
  std::string DebitId;
  std::string Account;
  std::uint64_t Tokens = 0;
  std::uint64_t Epoch = 0; ///< from the answer
};

/// Hears of every grant and credit in this process; for tests and audits.
class LimitObserver {
public:
  virtual ~LimitObserver() = default;
  virtual void granted(const std::string &DebitId, const std::string &Account,
                       std::uint64_t Tokens) = 0;
  virtual void credited(const std::string &DebitId, const std::string &Account,
                        double Tokens) = 0;
};

/// What the service depends on; all must outlive it.
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
  std::size_t ShardsActive = 0; ///< owned, waited for and under a lease
  Duration LeaseLeft{0};
  bool ExtendedByPromises = false;
  std::size_t PendingDebits = 0;
};

/// Limits of the client accounts over the whole fleet, without I/O: events and
/// times in, actions out. Every call may append actions. Not thread-safe; the
/// host serialises calls and takes Now under the same lock.
class LimitService {
public:
  virtual ~LimitService() = default;

  /// Applies a newer reduced state; older ones are ignored.
  virtual void viewApplied(TimePoint Now, LimitViewPtr View,
                           LimitActions &Out) = 0;

  /// Replaces what is known of the other entries.
  virtual void setLivePeers(TimePoint Now, std::vector<LivePeer> Peers) = 0;

  /// Ends a read that a StartLogRead action asked for. \p End is the offset of
  /// the log's end that it returned, or nullopt if it failed. A read whose
  /// records have not all come in through viewApplied counts as failed.
  virtual void readFinished(TimePoint Now, std::uint64_t ReadId,
                            std::optional<std::uint64_t> End,
                            LimitActions &Out) = 0;

  /// Asks for a debit. Exactly one AnswerDebit follows, at once or within
  /// LimitOptions::DebitTimeout.
  virtual void debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) = 0;

  /// Returns unused tokens, once per granted debit.
  virtual void refund(TimePoint Now, const LimitRefund &Refund,
                      LimitActions &Out) = 0;

  /// Handles a message of entry \p From; bodies of other kinds are ignored.
  virtual void handleMessage(TimePoint Now, std::uint64_t From,
                             const wire::Envelope &Message,
                             LimitActions &Out) = 0;

  /// Lets time pass; called at least every 50 ms.
  virtual void tick(TimePoint Now, LimitActions &Out) = 0;

  virtual LimitStatus status(TimePoint Now) const = 0;
};

/// Makes the service with one owner per shard. \p Self is the incarnation of
/// this process.
std::unique_ptr<LimitService> makeOwnerLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies);

/// Makes the baseline: each member has a fixed share of rate and burst. The
/// bound holds only while the set of members does not change.
std::unique_ptr<LimitService> makeFixedLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_SERVICE_HPP
