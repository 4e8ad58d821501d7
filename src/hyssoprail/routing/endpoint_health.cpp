#include "hyssoprail/routing/endpoint_health.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

constexpr double SmoothingWeight = 0.15; ///< weight of the newest result
constexpr milliseconds InitialBackoff{700};
constexpr milliseconds MaxBackoff{4'000};

/// An endpoint that refuses is fuller than its known load indicates; each
/// consecutive refusal doubles the backoff.
constexpr milliseconds InitialRefusalBackoff{60};
constexpr milliseconds MaxRefusalBackoff{800};
constexpr unsigned MaxBackoffDoublings = 3;
constexpr unsigned MaxRefusalBackoffDoublings = 4;

/// A single truncated answer says little. Two in a row, or a high failure
/// share, suggest that the endpoint is faulty.
constexpr unsigned BrokenBeforeBackoff = 2;

/// A route may allow less time than the work takes, so a single timeout is weak
/// evidence of a fault.
constexpr unsigned TimeoutsBeforeBackoff = 4;

/// Above this failure share, a single broken answer or timeout starts a
/// backoff.
constexpr double BackoffFailureShare = 0.4;

} // namespace

std::optional<HealthSignal> healthSignalFromNumber(std::uint32_t Number) {
  if (Number > static_cast<std::uint32_t>(HealthSignal::CacheLost))
    return std::nullopt;
  return static_cast<HealthSignal>(Number);
}

void EndpointHealth::avoid(Duration For, TimePoint Now) {
  AvoidUntil = std::max(AvoidUntil, Now + For);
}

void EndpointHealth::record(HealthSignal Signal, TimePoint Now) {
  const bool Failed =
      Signal != HealthSignal::Success && Signal != HealthSignal::Refused;
  if (Signal != HealthSignal::Refused && Signal != HealthSignal::CacheLost)
    FailureShare += SmoothingWeight * ((Failed ? 1.0 : 0.0) - FailureShare);
  const Duration Backoff =
      std::min<Duration>(InitialBackoff * (1U << std::min(ConsecutiveFailures,
                                                          MaxBackoffDoublings)),
                         MaxBackoff);
  switch (Signal) {
  case HealthSignal::Success:
    ConsecutiveFailures = 0;
    ConsecutiveRefusals = 0;
    return;
  case HealthSignal::CacheLost: // does not concern the endpoint's answers
  case HealthSignal::AppError:
    return; // an AppError only raises the failure share, which makes the choice
            // of an endpoint prefer others
  case HealthSignal::Refused:
    avoid(std::min<Duration>(InitialRefusalBackoff *
                                 (1U << std::min(ConsecutiveRefusals,
                                                 MaxRefusalBackoffDoublings)),
                             MaxRefusalBackoff),
          Now);
    ++ConsecutiveRefusals;
    return;
  case HealthSignal::Unreachable:
  case HealthSignal::Unresponsive:
    ++ConsecutiveFailures;
    avoid(Backoff, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case HealthSignal::WrongEndpoint:
    ++ConsecutiveFailures;
    avoid(MaxBackoff, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case HealthSignal::RouteTimeout:
    ++ConsecutiveFailures;
    if (ConsecutiveFailures >= TimeoutsBeforeBackoff ||
        FailureShare > BackoffFailureShare)
      avoid(Backoff, Now);
    return;
  case HealthSignal::Broken:
    ++ConsecutiveFailures;
    if (ConsecutiveFailures >= BrokenBeforeBackoff ||
        FailureShare > BackoffFailureShare)
      avoid(Backoff, Now);
    return;
  }
}

} // namespace hyssoprail::routing
