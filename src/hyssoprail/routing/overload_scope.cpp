#include "hyssoprail/routing/overload_scope.hpp"

#include "hyssoprail/routing/overload_policy.hpp"

namespace hyssoprail::routing {
namespace {

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
  return overloadPolicyConfigured(Mode, Config, Service) ||
         (Mode == OverloadMode::Auto && enginesDifferInSpeed(Table, Service));
}

} // namespace hyssoprail::routing
