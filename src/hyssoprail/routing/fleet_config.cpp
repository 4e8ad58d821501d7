#include "hyssoprail/routing/fleet_config.hpp"

#include <algorithm>
#include <cctype>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {

std::string normalizeHost(std::string_view Host) {
  const std::size_t Port = Host.rfind(':');
  std::string Out(Host.substr(0, Port));
  std::transform(Out.begin(), Out.end(), Out.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Out;
}

const RoutePolicy *FleetConfig::route(std::string_view Host,
                                      std::string_view Path) const {
  return Routes.find(normalizeHost(Host), Path);
}

const AccountPolicy *FleetConfig::accountOfKey(std::string_view Key) const {
  const auto Name = AccountByKey.find(Key);
  if (Name == AccountByKey.end())
    return nullptr;
  const auto Account = Accounts.find(Name->second);
  return Account == Accounts.end() ? nullptr : &Account->second;
}

const ServicePolicy *FleetConfig::service(std::string_view Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

const std::string &chooseService(const RoutePolicy &Route, std::uint64_t Hash) {
  double Total = 0;
  for (const WeightedService &S : Route.Services)
    Total += S.Weight;
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  double Point = static_cast<double>(Hash) / HashRange * Total;
  for (const WeightedService &S : Route.Services) {
    if (Point < S.Weight)
      return S.Service;
    Point -= S.Weight;
  }
  return Route.Services.back().Service;
}

const std::string &serviceFor(const RoutePolicy &Route,
                              const RequestInfo &Request) {
  const bool Continues = Route.Kind == RouteKind::Stream && Route.Resumable &&
                         Request.Resumes && !Request.FirstAttempt.empty();
  return chooseService(
      Route, stableHash(Continues ? Request.FirstAttempt : Request.Id));
}

} // namespace hyssoprail::routing
