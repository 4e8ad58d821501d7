#ifndef HYSSOPRAIL_ROLLOUT_ROLLOUT_ORDER_HPP
#define HYSSOPRAIL_ROLLOUT_ROLLOUT_ORDER_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::rollout {

/// Identifies an order: its offset in the store, which holds within one era of
/// the store.
struct OrderId {
  std::uint64_t Era = 0;
  std::uint64_t Offset = 0;

  bool operator==(const OrderId &O) const {
    return Era == O.Era && Offset == O.Offset;
  }
  bool operator<(const OrderId &O) const {
    return std::tie(Era, Offset) < std::tie(O.Era, O.Offset);
  }
  bool operator>(const OrderId &O) const { return O < *this; }
  bool operator<=(const OrderId &O) const { return !(O < *this); }
};

/// The operator's order to move the traffic of a service to another version.
struct RolloutOrder {
  std::string Service;
  std::string Target; ///< version of the endpoints that take over
  Duration Length{};  ///< from the order to its deadline
  OrderId Id;
};

/// State of an order as the store keeps it. The last two are final.
enum class RolloutState {
  Running,
  Completed,
  RolledBack,
};

inline bool isFinal(RolloutState State) {
  return State != RolloutState::Running;
}

inline constexpr std::array<EnumName<RolloutState>, 3> RolloutStateNames{
    {{RolloutState::Running, "running"},
     {RolloutState::Completed, "completed"},
     {RolloutState::RolledBack, "rolled_back"}}};

/// How the requests of a service are divided between the versions.
enum class RolloutPhase {
  Canary,     ///< a small share goes to the target
  Shift,      ///< what the old version cannot end in time goes to the target
  Completed,  ///< all requests go to the target
  RolledBack, ///< all requests go to the old version
};

inline constexpr std::array<EnumName<RolloutPhase>, 4> RolloutPhaseNames{
    {{RolloutPhase::Canary, "canary"},
     {RolloutPhase::Shift, "shift"},
     {RolloutPhase::Completed, "completed"},
     {RolloutPhase::RolledBack, "rolled_back"}}};

/// Why a rollout was rolled back.
enum class RollbackReason {
  None,
  Failures,    ///< the target fails more often than the old version
  Slow,        ///< the target is several times slower
  Withdrawn,   ///< the operator removed the order
  Replaced,    ///< the operator gave another order for the service
  NoEndpoints, ///< at the deadline the target had no endpoint
  Stored,      ///< the store or another entry has it as rolled back
};

inline constexpr std::array<EnumName<RollbackReason>, 7> RollbackReasonNames{
    {{RollbackReason::None, "none"},
     {RollbackReason::Failures, "failures"},
     {RollbackReason::Slow, "slow"},
     {RollbackReason::Withdrawn, "withdrawn"},
     {RollbackReason::Replaced, "replaced"},
     {RollbackReason::NoEndpoints, "no_endpoints"},
     {RollbackReason::Stored, "stored"}}};

/// Decision of the coordinator for one entry.
struct RolloutDecision {
  std::string Service;
  std::string Target;
  OrderId Order;
  RolloutPhase Phase = RolloutPhase::Canary;
  /// Requests that the entry may have sent to the target since the order began.
  std::uint64_t Allowance = 0;
  TimePoint CompletesAt{}; ///< when completion is due
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ROLLOUT_ORDER_HPP
