#ifndef HYSSOPRAIL_REQUEST_REFUSAL_HPP
#define HYSSOPRAIL_REQUEST_REFUSAL_HPP

#include <string>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/error.hpp"

namespace hyssoprail {

/// A rejection of a request before its answer began.
struct Refusal {
  Error Cause;
  bool NotRun = true; ///< no part of the request ran, or ever will
  std::string RequestId;
};

/// JSON body of \p R, as docs/design.md section 9.3 describes it.
std::string refusalBody(const Refusal &R);

/// Response with status, body and, where coming back helps, Retry-After in
/// whole seconds.
///
/// \code
///   Exchange->respond(refusalResponse({Cause, true, RequestId}));
/// \endcode
HttpResponse refusalResponse(const Refusal &R);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REFUSAL_HPP
