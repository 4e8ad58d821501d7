#include "hyssoprail/agent/engine_client.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using nlohmann::json;

/// Timeout of calls that an engine answers immediately: queries and
/// cancellations.
constexpr milliseconds ControlCallTimeout{1'000};

/// Timeout of /order calls. An engine may respond only after it has loaded the
/// weights of the new model, which may take this long.
constexpr milliseconds OrderTimeout{60'000};

CallStatusCode callStatus(unsigned HttpStatus) {
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

CallStatusCode callStatus(const Error &E) {
  switch (E.Kind) {
  case ErrorKind::Unavailable:
    return CallStatusCode::NotSent;
  case ErrorKind::DeadlineExceeded:
    return CallStatusCode::Timeout;
  default:
    return CallStatusCode::ConnectionLost;
  }
}

CallStatusCode callStatus(const Result<HttpResponse> &R) {
  if (const Error *E = errorOf(R))
    return callStatus(*E);
  return callStatus(valueOf(R).Status);
}

/// Sets the code of \p Out and, if the call succeeded, its other fields, which
/// \p Read takes from the JSON body. A body that is not valid JSON, lacks a
/// required field or has one of the wrong type gives OtherError.
template <typename T, typename Reader>
void readResponse(const Result<HttpResponse> &R, T &Out, Reader Read) {
  Out.Code = callStatus(R);
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

struct EngineClient::DecodeStream {
  CallId Call = 0;
  std::shared_ptr<HttpStream> Handle;
  CallStatusCode HeaderStatus = CallStatusCode::Ok;
  std::string Buffer; ///< received part of an incomplete event
};

EngineClient::EngineClient(HttpClient &Client, std::string Authority,
                           ResultHandler OnResult)
    : Client(Client), Authority(std::move(Authority)),
      OnResult(std::move(OnResult)) {}

HttpCall EngineClient::makePostCall(std::string Target, std::string Body,
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

void EngineClient::perform(const PrefillCall &Call) {
  json Body{{"id", Call.Id},
            {"model", Call.Model},
            {"prompt", Call.Prompt},
            {"priority", Call.Priority}};
  if (Call.ResumedTokens != 0)
    Body["resumed_tokens"] = Call.ResumedTokens;
  Client.call(makePostCall("/prefill", Body.dump(), Call.Timeout),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                PrefillResult Out;
                Out.Call = Id;
                readResponse(R, Out, readPrefill);
                OnResult(std::move(Out));
              });
}

void EngineClient::perform(const DecodeCall &Call) {
  const json Body{{"id", Call.Id},
                  {"model", Call.Model},
                  {"prompt", Call.Prompt},
                  {"kv_handle", Call.KvHandle},
                  {"kv_source", Call.KvSource},
                  {"max_tokens", Call.MaxTokens},
                  {"first_index", Call.FirstIndex},
                  {"priority", Call.Priority}};
  auto Stream = std::make_shared<DecodeStream>();
  Stream->Call = Call.Call;
  Streams[Call.Call] = Stream;
  HttpStreamHandlers Handlers;
  Handlers.OnHeader = [Stream](unsigned HttpStatus) {
    Stream->HeaderStatus = callStatus(HttpStatus);
  };
  Handlers.OnData = [this, Stream](std::string_view Data) {
    onStreamData(*Stream, Data);
  };
  Handlers.OnEnd = [this, Id = Call.Call](const Status &End) {
    onStreamEnd(Id, End);
  };
  Stream->Handle =
      Client.stream(makePostCall("/decode", Body.dump(), Call.ReadTimeout),
                    std::move(Handlers));
}

void EngineClient::onStreamData(DecodeStream &Stream, std::string_view Data) {
  if (Stream.HeaderStatus != CallStatusCode::Ok)
    return;
  Stream.Buffer += Data;
  DecodeTokens Batch;
  Batch.Call = Stream.Call;
  std::optional<DecodeEnd> End;
  std::size_t LineBegin = 0;
  for (std::size_t LineEnd = Stream.Buffer.find('\n');
       LineEnd != std::string::npos && !End;
       LineBegin = LineEnd + 1, LineEnd = Stream.Buffer.find('\n', LineBegin)) {
    const std::string_view Line(Stream.Buffer.data() + LineBegin,
                                LineEnd - LineBegin);
    if (Line.substr(0, 5) != "data:")
      continue;
    const json Event = json::parse(Line.substr(5), nullptr, false);
    try {
      if (Event.value("done", false)) {
        End = DecodeEnd{Stream.Call, CallStatusCode::Ok,
                        Event.at("finish_reason").get<std::string>(),
                        Event.at("output_tokens").get<std::uint32_t>()};
        continue;
      }
      const auto Index = Event.at("index").get<std::uint32_t>();
      if (Batch.Tokens.empty())
        Batch.Index = Index;
      if (Index != Batch.Index + Batch.Tokens.size())
        End = DecodeEnd{Stream.Call, CallStatusCode::OtherError, {}, 0};
      else
        Batch.Tokens.push_back(Event.at("token").get<std::string>());
    } catch (const json::exception &) {
      End = DecodeEnd{Stream.Call, CallStatusCode::OtherError, {}, 0};
    }
  }
  Stream.Buffer.erase(0, LineBegin);
  if (!Batch.Tokens.empty())
    OnResult(std::move(Batch));
  if (End && Streams.contains(Stream.Call))
    finishStream(Stream, std::move(*End));
}

void EngineClient::finishStream(DecodeStream &Stream, DecodeEnd End) {
  const std::shared_ptr<DecodeStream> KeepAlive = Streams.at(Stream.Call);
  Streams.erase(Stream.Call);
  OnResult(std::move(End));
}

void EngineClient::onStreamEnd(CallId Call, const Status &End) {
  auto It = Streams.find(Call);
  if (It == Streams.end())
    return;
  CallStatusCode FinalStatus = It->second->HeaderStatus;
  if (const Error *E = errorOf(End))
    FinalStatus = callStatus(*E);
  else if (FinalStatus == CallStatusCode::Ok)
    // The stream ended before its final event.
    FinalStatus = CallStatusCode::ConnectionLost;
  finishStream(*It->second, {Call, FinalStatus, {}, 0});
}

void EngineClient::perform(const AbandonCall &Call) {
  auto It = Streams.find(Call.Call);
  if (It == Streams.end())
    return;
  const std::shared_ptr<DecodeStream> Stream = It->second;
  Streams.erase(It);
  if (Stream->Handle)
    Stream->Handle->cancel();
}

void EngineClient::perform(const CancelCall &Call) {
  Client.call(
      makePostCall("/cancel", json{{"id", Call.Id}}.dump(), ControlCallTimeout),
      [this, Id = Call.Call](const Result<HttpResponse> &R) {
        OnResult(CancelResult{Id, callStatus(R)});
      });
}

/// Asks the engine for a document and passes a result of type T, filled by
/// \p Read, to the handler.
template <typename T, typename Reader>
void EngineClient::query(CallId Id, std::string Target, Reader Read) {
  HttpCall Get;
  Get.Authority = Authority;
  Get.Request.Method = "GET";
  Get.Request.Target = std::move(Target);
  Get.Timeout = ControlCallTimeout;
  Client.call(std::move(Get), [this, Id, Read](const Result<HttpResponse> &R) {
    T Out;
    Out.Call = Id;
    readResponse(R, Out, Read);
    OnResult(std::move(Out));
  });
}

void EngineClient::perform(const QueryCall &Call) {
  switch (Call.Query) {
  case EngineQuery::Status:
    return query<StatusResult>(Call.Call, "/status", readStatus);
  case EngineQuery::Load:
    return query<LoadResult>(Call.Call, "/load", readLoad);
  case EngineQuery::Held:
    return query<HeldResult>(Call.Call, "/held", readHeld);
  }
}

void EngineClient::perform(const OrderCall &Call) {
  const json Body{{"fencing", Call.FencingToken},
                  {"model", Call.Model},
                  {"version", Call.Version},
                  {"role", Call.Role}};
  Client.call(makePostCall("/order", Body.dump(), OrderTimeout),
              [this, Id = Call.Call](const Result<HttpResponse> &R) {
                OnResult(OrderResult{Id, callStatus(R)});
              });
}

void EngineClient::perform(const ServiceCall &Call) {
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
                  Out.Code = callStatus(*E);
                } else {
                  const HttpResponse &Response = valueOf(R);
                  Out.Status = Response.Status;
                  Out.Body = Response.Body;
                  for (const HttpHeader &H : Response.Headers) {
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
