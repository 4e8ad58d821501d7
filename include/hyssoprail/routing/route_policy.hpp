#ifndef HYSSOPRAIL_ROUTING_ROUTE_POLICY_HPP
#define HYSSOPRAIL_ROUTING_ROUTE_POLICY_HPP

#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Kind of the requests of a route, which decides whether they may run again.
enum class RouteKind {
  Call,           ///< runs at most once
  IdempotentCall, ///< may run more than once
  Stream,         ///< server-sent events; runs once unless Resumable
};

/// One destination of a route with its weight in the traffic split.
struct WeightedService {
  std::string Service;
  double Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct RoutePolicy {
  std::string Name;
  std::string Host;       ///< lower case, without port
  std::string PathPrefix; ///< begins and ends with a slash
  RouteKind Kind = RouteKind::Call;
  milliseconds Timeout{0}; ///< longest time until the final answer
  /// Until the whole answer, or until the first event of a stream.
  milliseconds LatencyObjective{0};
  milliseconds EventGapObjective{0}; ///< longest pause between events
  int Priority = 0;                  ///< 0 is the most urgent
  std::vector<WeightedService> Services;
  unsigned MaxAttempts = 1;    ///< endpoints that may run one request
  bool AllowAnonymous = false; ///< requests need no API key
  bool Resumable = false;      ///< a stream may resume at another endpoint
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ROUTE_POLICY_HPP
