#ifndef HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
#define HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP

#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::routing {

/// Shortest time that a caller waits for an event before it leaves.
constexpr milliseconds CallerPatience{2'000};

/// What \p Request asks of the scheduler if its caller has waited since
/// \p From.
StreamRequest makeStreamRequest(const FlowRequest &Request,
                      const LengthEstimator &Lengths, TimePoint From);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
