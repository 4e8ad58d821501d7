#ifndef HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP
#define HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/agent_actions.hpp"
#include "hyssoprail/process/agent_config.hpp"

namespace hyssoprail {

struct OrderOptions {
  unsigned LoadsPerZone = 2;     ///< concurrent loads from the weight store
  milliseconds LoadTime{30'000}; ///< time one load is given
  milliseconds Retry{1'000};     ///< after an order that failed
  milliseconds PauseHold{1'000}; ///< no order after this process was paused
};

/// Decides when to order an engine to load another model or version or to
/// change its role. Orders carry the offset of this agent's own AgentLease
/// record; the engine's status is read back and corrected, for engines that do
/// not check that number.
///
/// \code
///   if (Orders.due(View, Engine, Now) && Idle)
///     Actions.push_back(Orders.makeOrder(View, Engine, ++LastCall));
/// \endcode
class EngineOrders {
public:
  EngineOrders(OrderOptions Options, std::uint64_t Incarnation)
      : Options(Options), Incarnation(Incarnation) {}

  /// Notes the configuration in force.
  void configApplied(const AgentConfigView &View);

  /// True if an AgentLease record for this incarnation should be appended.
  bool needsLease(const AgentConfigView &View) const;

  /// True if an order should be given now. The engine has to be idle first.
  bool due(const AgentConfigView &View, const StatusResult &Engine,
           TimePoint Now);

  /// Makes the order that is due.
  OrderCall makeOrder(const AgentConfigView &View, const StatusResult &Engine,
                      CallId Call);

  /// The order \p Call ended.
  void orderEnded(CallId Call, CallEnd End, TimePoint Now);

  /// This process was paused: its view of the configuration may be old.
  void processPaused(TimePoint Now) { HoldUntil = Now + Options.PauseHold; }

  /// True while an order runs.
  bool outstanding() const { return Running != 0; }

private:
  static bool differs(const AgentConfigView &View, const StatusResult &Engine);

  OrderOptions Options;
  std::uint64_t Incarnation;
  bool HadLease = false;
  CallId Running = 0;
  std::uint64_t RefusedFencing = 0; ///< number that the engine called old
  std::uint64_t DelayedVersion = 0; ///< desired state the delay belongs to
  std::optional<TimePoint> DueAt;
  TimePoint HoldUntil{};
  std::uint64_t UsedFencing = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP
