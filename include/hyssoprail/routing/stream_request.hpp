#ifndef HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
#define HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP

#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::routing {

/// Shortest time that a caller waits for an event before it gives up.
constexpr milliseconds MinEventTimeout{2'000};

/// Makes the admission request for \p Request, whose caller has been waiting
/// for an event since \p WaitingSince.
StreamRequest makeStreamRequest(const FlowRequest &Request,
                                const LengthEstimator &Lengths,
                                TimePoint WaitingSince);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
