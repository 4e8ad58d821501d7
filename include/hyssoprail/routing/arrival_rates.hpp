#ifndef HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP
#define HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP

#include <map>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Work that arrives at a service, by priority, in tokens (or requests) per
/// second, averaged over about \p Averaging. Load pattern: surges that begin
/// and end within seconds.
class ArrivalRates {
public:
  explicit ArrivalRates(Duration Averaging) : Averaging(Averaging) {}

  void record(int Priority, double Tokens, TimePoint At);

  double of(int Priority, TimePoint Now) const;

  /// Rate of all priorities that are more urgent than \p Priority.
  double moreUrgentThan(int Priority, TimePoint Now) const;

  double all(TimePoint Now) const;

private:
  struct Rate {
    double PerSecond = 0;
    TimePoint At{};
  };

  double rateAt(const Rate &R, TimePoint Now) const;

  const Duration Averaging;
  std::map<int, Rate> ByPriority;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ARRIVAL_RATES_HPP
