#ifndef HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP
#define HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP

#include <map>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Work that arrives at a service, by priority, in tokens per second, averaged
/// over about a second. Load pattern: surges that begin and end within seconds.
class ArrivalRates {
public:
  void record(int Priority, double Tokens, TimePoint At);

  /// Rate of all priorities that are more urgent than \p Priority.
  double moreUrgentThan(int Priority, TimePoint Now) const;

  double all(TimePoint Now) const;

private:
  struct Rate {
    double PerSecond = 0;
    TimePoint At{};
    double at(TimePoint Now) const;
  };

  std::map<int, Rate> ByPriority;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP
