#include "hyssoprail/routing/start_rate_limiter.hpp"

namespace hyssoprail::routing {
namespace {

/// A request may reach the endpoint later than it was sent, so the window is
/// longer than the second that the bound counts.
constexpr milliseconds Window{1'150};

} // namespace

bool StartRateLimiter::allows(std::size_t PerSecond, TimePoint Now) {
  while (!Starts.empty() && Now - Starts.front() >= Window)
    Starts.pop_front();
  return Starts.size() < PerSecond;
}

} // namespace hyssoprail::routing
