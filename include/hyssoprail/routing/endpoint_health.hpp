#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// How a request at an endpoint ended, as evidence of the endpoint's health.
enum class HealthSignal {
  Success,
  AppError,      ///< a signed failure of the service itself
  Refused,       ///< not run: full, draining or cold
  Unreachable,   ///< no connection
  Unresponsive,  ///< no sign of life for longer than it should take
  RouteTimeout,  ///< no answer within the time that the route allows
  Broken,        ///< the answer was cut or spoiled
  WrongEndpoint, ///< another endpoint answers at the address
  CacheLost,     ///< a KV cache that it kept had vanished before its use
};

/// The evidence of a number that another process sent, if there is one.
std::optional<HealthSignal> healthSignalFromNumber(std::uint32_t Number);

/// Belief about one endpoint, from the results of its requests alone. Load
/// pattern: endpoints that fail part of their requests, hang, or crash while
/// their registration still reads healthy.
class EndpointHealth {
public:
  void record(HealthSignal Signal, TimePoint Now);

  /// False while the endpoint is avoided.
  bool usable(TimePoint Now) const { return Now >= AvoidUntil; }

  /// False while nothing is known to answer at the endpoint's address.
  bool reachable(TimePoint Now) const { return Now >= UnreachableUntil; }

  /// Smoothed share of failed requests, 0 to 1.
  double failureShare() const { return FailureShare; }

  TimePoint avoidedUntil() const { return AvoidUntil; }

private:
  void avoid(Duration For, TimePoint Now);

  unsigned Failures = 0; ///< in a row
  unsigned Refusals = 0; ///< in a row
  double FailureShare = 0;
  TimePoint AvoidUntil{};
  TimePoint UnreachableUntil{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_HEALTH_HPP
