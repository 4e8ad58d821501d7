#ifndef HYSSOPRAIL_ROUTING_OWN_DELAY_HPP
#define HYSSOPRAIL_ROUTING_OWN_DELAY_HPP

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Time in which this process did not handle what had arrived, because it was
/// paused or short of processor time. It must be left out when the silence of
/// another process is measured. A repeating timer tells it.
///
/// \code
///   // Grows with the time in which this process could have heard something.
///   const TimePoint Attentive = Delay.attentiveTime(Now);
/// \endcode
class OwnDelay {
public:
  /// Marks that the timer is handled at \p Now.
  void tick(TimePoint Now) {
    Total = total(Now);
    LastTickAt = Now;
  }

  /// \p Now without all delay until then.
  TimePoint attentiveTime(TimePoint Now) const { return Now - total(Now); }

private:
  Duration total(TimePoint Now) const {
    if (LastTickAt == TimePoint{} || Now - LastTickAt <= MaxTickGap)
      return Total;
    return Total + (Now - LastTickAt - MaxTickGap);
  }

  /// More than this between two ticks is a delay of this process.
  static constexpr milliseconds MaxTickGap{200};

  Duration Total{};
  TimePoint LastTickAt{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_OWN_DELAY_HPP
