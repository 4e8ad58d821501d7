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

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_START_RATE_LIMITER_HPP
