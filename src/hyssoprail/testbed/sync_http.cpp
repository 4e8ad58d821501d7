#include "hyssoprail/testbed/sync_http.hpp"

#include <optional>

namespace hyssoprail::testbed {

SyncHttp::SyncHttp() : Client(makeHttpClient(Context)) {}

Result<HttpResponse> SyncHttp::call(HttpCall Call) {
  std::optional<Result<HttpResponse>> Answer;
  Client->call(std::move(Call), [&](Result<HttpResponse> Response) {
    Answer = std::move(Response);
  });
  Context.restart();
  while (!Answer && Context.run_one() > 0) {
  }
  if (!Answer)
    return Error{ErrorKind::Internal,
                 "the call ended without an answer",
                 "report this defect",
                 "",
                 {}};
  return std::move(*Answer);
}

Result<HttpResponse> SyncHttp::fetch(const std::string &Authority,
                                     const std::string &Target) {
  HttpCall Call;
  Call.Authority = Authority;
  Call.Request = {"GET", Target, {}, {}};
  return call(std::move(Call));
}

Result<HttpResponse> SyncHttp::post(const std::string &Authority,
                                    const std::string &Target, std::string Body,
                                    HttpHeaders Headers) {
  HttpCall Call;
  Call.Authority = Authority;
  Headers.push_back({"Content-Type", "application/json"});
  Call.Request = {"POST", Target, std::move(Headers), std::move(Body)};
  return this->call(std::move(Call));
}

Result<HttpResponse> SyncHttp::stream(HttpCall Call) {
  HttpResponse Response;
  std::optional<Status> End;
  HttpStreamHandlers Handlers;
  Handlers.OnHeader = [&](unsigned Code) { Response.Status = Code; };
  Handlers.OnData = [&](std::string_view Data) { Response.Body += Data; };
  Handlers.OnEnd = [&](Status S) { End = std::move(S); };
  auto Stream = Client->stream(std::move(Call), std::move(Handlers));
  Context.restart();
  while (!End && Context.run_one() > 0) {
  }
  if (!End)
    return Error{ErrorKind::Internal,
                 "the stream ended without a report",
                 "report this defect",
                 "",
                 {}};
  if (const Error *E = errorOf(*End))
    return *E;
  return Response;
}

} // namespace hyssoprail::testbed
