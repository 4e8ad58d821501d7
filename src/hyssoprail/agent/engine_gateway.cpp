#include "hyssoprail/agent/engine_gateway.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using nlohmann::json;

/// Time for calls that an engine answers at once.
constexpr milliseconds QuickCall{1'000};

/// Loading weights may take this long.
constexpr milliseconds OrderTimeout{60'000};

CallStatusCode endOf(unsigned HttpStatus) {
  if (HttpStatus >= 200 && HttpStatus < 300)
    return CallStatusCode::Ok;
  switch (HttpStatus) {
  case 404:
  case 410:
    return CallStatusCode::Gone;
  case 409:
    return CallStatusCode::Conflict;
  case 503:
    return CallStatusCode::Busy;
  default:
    return CallStatusCode::OtherError;
  }
}

CallStatusCode endOf(const Error &E) {
  switch (E.Kind) {
  case ErrorKind::Unavailable:
    return CallStatusCode::NotSent;
  case ErrorKind::DeadlineExceeded:
    return CallStatusCode::Timeout;
  default:
    return CallStatusCode::ConnectionLost;
  }
}

CallStatusCode endOf(const Result<HttpResponse> &R) {
  if (const Error *E = errorOf(R))
    return endOf(*E);
  return endOf(valueOf(R).Status);
}

/// Fills \p Out from the JSON body of a successful answer with \p Read; an
/// answer of another shape counts as refused.
template <typename T, typename Reader>
void readBody(const Result<HttpResponse> &R, T &Out, Reader Read) {
  Out.Code = endOf(R);
  if (Out.Code != CallStatusCode::Ok)
    return;
  try {
    Read(json::parse(valueOf(R).Body), Out);
  } catch (const json::exception &) {
    Out.Code = CallStatusCode::OtherError;
  }
}

void readPrefill(const json &Body, PrefillResult &Out) {
  Out.KvHandle = Body.at("kv_handle").get<std::string>();
  Out.PromptTokens = Body.value("prompt_tokens", 0U);
  Out.CachedTokens = Body.value("cached_tokens", 0U);
  Out.KvBytes = Body.value("kv_bytes", std::uint64_t{0});
  Out.KvTtl = milliseconds(Body.value("kv_ttl_ms", std::int64_t{0}));
  Out.Duration = milliseconds(Body.value("duration_ms", std::int64_t{0}));
}

void readStatus(const json &Body, StatusResult &Out) {
  Out.Incarnation = Body.at("incarnation").get<std::string>();
  Out.Uptime = milliseconds(Body.at("uptime_ms").get<std::int64_t>());
  Out.Role = Body.at("role").get<std::string>();
  Out.Model = Body.value("model", "");
  Out.Version = Body.value("version", "");
  Out.Cold = Body.value("cold", false);
  Out.Slots = Body.at("slots").get<std::uint32_t>();
  Out.Pieces = Body.at("pieces").get<std::uint32_t>();
  Out.PieceTokens = Body.at("piece_tokens").get<std::uint32_t>();
}

void readLoad(const json &Body, LoadResult &Out) {
  Out.StepMicros = Body.value("step_us", 0U);
  Out.PrefillMicrosPerToken = Body.value("prefill_us_per_token", 0U);
}

void readHeld(const json &Body, HeldResult &Out) {
  for (const json &Item : Body.at("work"))
    Out.Work.push_back({Item.at("id").get<std::string>(),
                        Item.value("pieces", 0U), Item.value("state", "")});
}

} // namespace

struct EngineGateway::Stream {
  CallId Call = 0;
  std::shared_ptr<HttpStream> Handle;
  CallStatusCode Header = CallStatusCode::Ok;
  std::string Buffer; ///< an event that is not complete yet
};

EngineGateway::EngineGateway(HttpClient &Client, std::string Authority,
                             Handler OnResult)
    : Client(Client), Authority(std::move(Authority)),
      OnResult(std::move(OnResult)) {}

HttpCall EngineGateway::post(std::string Target, std::string Body,
                             milliseconds Timeout) const {
  HttpCall Call;
  Call.Authority = Authority;
  Call.Request.Method = "POST";
  Call.Request.Target = std::move(Target);
  Call.Request.Headers = {{"Content-Type", "application/json"}};
  Call.Request.Body = std::move(Body);
  Call.Timeout = Timeout;
  return Call;
}

void EngineGateway::perform(const PrefillCall &Call) {
  json Body{{"id", Call.Id},
            {"model", Call.Model},
            {"prompt", Call.Prompt},
            {"priority", Call.Priority}};
  if (Call.ResumedTokens != 0)
    Body["resumed_tokens"] = Call.ResumedTokens;
  Client.call(post("/prefill", Body.dump(), Call.Timeout),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                PrefillResult Out;
                Out.Call = Id;
                readBody(R, Out, readPrefill);
                OnResult(std::move(Out));
              });
}

