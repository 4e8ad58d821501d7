#include "hyssoprail/routing/arrival_rates.hpp"

#include <algorithm>
#include <cmath>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {

double ArrivalRates::rateAt(const Rate &R, TimePoint Now) const {
  const double Age = seconds(Now - R.At);
  return R.PerSecond * std::exp(-std::max(0.0, Age) / seconds(Averaging));
}

void ArrivalRates::record(int Priority, double Tokens, TimePoint At) {
  Rate &R = ByPriority[Priority];
  const TimePoint Latest = std::max(R.At, At);
  R = {rateAt(R, Latest) + Tokens / seconds(Averaging), Latest};
}

double ArrivalRates::of(int Priority, TimePoint Now) const {
  const auto Found = ByPriority.find(Priority);
  return Found == ByPriority.end() ? 0 : rateAt(Found->second, Now);
}

double ArrivalRates::moreUrgentThan(int Priority, TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Other, R] : ByPriority)
    if (Other < Priority)
      Sum += rateAt(R, Now);
  return Sum;
}

double ArrivalRates::all(TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Other, R] : ByPriority)
    Sum += rateAt(R, Now);
  return Sum;
}

} // namespace hyssoprail::routing
