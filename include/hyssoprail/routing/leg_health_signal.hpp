#ifndef HYSSOPRAIL_ROUTING_LEG_HEALTH_SIGNAL_HPP
#define HYSSOPRAIL_ROUTING_LEG_HEALTH_SIGNAL_HPP

#include "hyssoprail/routing/endpoint_health.hpp"
#include "hyssoprail/routing/flow_io.hpp"

namespace hyssoprail::routing {

/// Maps the result of a leg to a health signal of its endpoint. \p OnTimeout is
/// the signal of a timeout, which depends on how much time the leg had.
HealthSignal healthSignalOf(const LegResult &Answer, HealthSignal OnTimeout);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LEG_HEALTH_SIGNAL_HPP
