#include "hyssoprail/routing/start_rate_limiter.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// Delays between sending and arrival vary, so the window is longer than the
/// second that the limit is given for.
constexpr milliseconds Window{1'150};

constexpr double MajorityShare = 0.5;

} // namespace

bool StartRateLimiter::allows(std::size_t PerSecond, TimePoint Now) {
  while (!Starts.empty() && Now - Starts.front() >= Window)
    Starts.pop_front();
  return Starts.size() < PerSecond;
}

std::size_t startRateOfPart(double PerSecond, double Share) {
  const auto Starts = static_cast<std::size_t>(PerSecond * Share);
  return Share > MajorityShare ? std::max<std::size_t>(1, Starts) : Starts;
}

} // namespace hyssoprail::routing
