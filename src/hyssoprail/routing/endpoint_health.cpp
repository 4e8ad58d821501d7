#include "hyssoprail/routing/endpoint_health.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

constexpr double Smoothing = 0.15; ///< weight of the newest result
constexpr milliseconds FirstAvoidance{700};
constexpr milliseconds LongestAvoidance{4'000};

/// An endpoint that refuses is fuller than its known load says; each refusal in
/// a row doubles the pause.
constexpr milliseconds FirstRefusalPause{60};
constexpr milliseconds LongestRefusalPause{800};
constexpr unsigned MaxDoublings = 3;
constexpr unsigned MaxRefusalDoublings = 4;

/// One answer cut in isolation says little; two in a row, or a high share,
/// suggest that the endpoint is at fault.
constexpr unsigned BrokenBeforeAvoidance = 2;

/// A route may allow less time than the work takes, so a timeout alone is weak
/// evidence.
constexpr unsigned LateBeforeAvoidance = 4;

/// Share of cut or late answers at which one more is enough.
constexpr double GreyShare = 0.4;

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
    FailureShare += Smoothing * ((Failed ? 1.0 : 0.0) - FailureShare);
  const Duration Backoff = std::min<Duration>(
      FirstAvoidance * (1U << std::min(Failures, MaxDoublings)),
      LongestAvoidance);
  switch (Signal) {
  case HealthSignal::Success:
    Failures = 0;
    Refusals = 0;
    return;
  case HealthSignal::CacheLost: // says nothing of the endpoint's answers
  case HealthSignal::AppError:
    return; // an AppError raises the share, by which callers' requests go
            // elsewhere
  case HealthSignal::Refused:
    avoid(
        std::min<Duration>(FirstRefusalPause *
                               (1U << std::min(Refusals, MaxRefusalDoublings)),
                           LongestRefusalPause),
        Now);
    ++Refusals;
    return;
  case HealthSignal::Unreachable:
  case HealthSignal::Unresponsive:
    ++Failures;
    avoid(Backoff, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case HealthSignal::WrongEndpoint:
    ++Failures;
    avoid(LongestAvoidance, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case HealthSignal::RouteTimeout:
    ++Failures;
    if (Failures >= LateBeforeAvoidance || FailureShare > GreyShare)
      avoid(Backoff, Now);
    return;
  case HealthSignal::Broken:
    ++Failures;
    if (Failures >= BrokenBeforeAvoidance || FailureShare > GreyShare)
      avoid(Backoff, Now);
    return;
  }
}

} // namespace hyssoprail::routing
