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

std::optional<Evidence> evidenceFromNumber(std::uint32_t Number) {
  if (Number > static_cast<std::uint32_t>(Evidence::CacheLost))
    return std::nullopt;
  return static_cast<Evidence>(Number);
}

void EndpointHealth::avoid(Duration For, TimePoint Now) {
  AvoidUntil = std::max(AvoidUntil, Now + For);
}

void EndpointHealth::record(Evidence What, TimePoint Now) {
  const bool Failed = What != Evidence::Success && What != Evidence::Refused;
  if (What != Evidence::Refused && What != Evidence::CacheLost)
    FailureShare += Smoothing * ((Failed ? 1.0 : 0.0) - FailureShare);
  const Duration Backoff = std::min<Duration>(
      FirstAvoidance * (1U << std::min(Failures, MaxDoublings)),
      LongestAvoidance);
  switch (What) {
  case Evidence::Success:
    Failures = 0;
    Refusals = 0;
    return;
  case Evidence::CacheLost: // says nothing of the endpoint's answers
  case Evidence::AppError:
    return; // an AppError raises the share, by which callers' requests go
            // elsewhere
  case Evidence::Refused:
    avoid(
        std::min<Duration>(FirstRefusalPause *
                               (1U << std::min(Refusals, MaxRefusalDoublings)),
                           LongestRefusalPause),
        Now);
    ++Refusals;
    return;
  case Evidence::Unreachable:
  case Evidence::Silent:
    ++Failures;
    avoid(Backoff, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case Evidence::WrongOwner:
    ++Failures;
    avoid(LongestAvoidance, Now);
    UnreachableUntil = AvoidUntil;
    return;
  case Evidence::Late:
    ++Failures;
    if (Failures >= LateBeforeAvoidance || FailureShare > GreyShare)
      avoid(Backoff, Now);
    return;
  case Evidence::Broken:
    ++Failures;
    if (Failures >= BrokenBeforeAvoidance || FailureShare > GreyShare)
      avoid(Backoff, Now);
    return;
  }
}

} // namespace hyssoprail::routing
