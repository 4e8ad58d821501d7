#ifndef HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP
#define HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/agent_actions.hpp"
#include "hyssoprail/process/agent_config.hpp"

namespace hyssoprail {

struct OrderOptions {
  unsigned MaxLoadsPerZone = 2;      ///< concurrent loads from the weight store
  milliseconds LoadDuration{30'000}; ///< time allowed for one load
  milliseconds RetryDelay{1'000};    ///< after an order has ended
  milliseconds DelayAfterPause{1'000}; ///< no orders after a process pause
};

/// Decides when an agent sends its engine an order: a request to load another
/// model or version or to change its role. An order carries the offset of this
/// agent's AgentLease record as fencing token. Engines that do not check the
/// token may apply a stale order, so the engine's status is read back after
/// each order and corrected by another order if it differs from the desired
/// state.
///
/// \code
///   if (Orders.due(View, Engine, Now) && Idle)
///     Actions.push_back(Orders.makeOrder(View, Engine, ++LastCall));
/// \endcode
class EngineOrders {
public:
  EngineOrders(OrderOptions Options, std::uint64_t Incarnation)
      : Options(Options), Incarnation(Incarnation) {}

  /// Must be called after a configuration change was applied.
  void configApplied(const AgentConfigView &View);

  /// True if this incarnation needs an AgentLease record.
  bool needsLease(const AgentConfigView &View) const;

  /// True if an order is due. The caller sends it once the engine is idle.
  bool due(const AgentConfigView &View, const StatusResult &Engine,
           TimePoint Now);

  /// Returns the order that is due and marks it as running.
  OrderCall makeOrder(const AgentConfigView &View, const StatusResult &Engine,
                      CallId Call);

  /// Must be called when the order \p Call has ended.
  void orderEnded(CallId Call, CallStatusCode End, TimePoint Now);

  /// Must be called after this process was paused: its view of the
  /// configuration may be out of date, so orders are held back for
  /// DelayAfterPause.
  void processPaused(TimePoint Now) {
    NotBefore = Now + Options.DelayAfterPause;
  }

  /// True while an order is running.
  bool outstanding() const { return RunningCall != 0; }

private:
  static bool differs(const AgentConfigView &View, const StatusResult &Engine);

  OrderOptions Options;
  std::uint64_t Incarnation;
  bool HadLease = false;
  CallId RunningCall = 0;
  std::uint64_t RejectedFencing = 0; ///< token rejected as stale
  std::uint64_t DueVersion = 0;      ///< desired state that DueAt is for
  std::optional<TimePoint> DueAt;
  TimePoint NotBefore{};
  std::uint64_t LastFencing = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ENGINE_ORDERS_HPP
