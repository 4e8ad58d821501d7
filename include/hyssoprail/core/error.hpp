#ifndef HYSSOPRAIL_CORE_ERROR_HPP
#define HYSSOPRAIL_CORE_ERROR_HPP

#include <chrono>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Kinds of errors that cross a library boundary or are reported to a caller.
enum class ErrorKind {
  InvalidRequest,       ///< a field of the request is invalid
  Unauthenticated,      ///< API key missing, unknown or revoked
  NotFound,             ///< no route, model or object with that name
  MethodNotAllowed,     ///< the path does not support the method
  NotImplemented,       ///< the request needs what this program lacks
  TooLarge,             ///< body or headers exceed the limit
  RequestTimeout,       ///< the request took too long to arrive
  Conflict,             ///< a concurrent change was applied first
  IdempotencyKeyReused, ///< same Idempotency-Key with a different request
  RateLimited,          ///< the client account exceeded its rate limit
  NoCapacity,           ///< no endpoint can currently meet the latency target
  Unavailable,          ///< a component that the request needs is unreachable
  DeadlineExceeded,     ///< abandoned: deadline or target cannot be met
  OutcomeUnknown,       ///< a non-repeatable call may or may not have run
  UpstreamFailed,       ///< the endpoint failed and no retries are left
  InvalidSettings,      ///< a settings file is invalid
  Internal,             ///< a bug in this program
};

/// Returns the code reported to callers, for example "rate_limited".
std::string_view errorCode(ErrorKind Kind);

/// Returns the HTTP status for \p Kind.
unsigned httpStatus(ErrorKind Kind);

/// A typed error, with its cause and a remedy.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message; ///< what failed and why
  std::string Remedy;  ///< what the recipient can do about it
  std::string Field;   ///< path of the invalid field, if any
  std::chrono::milliseconds RetryAfter{0}; ///< 0: retrying does not help
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_ERROR_HPP
