#ifndef HYSSOPRAIL_ROUTING_OVERLOAD_SCOPE_HPP
#define HYSSOPRAIL_ROUTING_OVERLOAD_SCOPE_HPP

#include <string_view>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/overload_mode.hpp"

namespace hyssoprail::routing {

/// True if the least-cost policy is in force for \p Service: always with
/// LeastCost; with Auto if its routes differ in priority or its engines in
/// speed.
bool isLeastCostInForce(OverloadMode Mode, const FleetConfig &Config,
                        EndpointTable &Table, std::string_view Service);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_OVERLOAD_SCOPE_HPP
