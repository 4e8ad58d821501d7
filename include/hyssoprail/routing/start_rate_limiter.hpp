#ifndef HYSSOPRAIL_ROUTING_START_RATE_LIMITER_HPP
#define HYSSOPRAIL_ROUTING_START_RATE_LIMITER_HPP

#include <cstddef>
#include <deque>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Limits the requests that this entry sends to one endpoint in any sliding
/// second, so that all entries together stay below what a cold endpoint can
/// take. Load pattern: an endpoint turns cold without notice while a burst
/// arrives.
class StartRateLimiter {
public:
  /// True if another request may start now under a limit of \p PerSecond.
  bool allows(std::size_t PerSecond, TimePoint Now);

  /// Records that a request was sent.
  void recordStart(TimePoint Now) { Starts.push_back(Now); }

private:
  std::deque<TimePoint> Starts;
};

/// Whole number of requests per second that a part of the fleet may start, if
/// all of it together may start \p PerSecond. \p Share is the part's share of
/// the fleet. Only a part with a majority gets at least one: other parts, each
/// rounded up, could exceed the limit together.
std::size_t startRateOfPart(double PerSecond, double Share);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_START_RATE_LIMITER_HPP