void EngineGateway::perform(const DecodeCall &Call) {
  const json Body{{"id", Call.Id},
                  {"model", Call.Model},
                  {"prompt", Call.Prompt},
                  {"kv_handle", Call.KvHandle},
                  {"kv_source", Call.KvSource},
                  {"max_tokens", Call.MaxTokens},
                  {"first_index", Call.FirstIndex},
                  {"priority", Call.Priority}};
  auto S = std::make_shared<Stream>();
  S->Call = Call.Call;
  Streams[Call.Call] = S;
  HttpStreamHandlers Handlers;
  Handlers.OnHeader = [S](unsigned HttpStatus) {
    S->Header = endOf(HttpStatus);
  };
  Handlers.OnData = [this, S](std::string_view Data) {
    onStreamData(*S, Data);
  };
  Handlers.OnEnd = [this, Id = Call.Call](const Status &End) {
    onStreamEnd(Id, End);
  };
  S->Handle = Client.stream(post("/decode", Body.dump(), Call.ReadTimeout),
                            std::move(Handlers));
}

void EngineGateway::onStreamData(Stream &S, std::string_view Data) {
  if (S.Header != CallStatusCode::Ok)
    return;
  S.Buffer += Data;
  DecodeTokens Batch;
  Batch.Call = S.Call;
  std::optional<DecodeEnd> End;
  std::size_t Begin = 0;
  for (std::size_t Line = S.Buffer.find('\n');
       Line != std::string::npos && !End;
       Begin = Line + 1, Line = S.Buffer.find('\n', Begin)) {
    const std::string_view Text(S.Buffer.data() + Begin, Line - Begin);
    if (Text.substr(0, 5) != "data:")
      continue;
    const json Event = json::parse(Text.substr(5), nullptr, false);
    try {
      if (Event.value("done", false)) {
        End = DecodeEnd{S.Call, CallStatusCode::Ok,
                        Event.at("finish_reason").get<std::string>(),
                        Event.at("output_tokens").get<std::uint32_t>()};
        continue;
      }
      const auto Index = Event.at("index").get<std::uint32_t>();
      if (Batch.Tokens.empty())
        Batch.Index = Index;
      if (Index != Batch.Index + Batch.Tokens.size())
        End = DecodeEnd{S.Call, CallStatusCode::OtherError, {}, 0};
      else
        Batch.Tokens.push_back(Event.at("token").get<std::string>());
    } catch (const json::exception &) {
      End = DecodeEnd{S.Call, CallStatusCode::OtherError, {}, 0};
    }
  }
  S.Buffer.erase(0, Begin);
  if (!Batch.Tokens.empty())
    OnResult(std::move(Batch));
  if (End && Streams.contains(S.Call))
    finishStream(S, std::move(*End));
}

void EngineGateway::finishStream(Stream &S, DecodeEnd End) {
  const std::shared_ptr<Stream> Kept = Streams.at(S.Call);
  Streams.erase(S.Call);
  OnResult(std::move(End));
}

