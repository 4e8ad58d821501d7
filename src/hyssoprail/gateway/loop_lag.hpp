#ifndef HYSSOPRAIL_GATEWAY_LOOP_LAG_HPP
#define HYSSOPRAIL_GATEWAY_LOOP_LAG_HPP

#include <optional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::gateway {

/// How late the event loop of this process handles what is due. Measured by a
/// repeating timer: the time from its expiry to its handler. What this process
/// takes itself must not be counted against others.
class LoopLag {
public:
  /// Records that a timer that was due at \p DueAt is handled \p Now.
  void record(TimePoint DueAt, TimePoint Now);

  /// The largest lag of the last one to two seconds.
  Duration recent(TimePoint Now) const;

  /// The lag of the newest period if it is worth a log line and has not been
  /// returned yet.
  std::optional<Duration> takeReport(TimePoint Now);

private:
  void beginPeriod(TimePoint Now);

  TimePoint PeriodStart{};
  Duration Largest{};       ///< in this period
  Duration LargestBefore{}; ///< in the period before
  bool Reported = false;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_LOOP_LAG_HPP
