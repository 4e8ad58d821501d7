#ifndef HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP
#define HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/request_info.hpp"
#include "hyssoprail/routing/route_policy.hpp"
#include "hyssoprail/routing/route_table.hpp"

namespace hyssoprail::routing {

/// Capacity and timing of the engines of a service.
struct EngineLimits {
  unsigned Slots = 1;
  std::uint32_t KvTokens = 0;      ///< KV cache memory of one engine, in tokens
  std::uint32_t EventTokens = 1;   ///< largest number of tokens in one event
  milliseconds HandleRetention{0}; ///< how long an unfetched KV cache is kept
  /// Duration of a change between prefill and decode, during which the engine
  /// serves no requests.
  milliseconds StageChangeTime{6'000};
};

struct ServicePolicy {
  std::string Name;
  double ColdRequestsPerSecond = 0; ///< limit of a cold endpoint; 0: no limit
  std::optional<EngineLimits> Engine;
};

struct AccountPolicy {
  std::string Name;
  std::optional<int> Priority; ///< overrides the route's priority
  double RatePerSecond = 0;    ///< quota in tokens; 0: no quota
  double Burst = 0;
  std::uint32_t DefaultTokens = 1; ///< cost of a request without token counts
};

/// Limits on the requests of callers.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 4 * 1024 * 1024;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// Returns \p Host in lower case and without its port.
std::string normalizeHost(std::string_view Host);

/// One version of the operator's configuration.
class FleetConfig {
public:
  std::uint64_t Version = 0;
  RouteTable Routes;
  std::map<std::string, ServicePolicy, std::less<>> Services;
  std::map<std::string, AccountPolicy, std::less<>> Accounts;
  std::map<std::string, std::string, std::less<>> AccountByKey;
  CallerLimits Limits;

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  /// The case and the port of \p Host are ignored.
  const RoutePolicy *route(std::string_view Host, std::string_view Path) const;

  /// Returns the account of the API key \p Key, or null.
  const AccountPolicy *accountOfKey(std::string_view Key) const;

  const ServicePolicy *service(std::string_view Name) const;

  /// True if requests need an API key, except on routes with AllowAnonymous.
  bool requiresKeys() const { return !Accounts.empty(); }
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// Chooses a service of \p Route by weight. \p Hash is uniformly distributed
/// and fixed for one request, so its retries go to the same service.
const std::string &chooseService(const RoutePolicy &Route, std::uint64_t Hash);

/// Chooses a service of \p Route for a request. A stream that its caller takes
/// up goes to the service of the attempt that began it.
const std::string &serviceFor(const RoutePolicy &Route,
                              const RequestInfo &Request);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLEET_CONFIG_HPP
