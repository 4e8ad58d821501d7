#include "hyssoprail/routing/start_rate_limiter.hpp"

namespace hyssoprail::routing {
namespace {

/// Delays between sending and arrival vary, so the window is longer than the
/// second that the limit is given for.
constexpr milliseconds Window{1'150};

} // namespace

bool StartRateLimiter::allows(std::size_t PerSecond, TimePoint Now) {
  while (!Starts.empty() && Now - Starts.front() >= Window)
    Starts.pop_front();
  return Starts.size() < PerSecond;
}

} // namespace hyssoprail::routing
