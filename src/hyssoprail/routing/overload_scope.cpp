#include "hyssoprail/routing/overload_scope.hpp"

#include <algorithm>
#include <optional>

namespace hyssoprail::routing {
namespace {

bool routesDifferInPriority(const FleetConfig &Config,
                            std::string_view Service) {
  std::optional<int> First;
  for (const RoutePolicy &Route : Config.Routes) {
    const bool Uses =
        std::any_of(Route.Services.begin(), Route.Services.end(),
                    [&](const auto &S) { return S.Service == Service; });
    if (!Uses)
      continue;
    if (First && *First != Route.Priority)
      return true;
    First = Route.Priority;
  }
  return false;
}

bool enginesDifferInSpeed(EndpointTable &Table, std::string_view Service) {
  bool Out = false;
  Table.forEach([&](const Endpoint &E) {
    Out = Out || (E.Record.Service == Service && E.SpeedFactor != 1 &&
                  Table.inService(E));
  });
  return Out;
}

} // namespace

bool isLeastCostInForce(OverloadMode Mode, const FleetConfig &Config,
                        EndpointTable &Table, std::string_view Service) {
  switch (Mode) {
  case OverloadMode::Arrival:
    return false;
  case OverloadMode::LeastCost:
    return true;
  case OverloadMode::Auto:
    return routesDifferInPriority(Config, Service) ||
           enginesDifferInSpeed(Table, Service);
  }
  return false;
}

} // namespace hyssoprail::routing
