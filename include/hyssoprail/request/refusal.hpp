#ifndef HYSSOPRAIL_REQUEST_REFUSAL_HPP
#define HYSSOPRAIL_REQUEST_REFUSAL_HPP

#include <string>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/error.hpp"

namespace hyssoprail {

/// Rejection of a request before any part of its answer was sent.
struct Refusal {
  Error Cause;
  bool NotRun = true; ///< no part of the request has run or will run
  std::string RequestId;
};

/// Returns the JSON body for \p R, as specified in docs/design.md section 9.3.
std::string refusalBody(const Refusal &R);

/// Returns the HTTP response for \p R. If the error has a retry delay, the
/// response has a Retry-After header in seconds, rounded up.
///
/// \code
///   Exchange->respond(refusalResponse({Cause, true, RequestId}));
/// \endcode
HttpResponse refusalResponse(const Refusal &R);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REFUSAL_HPP