void EngineGateway::onStreamEnd(CallId Call, const Status &End) {
  auto It = Streams.find(Call);
  if (It == Streams.end())
    return;
  CallStatusCode Kind = It->second->Header;
  if (const Error *E = errorOf(End))
    Kind = endOf(*E);
  else if (Kind == CallStatusCode::Ok)
    Kind = CallStatusCode::ConnectionLost; // the stream ended without its last
                                           // event
  finishStream(*It->second, {Call, Kind, {}, 0});
}

void EngineGateway::perform(const AbandonCall &Call) {
  auto It = Streams.find(Call.Call);
  if (It == Streams.end())
    return;
  const std::shared_ptr<Stream> S = It->second;
  Streams.erase(It);
  if (S->Handle)
    S->Handle->cancel();
}

void EngineGateway::perform(const CancelCall &Call) {
  Client.call(post("/cancel", json{{"id", Call.Id}}.dump(), QuickCall),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                OnResult(CancelResult{Id, endOf(R)});
              });
}

void EngineGateway::perform(const QueryCall &Call) {
  HttpCall Get;
  Get.Authority = Authority;
  Get.Request.Method = "GET";
  Get.Timeout = QuickCall;
  const CallId Id = Call.Call;
  switch (Call.Query) {
  case EngineQuery::Status:
    Get.Request.Target = "/status";
    Client.call(std::move(Get), [this, Id](const Result<HttpResponse> &R) {
      StatusResult Out;
      Out.Call = Id;
      readBody(R, Out, readStatus);
      OnResult(std::move(Out));
    });
    return;
  case EngineQuery::Load:
    Get.Request.Target = "/load";
    Client.call(std::move(Get), [this, Id](const Result<HttpResponse> &R) {
      LoadResult Out;
      Out.Call = Id;
      readBody(R, Out, readLoad);
      OnResult(Out);
    });
    return;
  case EngineQuery::Held:
    Get.Request.Target = "/held";
    Client.call(std::move(Get), [this, Id](const Result<HttpResponse> &R) {
      HeldResult Out;
      Out.Call = Id;
      readBody(R, Out, readHeld);
      OnResult(std::move(Out));
    });
    return;
  }
}

void EngineGateway::perform(const OrderCall &Call) {
  const json Body{{"fencing", Call.FencingToken},
                  {"model", Call.Model},
                  {"version", Call.Version},
                  {"role", Call.Role}};
  Client.call(post("/order", Body.dump(), OrderTimeout),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                OnResult(OrderResult{Id, endOf(R)});
              });
}

void EngineGateway::perform(const ServiceCall &Call) {
  HttpCall Http;
  Http.Authority = Authority;
  Http.Request.Method = Call.Start.method();
  Http.Request.Target = Call.Start.target();
  Http.Request.Body = Call.Start.body();
  for (const wire::Header &Header : Call.Start.headers())
    Http.Request.Headers.push_back({Header.name(), Header.value()});
  if (headerValue(Http.Request.Headers, "X-Request-Id").empty())
    Http.Request.Headers.push_back(
        {"X-Request-Id", Call.Start.work().request_id()});
  Http.Timeout = Call.Timeout;
  Http.FreshConnection = Call.FreshConnection;
  Client.call(std::move(Http),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                ServiceResult Out;
                Out.Call = Id;
                if (const Error *E = errorOf(R)) {
                  Out.Code = endOf(*E);
                } else {
                  const HttpResponse &Answer = valueOf(R);
                  Out.Status = Answer.Status;
                  Out.Body = Answer.Body;
                  for (const HttpHeader &H : Answer.Headers) {
                    wire::Header Header;
                    Header.set_name(H.Name);
                    Header.set_value(H.Value);
                    Out.Headers.push_back(std::move(Header));
                  }
                }
                OnResult(std::move(Out));
              });
}

} // namespace hyssoprail
