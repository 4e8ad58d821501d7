#include "hyssoprail/core/error.hpp"

#include <array>

namespace hyssoprail {
namespace {

struct ErrorRow {
  ErrorKind Kind;
  std::string_view Code;
  unsigned Status;
};

constexpr std::array<ErrorRow, 17> ErrorTable{{
    {ErrorKind::InvalidRequest, "invalid_request", 400},
    {ErrorKind::Unauthenticated, "unauthenticated", 401},
    {ErrorKind::NotFound, "not_found", 404},
    {ErrorKind::MethodNotAllowed, "method_not_allowed", 405},
    {ErrorKind::NotImplemented, "not_implemented", 501},
    {ErrorKind::TooLarge, "too_large", 413},
    {ErrorKind::RequestTimeout, "request_timeout", 408},
    {ErrorKind::Conflict, "conflict", 409},
    {ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422},
    {ErrorKind::RateLimited, "rate_limited", 429},
    {ErrorKind::NoCapacity, "no_capacity", 503},
    {ErrorKind::Unavailable, "unavailable", 503},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", 503},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 502},
    {ErrorKind::UpstreamFailed, "upstream_failed", 502},
    {ErrorKind::InvalidSettings, "invalid_settings", 500},
    {ErrorKind::Internal, "internal", 500},
}};

const ErrorRow &errorRow(ErrorKind Kind) {
  for (const ErrorRow &Row : ErrorTable)
    if (Row.Kind == Kind)
      return Row;
  return ErrorTable.back();
}

} // namespace

std::string_view errorCode(ErrorKind Kind) { return errorRow(Kind).Code; }

unsigned httpStatus(ErrorKind Kind) { return errorRow(Kind).Status; }

} // namespace hyssoprail
