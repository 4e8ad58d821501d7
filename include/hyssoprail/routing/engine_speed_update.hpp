#ifndef HYSSOPRAIL_ROUTING_ENGINE_SPEED_UPDATE_HPP
#define HYSSOPRAIL_ROUTING_ENGINE_SPEED_UPDATE_HPP

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/engine_speeds.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Adds the factors other than 1 to \p Update.
void fillSpeeds(EndpointTable &Table, wire::CoordinatorUpdate &Update);

/// Sets the factors of an entry that follows the sender of \p Update; all
/// engines that it does not name have factor 1. Without totals, nothing
/// changes. Factors beyond MaxSpeedFactor are ignored.
void applySpeeds(const wire::CoordinatorUpdate &Update, EndpointTable &Table);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENGINE_SPEED_UPDATE_HPP
