#ifndef HYSSOPRAIL_CORE_ERROR_HPP
#define HYSSOPRAIL_CORE_ERROR_HPP

#include <chrono>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Kinds of errors that cross a library boundary or reach a caller.
enum class ErrorKind {
  InvalidRequest,       ///< a field of the request is wrong
  Unauthenticated,      ///< no key, an unknown key or a withdrawn key
  NotFound,             ///< no route, model or object of that name
  MethodNotAllowed,     ///< the path exists, the method does not
  TooLarge,             ///< body or headers over the limit
  RequestTimeout,       ///< the caller sent its request too slowly
  Conflict,             ///< another change came first
  IdempotencyKeyReused, ///< the Idempotency-Key came with another request
  RateLimited,          ///< the client account is over its rate
  NoCapacity,           ///< no endpoint can meet the target now
  Unavailable,          ///< a part that the request needs cannot be reached
  DeadlineExceeded,     ///< given up: the target cannot be met any more
  OutcomeUnknown,       ///< a non-repeatable call may or may not have run
  UpstreamFailed,       ///< the endpoint failed and retries are used up
  InvalidSettings,      ///< a settings file is wrong
  Internal,             ///< a defect of this program
};

/// Returns the code that callers see, for example "rate_limited".
std::string_view errorCode(ErrorKind Kind);

/// Returns the HTTP status that belongs to \p Kind.
unsigned httpStatus(ErrorKind Kind);

/// A typed error. The message states what was wrong and how to remedy it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message; ///< what was wrong
  std::string Remedy;  ///< what the reader can do about it
  std::string Field;   ///< path of the offending field, if any
  std::chrono::milliseconds RetryAfter{0}; ///< 0: coming back does not help
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_ERROR_HPP
