#ifndef HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP
#define HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// What may be repeated on a route.
enum class RouteKind {
  Call,           ///< runs at most once
  IdempotentCall, ///< may run more than once
  Stream,         ///< server-sent events; runs once unless Resumable
};

/// One destination of a route with its share of the traffic.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct RoutePolicy {
  std::string Name;
  std::string Host;       ///< lower case, without port
  std::string PathPrefix; ///< begins and ends with a slash
  RouteKind Kind = RouteKind::Call;
  milliseconds Timeout{0};          ///< longest time until the final answer
  milliseconds LatencyObjective{0}; ///< full answer, or first event of a stream
  milliseconds EventGapObjective{0}; ///< longest pause between events
  int Priority = 0;                  ///< 0 is the most urgent
  std::vector<WeightedService> Services;
  unsigned MaxAttempts = 1;    ///< endpoints that one request may be sent to
  bool AllowAnonymous = false; ///< a key is not needed
  bool Resumable = false;      ///< a stream may continue at another endpoint
};

/// What the engines of a service can hold.
struct EngineLimits {
  unsigned Slots = 1;
  std::uint32_t KvTokens = 0;          ///< memory of one engine, in tokens
  std::uint32_t EventTokens = 1;       ///< tokens that one event may carry
  milliseconds HandleRetention{0};     ///< life of a KV cache nobody fetched
  milliseconds StageChangeTime{6'000}; ///< an engine that changes serves nobody
};

struct ServicePolicy {
  std::string Name;
  double ColdRequestsPerSecond = 0; ///< requests a cold endpoint bears; 0: any
  std::optional<EngineLimits> Engine;
};

struct AccountPolicy {
  std::string Name;
  std::optional<int> Priority; ///< replaces the route's
  double RatePerSecond = 0;    ///< quota in tokens; 0: no quota
  double Burst = 0;
  std::uint32_t DefaultTokens = 1; ///< cost of a request without token counts
};

/// What a caller may send.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 4 * 1024 * 1024;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// One version of the operator's configuration.
class FleetConfig {
public:
  std::uint64_t Version = 0;
  std::vector<RoutePolicy> Routes;
  std::map<std::string, ServicePolicy, std::less<>> Services;
  std::map<std::string, AccountPolicy, std::less<>> Accounts;
  std::map<std::string, std::string, std::less<>> AccountByKey;
  CallerLimits Limits;

  /// Returns the route of \p Host whose prefix is the longest that begins
  /// \p Path, or null. \p Host may carry a port and any case.
  const RoutePolicy *route(std::string_view Host, std::string_view Path) const;

  /// Returns the account that holds \p Key, or null.
  const AccountPolicy *accountOfKey(std::string_view Key) const;

  const ServicePolicy *service(std::string_view Name) const;

  /// True if callers need a key except on anonymous routes.
  bool requiresKeys() const { return !Accounts.empty(); }
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// Picks a service of \p Route by weight; \p Hash is uniform and fixed for one
/// request, so its retries go to the same service.
const std::string &chooseService(const RoutePolicy &Route, std::uint64_t Hash);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP
