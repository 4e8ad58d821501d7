#include "hyssoprail/entry/caller_api.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/entry/key_headers.hpp"
#include "hyssoprail/version/key_digest.hpp"

namespace hyssoprail::entry {
namespace {

/// Longest time for the whole answer of a completion and of a plain call.
constexpr milliseconds CompletionDeadline{120'000};
constexpr milliseconds CallDeadline{10'000};

/// Longest accepted Idempotency-Key in bytes.
constexpr std::size_t MaxIdempotencyKey = 256;

constexpr const char *Version = "0.1.0";

Error methodError(std::string_view Allowed) {
  return {ErrorKind::MethodNotAllowed,
          "the path does not take this method",
          "use " + std::string(Allowed),
          "",
          {}};
}

void refuse(HttpExchange &Exchange, Error Cause, std::string RequestId) {
  HttpResponse Response = refusalResponse({std::move(Cause), true, RequestId});
  Response.Headers.push_back({"X-Request-Id", std::move(RequestId)});
  Exchange.respond(std::move(Response));
}

void refuseMethod(HttpExchange &Exchange, std::string_view Allowed,
                  const std::string &RequestId) {
  HttpResponse Response =
      refusalResponse({methodError(Allowed), true, RequestId});
  Response.Headers.push_back({"Allow", std::string(Allowed)});
  Response.Headers.push_back({"X-Request-Id", RequestId});
  Exchange.respond(std::move(Response));
}

std::string digestOfCall(const HttpRequest &Request) {
  return sha256(Request.Method + "\n" + Request.Target + "\n" + Request.Body);
}

} // namespace

CallerApi::CallerApi(CallerApiContext Context) : Context(std::move(Context)) {}

void CallerApi::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (answerOwn(*Exchange))
    return;
  const std::string_view Path = Request.path();
  if (Path == "/v1/completions")
    return complete(CompletionShape::Text, Exchange);
  if (Path == "/v1/chat/completions")
    return complete(CompletionShape::Chat, Exchange);
  const ConfigPtr Config = Context.Config();
  if (const wire::Route *Route = Config->routeForPath(Path))
    return call(*Route, Config, Exchange);
  refuse(*Exchange,
         {ErrorKind::NotFound,
          "no route has this path",
          "check the path and the configured routes",
          "",
          {}},
         newSpec({}).RequestId);
}

void CallerApi::handleOwn(const std::shared_ptr<HttpExchange> &Exchange) {
  if (!answerOwn(*Exchange))
    refuse(*Exchange,
           {ErrorKind::NotFound,
            "this port does not serve the path",
            "use the port for callers",
            "",
            {}},
           newSpec({}).RequestId);
}

/// Answers the paths that the entry serves itself.
bool CallerApi::answerOwn(HttpExchange &Exchange) const {
  const HttpRequest &Request = Exchange.request();
  const std::string_view Path = Request.path();
  if (Path != "/healthz" && Path != "/readyz" && Path != "/metrics" &&
      Path != "/version")
    return false;
  if (Request.Method != "GET" && Request.Method != "HEAD") {
    refuseMethod(Exchange, "GET", "");
    return true;
  }
  if (Path == "/healthz")
    Exchange.respond(jsonResponse(200, R"({"status":"ok"})"));
  if (Path == "/metrics")
    Exchange.respond({200,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      Context.MetricsText()});
  if (Path == "/version") {
    const nlohmann::json Body = {
        {"version", Version}, {"configuration", Context.Config()->version()}};
    Exchange.respond(jsonResponse(200, Body.dump()));
  }
  if (Path == "/readyz") {
    std::optional<Error> Why = Context.WhyClosed();
    if (!Why)
      Why = Context.WhyKeysUnchecked();
    if (!Why && Context.Config()->version() == 0)
      Why = Error{ErrorKind::Unavailable, "no configuration was read yet",
                  "wait", "", milliseconds(1'000)};
    if (Why)
      Exchange.respond(refusalResponse({*Why, true, ""}));
    else
      Exchange.respond(jsonResponse(200, R"({"status":"ready"})"));
  }
  return true;
}

FlowSpec CallerApi::newSpec(const wire::Route &Route) {
  FlowSpec Spec;
  Spec.RequestId = hexId(Context.Incarnation, ++NextRequest);
  Spec.Route = Route.name();
  Spec.Pool = Route.pool();
  Spec.Class = Route.route_class();
  Spec.Accepted = Context.Time.now();
  return Spec;
}

/// Checks that the entry may take the work, and whose it is.
std::optional<Error> CallerApi::admit(const wire::Route &Route,
                                      const ConfigPtr &Config,
                                      const HttpRequest &Request,
                                      FlowSpec &Spec) const {
  if (std::optional<Error> Closed = Context.WhyClosed())
    return Closed;
  if (Route.open())
    return std::nullopt;
  if (std::optional<Error> Unchecked = Context.WhyKeysUnchecked())
    return Unchecked;
  const std::string_view Presented = presentedKey(Request);
  if (Presented.empty())
    return Error{ErrorKind::Unauthenticated,
                 "the request carries no key",
                 "send \"Authorization: Bearer KEY\"",
                 "Authorization",
                 {}};
  const std::string Digest = keyDigest(Context.KeySecret, Presented);
  const wire::Key *Key = Config->keyByDigest(Digest);
  const wire::ClientAccount *Account =
      Key != nullptr ? Config->account(Key->account()) : nullptr;
  if (Account == nullptr)
    return Error{ErrorKind::Unauthenticated,
                 "the key is unknown or was withdrawn",
                 "use a current key",
                 "Authorization",
                 {}};
  Spec.Account = Account->name();
  Spec.KeyDigest = Digest;
  Spec.Weight = static_cast<std::uint32_t>(
      std::clamp(Account->rate(), 1.0, 4'000'000'000.0));
  return std::nullopt;
}

void CallerApi::complete(CompletionShape Shape,
                         const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::string RequestId = newSpec({}).RequestId;
  if (Request.Method != "POST")
    return refuseMethod(*Exchange, "POST", RequestId);
  Result<CompletionRequest> Parsed = parseCompletion(Shape, Request.Body, {});
  if (const Error *E = errorOf(Parsed))
    return refuse(*Exchange, *E, RequestId);
  CompletionRequest &Completion = valueOf(Parsed);
  const ConfigPtr Config = Context.Config();
  const wire::Route *Route = Config->routeForModel(Completion.Model);
  const wire::Pool *Pool =
      Route != nullptr ? Config->pool(Route->pool()) : nullptr;
  if (Pool == nullptr)
    return refuse(*Exchange,
                  {ErrorKind::NotFound,
                   "field \"model\" names no known model",
                   "use a model that has a route",
                   "model",
                   {}},
                  RequestId);
  FlowSpec Spec = newSpec(*Route);
  if (std::optional<Error> Why = admit(*Route, Config, Request, Spec))
    return refuse(*Exchange, std::move(*Why), Spec.RequestId);
  Spec.Deadline = Spec.Accepted + CompletionDeadline;
  if (Route->first_token_ms() > 0)
    Spec.FirstTokenBy = Spec.Accepted + milliseconds(Route->first_token_ms());
  if (!Spec.Account.empty())
    Spec.DebitTokens =
        std::uint64_t{Completion.PromptTokens} + Completion.MaxTokens;
  CompletionFormatter Answer(Shape, Spec.RequestId, Completion.Model,
                             Context.Time.unixMicros() / 1'000'000);
  Responder Caller(Exchange, Spec.RequestId, std::move(Answer),
                   Completion.Stream, Completion.PromptTokens);
  // Engines know the pool's model; routes may give it other names.
  Completion.Model = Pool->model();
  Spec.Completion = std::move(Completion);
  run(makeCompletionFlow(std::move(Spec), Context.Flows), std::move(Caller),
      Exchange);
}

void CallerApi::call(const wire::Route &Route, const ConfigPtr &Config,
                     const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  FlowSpec Spec = newSpec(Route);
  if (std::optional<Error> Why = admit(Route, Config, Request, Spec))
    return refuse(*Exchange, std::move(*Why), Spec.RequestId);
  Spec.Deadline = Spec.Accepted + CallDeadline;
  if (!Spec.Account.empty())
    Spec.DebitTokens = Route.call_tokens();
  const std::string_view Key = presentedKey(Request);
  Spec.Call.Method = Request.Method;
  Spec.Call.Target = forwardedTarget(Request.Target, Key);
  Spec.Call.Headers = forwardedHeaders(Request.Headers, Key);
  Spec.Call.Headers.push_back({"X-Request-Id", Spec.RequestId});
  Spec.Call.Body = Request.Body;
  Spec.Call.Repeatable = Route.repeatable();
  const std::string_view Idempotency =
      headerValue(Request.Headers, "Idempotency-Key");
  if (Idempotency.size() > MaxIdempotencyKey)
    return refuse(*Exchange,
                  {ErrorKind::InvalidRequest,
                   "the Idempotency-Key is too long",
                   "send at most 256 bytes",
                   "Idempotency-Key",
                   {}},
                  Spec.RequestId);
  if (!Idempotency.empty() && !Route.repeatable()) {
    Spec.Call.ClaimId = claimId(Spec.Account, Idempotency);
    Spec.Call.RequestDigest = digestOfCall(Request);
    Spec.Call.ExistingClaim = Context.FindClaim(Spec.Call.ClaimId);
  }
  Responder Caller(Exchange, Spec.RequestId);
  run(makeCallFlow(std::move(Spec), Context.Flows), std::move(Caller),
      Exchange);
}

void CallerApi::run(std::unique_ptr<RequestFlow> Flow, Responder Answer,
                    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Id = Flow->spec().RequestId;
  Context.Accepted(Flow->spec());
  Context.Requests.accept(std::move(Flow), std::move(Answer));
  Exchange->onDisconnect([this, Id] {
    Context.Requests.post(Id,
                          [](RequestFlow &F, TimePoint Now, FlowActions &Out) {
                            F.callerDisconnected(Now, Out);
                          });
    Context.Pump();
  });
  Context.Pump();
}

} // namespace hyssoprail::entry
