#ifndef HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
#define HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP

#include <string>
#include <string_view>

#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::routing {

/// How long a caller of the route waits for an event before it gives up.
milliseconds callerEventTimeout(const RoutePolicy &Route);

/// True if the caller sends the request again after a rejection.
bool isReturning(const FlowRequest &Request);

/// Id of the \p Number-th admission request of a session. A stream may ask for
/// engines while it still holds others.
std::string placementId(std::string_view SessionId, unsigned Number);

/// The session of an admission request; the id of a call is that of its
/// session.
std::string sessionOfPlacement(std::string_view Id);

/// Makes the admission request for \p Request, whose caller has been waiting
/// for an event since \p WaitingSince.
StreamRequest makeStreamRequest(const FlowRequest &Request,
                                const LengthEstimator &Lengths,
                                TimePoint WaitingSince);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_REQUEST_HPP
