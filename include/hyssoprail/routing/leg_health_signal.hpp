#ifndef HYSSOPRAIL_ROUTING_LEG_HEALTH_SIGNAL_HPP
#define HYSSOPRAIL_ROUTING_LEG_HEALTH_SIGNAL_HPP

#include "hyssoprail/routing/endpoint_health.hpp"
#include "hyssoprail/routing/flow_io.hpp"

namespace hyssoprail::routing {

/// What the end of a send says of its endpoint. \p OnTimeout is what a missing
/// answer says, which depends on how much time the send had.
HealthSignal healthSignalOf(const LegResult &Answer, HealthSignal OnTimeout);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LEG_EVIDENCE_HPP
