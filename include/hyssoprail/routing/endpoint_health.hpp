#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// How a request to an endpoint ended, as a passive health check sees it.
enum class HealthSignal {
  Success,
  AppError,      ///< a signed 5xx answer of the service itself
  Refused,       ///< not run: full, draining or cold
  Unreachable,   ///< no connection
  Unresponsive,  ///< sent nothing for longer than the work should take
  RouteTimeout,  ///< no answer within the time that the route allows
  Broken,        ///< the answer was truncated or malformed
  WrongEndpoint, ///< another endpoint answers at the address
  CacheLost,     ///< a KV cache that it stored was gone before it was fetched
};

/// Returns the signal with the value \p Number, which another process sent, or
/// nullopt if there is none.
std::optional<HealthSignal> healthSignalFromNumber(std::uint32_t Number);

/// Estimated health of one endpoint, from the results of its requests alone.
/// Load pattern: endpoints that fail part of their requests, hang, or crash
/// while their registration still reports them healthy.
class EndpointHealth {
public:
  void record(HealthSignal Signal, TimePoint Now);

  /// False during a backoff.
  bool usable(TimePoint Now) const { return Now >= AvoidUntil; }

  /// False during a backoff that began because the endpoint did not respond at
  /// its address.
  bool reachable(TimePoint Now) const { return Now >= UnreachableUntil; }

  /// Exponentially smoothed share of failed requests, 0 to 1.
  double failureShare() const { return FailureShare; }

  TimePoint avoidedUntil() const { return AvoidUntil; }

private:
  void avoid(Duration For, TimePoint Now);

  unsigned ConsecutiveFailures = 0;
  unsigned ConsecutiveRefusals = 0;
  double FailureShare = 0;
  TimePoint AvoidUntil{};
  TimePoint UnreachableUntil{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP
