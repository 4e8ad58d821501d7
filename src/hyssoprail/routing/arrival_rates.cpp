#include "hyssoprail/routing/arrival_rates.hpp"

#include <algorithm>
#include <cmath>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Half of the time in which requests must be on time again after a surge.
constexpr double AveragingSeconds = 1;

} // namespace

double ArrivalRates::Rate::at(TimePoint Now) const {
  const double Age = seconds(Now - At);
  return PerSecond * std::exp(-std::max(0.0, Age) / AveragingSeconds);
}

void ArrivalRates::record(int Priority, double Tokens, TimePoint At) {
  Rate &R = ByPriority[Priority];
  const TimePoint Latest = std::max(R.At, At);
  R = {R.at(Latest) + Tokens / AveragingSeconds, Latest};
}

double ArrivalRates::moreUrgentThan(int Priority, TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Other, R] : ByPriority)
    if (Other < Priority)
      Sum += R.at(Now);
  return Sum;
}

double ArrivalRates::all(TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Other, R] : ByPriority)
    Sum += R.at(Now);
  return Sum;
}

} // namespace hyssoprail::routing
