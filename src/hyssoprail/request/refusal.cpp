#include "hyssoprail/request/refusal.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {

std::string refusalBody(const Refusal &R) {
  nlohmann::json Fields;
  Fields["code"] = errorCode(R.Cause.Kind);
  Fields["message"] = R.Cause.Message;
  Fields["remedy"] = R.Cause.Remedy;
  if (!R.Cause.Field.empty())
    Fields["field"] = R.Cause.Field;
  Fields["not_run"] = R.NotRun;
  if (R.Cause.RetryAfter.count() > 0)
    Fields["retry_after_ms"] = R.Cause.RetryAfter.count();
  Fields["request_id"] = R.RequestId;
  nlohmann::json Body;
  Body["error"] = std::move(Fields);
  // Messages may quote bytes of the request that are not valid UTF-8; they are
  // replaced instead of causing an exception.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse refusalResponse(const Refusal &R) {
  HttpResponse Out;
  Out.Status = httpStatus(R.Cause.Kind);
  Out.Headers.push_back({"Content-Type", "application/json"});
  if (R.Cause.RetryAfter.count() > 0)
    Out.Headers.push_back(
        {"Retry-After",
         std::to_string((R.Cause.RetryAfter.count() + 999) / 1000)});
  if (R.Cause.Kind == ErrorKind::Unauthenticated)
    Out.Headers.push_back({"WWW-Authenticate", "Bearer"});
  Out.Body = refusalBody(R);
  return Out;
}

} // namespace hyssoprail
