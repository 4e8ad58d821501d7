#ifndef HYSSOPRAIL_ROLLOUT_ROLLOUT_CONTROLLER_HPP
#define HYSSOPRAIL_ROLLOUT_ROLLOUT_CONTROLLER_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/rollout/exposure_budget.hpp"
#include "hyssoprail/rollout/rollout_evidence.hpp"

namespace hyssoprail::rollout {

/// A step of a rollout, for the log.
struct RolloutStep {
  std::string Service;
  std::string Target;
  OrderId Order;
  RolloutPhase Phase = RolloutPhase::Canary;
  RollbackReason Reason = RollbackReason::None;
  VersionVerdict Verdict; ///< the evidence behind Failures and Slow
  std::uint64_t Requests = 0;
  std::uint64_t TargetRequests = 0;
  std::uint32_t OldUnrepeatable = 0;
};

/// A state that the store should have. To be written under the condition that
/// the store has no final state of the order.
struct StatusRecord {
  std::string Service;
  std::string Target;
  OrderId Order;
  RolloutState State = RolloutState::Running;
};

/// True if \p Record is a state of the order \p Id for \p Target. A store that
/// comes back from a copy shows an order again, in a later era and so under
/// another id: a final state that was reached before holds for it, too.
inline bool isStateOf(const StatusRecord &Record, const OrderId &Id,
                      std::string_view Target) {
  return Record.Order == Id ||
         (isFinal(Record.State) && Record.Target == Target &&
          Record.Order.Era < Id.Era);
}

/// Decides, at the coordinator, how far each rollout goes. A final state is in
/// force only after the store has accepted it, except that a rollback stops the
/// traffic to the target at once. The state is rebuilt from the reports of the
/// entries and the records of the store; nothing else survives a coordinator.
class RolloutController {
public:
  explicit RolloutController(ExposureBound Bound) : Bound(Bound) {}

  /// Begins a term of this entry as coordinator. Allowances that were lent
  /// before stay in use, so they are not lent again.
  void startTerm(TimePoint Now);

  /// Takes an order that this entry read \p Age ago. Another order for the
  /// same service replaces it.
  void order(const RolloutOrder &Order, Duration Age, TimePoint Now);

  /// The operator removed the order for \p Service.
  void withdraw(std::string_view Service);

  /// Takes what an incarnation of an entry has counted.
  void observe(const std::string &Entry, std::uint64_t Incarnation,
               const RolloutEvidence &Evidence);

  /// Sets how many endpoints of the target can take work.
  void setTargetEndpoints(std::string_view Service, std::size_t Count);

  /// The store has \p Record, because this entry wrote it or another one did.
  /// Final states are never left.
  void applyStored(const StatusRecord &Record);

  /// Takes the steps that are due.
  std::vector<RolloutStep> poll(TimePoint Now);

  /// States that the store does not have yet, as far as is known.
  std::vector<StatusRecord> unwritten() const;

  /// Decisions on all rollouts for an incarnation of an entry.
  std::vector<RolloutDecision> decisionsFor(const std::string &Entry,
                                            std::uint64_t Incarnation) const;

  /// True if an order for \p Service is known, whatever its state.
  bool knows(std::string_view Service) const {
    return Rollouts.contains(Service);
  }

private:
  struct Source {
    std::uint64_t Incarnation = 0;
    RolloutEvidence Evidence;
  };

  struct Rollout {
    Rollout(RolloutOrder Order, ExposureBudget Budget)
        : Order(std::move(Order)), Budget(std::move(Budget)) {}

    RolloutOrder Order;
    TimePoint OrderedAt{};
    TimePoint Deadline{};
    RolloutPhase Phase = RolloutPhase::Canary;
    RollbackReason Reason = RollbackReason::None;
    VersionVerdict Verdict;
    std::optional<RolloutState> Stored;
    std::size_t TargetEndpoints = 0;
    ExposureBudget Budget;
    std::map<std::string, Source> Sources; ///< by entry
    VersionAnswers Ended;                  ///< of incarnations that have ended
    bool StepDue = true; ///< its phase has not been returned by poll()
  };

  static bool isSameAfterRestore(const Rollout &Known,
                                 const RolloutOrder &Next);
  VersionAnswers answers(const Rollout &R) const;
  TimePoint completionDue(const Rollout &R) const;
  Duration shiftLength(const Rollout &R) const;
  double shiftPart(const Rollout &R, TimePoint Now) const;
  bool oldVersionIdle(const Rollout &R) const;
  void rollBack(Rollout &R, RollbackReason Reason);
  void advance(Rollout &R, TimePoint Now);
  RolloutStep describe(const Rollout &R) const;

  ExposureBound Bound;
  TimePoint TermStart{};
  std::map<std::string, Rollout, std::less<>> Rollouts; ///< by service
  /// Orders that were replaced or withdrawn: their states have to be written.
  std::vector<StatusRecord> Abandoned;
  std::set<OrderId> RolledBack;
  /// Newest final state that the store had, by service.
  std::map<std::string, StatusRecord, std::less<>> Settled;
  /// Services whose rollouts can be completed as soon as the store accepts it.
  std::set<std::string, std::less<>> CompletionReady;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ROLLOUT_CONTROLLER_HPP
