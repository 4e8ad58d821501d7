#include "hyssoprail/routing/route_table.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::routing {

RouteTable::RouteTable(std::initializer_list<RoutePolicy> Routes)
    : RouteTable(std::vector<RoutePolicy>(Routes)) {}

RouteTable::RouteTable(std::vector<RoutePolicy> Routes) {
  for (RoutePolicy &R : Routes)
    add(std::move(R));
}

void RouteTable::add(RoutePolicy Route) {
  indexPath(Route, Routes.size());
  indexPriority(Route);
  Routes.push_back(std::move(Route));
}

void RouteTable::indexPath(const RoutePolicy &Route, std::size_t Position) {
  HostRoutes &Host = ByHost[Route.Host];
  Host.ByPrefix.try_emplace(Route.PathPrefix, Position);
  std::vector<std::size_t> &Lengths = Host.PrefixLengths;
  const auto At = std::lower_bound(Lengths.begin(), Lengths.end(),
                                   Route.PathPrefix.size(), std::greater<>());
  if (At == Lengths.end() || *At != Route.PathPrefix.size())
    Lengths.insert(At, Route.PathPrefix.size());
}

void RouteTable::indexPriority(const RoutePolicy &Route) {
  for (const WeightedService &S : Route.Services) {
    const auto [It, New] =
        Priorities.try_emplace(S.Service, ServicePriority{Route.Priority});
    It->second.Differs |= It->second.First != Route.Priority;
  }
}

const RoutePolicy *RouteTable::find(std::string_view Host,
                                    std::string_view Path) const {
  const auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    return nullptr;
  const HostRoutes &OfHost = Found->second;
  for (const std::size_t Length : OfHost.PrefixLengths) {
    if (Length > Path.size())
      continue;
    const auto It = OfHost.ByPrefix.find(Path.substr(0, Length));
    if (It != OfHost.ByPrefix.end())
      return &Routes[It->second];
  }
  return nullptr;
}

bool RouteTable::prioritiesDiffer(std::string_view Service) const {
  const auto It = Priorities.find(Service);
  return It != Priorities.end() && It->second.Differs;
}

} // namespace hyssoprail::routing
