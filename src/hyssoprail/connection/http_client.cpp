#include "hyssoprail/connection/http_client.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/spdlog.h>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/idle_connections.hpp"
#include "hyssoprail/connection/ip_port.hpp"
#include "hyssoprail/connection/message_framing.hpp"

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);
constexpr IdleBounds Bounds{64, 256};

/// Shorter than the idle timeout of servers, so that a server does not close a
/// pooled connection while a request is in flight.
constexpr std::chrono::seconds MaxIdleTime{20};

/// Servers send one or two interim responses before a response, if any.
constexpr unsigned MaxInterimResponses = 16;
constexpr unsigned FirstFinalStatus = 200;

/// Limit of received bytes that cannot be parsed yet, such as an incomplete
/// response head.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;

Error unavailable(const std::string &Authority, const std::string &Reason) {
  return {ErrorKind::Unavailable,
          "cannot connect to " + Authority + ": " + Reason,
          "check that the address is correct and the process is running",
          "",
          {}};
}

Error connectionFailed(const std::string &Authority,
                       const beast::error_code &Code) {
  if (Code == beast::error::timeout)
    return {ErrorKind::DeadlineExceeded,
            Authority + " did not send a complete response before the timeout",
            "raise the timeout or check the load of that process",
            "",
            {}};
  return {ErrorKind::UpstreamFailed,
          "the connection to " + Authority + " failed: " + Code.message(),
          "check whether that process restarted",
          "",
          {}};
}

/// The HTTP library throws for a message that cannot be sent, such as one with
/// a header that is too long.
Error callFailed(const std::string &Authority, const std::exception &Cause) {
  return {ErrorKind::UpstreamFailed,
          "the call to " + Authority + " failed: " + Cause.what(),
          "report the text to the developers",
          "",
          {}};
}

Result<tcp::endpoint> parseAuthority(const std::string &Authority) {
  const auto Parsed = parseIpPort(Authority);
  if (!Parsed)
    return unavailable(Authority, "not an IP address and port");
  return tcp::endpoint(Parsed->Ip, Parsed->Port);
}

http::request<http::string_body> makeMessage(HttpCall &Call) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Call.Request.Method);
  Message.target(Call.Request.Target);
  Message.set(http::field::host, Call.Authority);
  for (const HttpHeader &H : Call.Request.Headers)
    if (mayForwardHeader(H))
      Message.insert(H.Name, H.Value);
  Message.body() = std::move(Call.Request.Body);
  Message.keep_alive(!Call.FreshConnection);
  Message.prepare_payload();
  return Message;
}

HttpHeaders headersOf(const http::fields &Fields) {
  HttpHeaders Out;
  for (const auto &Field : Fields)
    Out.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Out;
}

/// The error of a response whose end can't be told.
std::optional<Error> checkFraming(const std::string &Authority,
                                  unsigned Version, const HttpHeaders &Headers,
                                  bool ReadAsChunks) {
  const auto Defect = findFramingDefect({Version, Headers, ReadAsChunks});
  if (!Defect)
    return std::nullopt;
  return Error{ErrorKind::UpstreamFailed,
               "the end of a response of " + Authority + " can't be told (" +
                   std::string(framingDefectName(*Defect)) + ")",
               "check what answers at that address",
               "",
               {}};
}

using ConnectionPtr = ClientConnectionPtr;

/// Connections by authority. The idle ones are looked at when the client is
/// used, as programs run the event loop until nothing is left to do.
class ConnectionPool {
public:
  explicit ConnectionPool(asio::io_context &Context)
      : Context(Context), Idle(std::make_shared<IdleConnections>(
                              Context, Bounds, IdleConnections::Watch::OnUse)) {
  }

  ConnectionPtr take(const std::string &Authority) {
    return Idle->take({"", Authority});
  }

  ConnectionPtr create() {
    return std::make_shared<ClientConnection>(Context, MaxBufferedBytes);
  }

  void keep(const std::string &Authority, ConnectionPtr C) {
    if (C->Buffer.size() == 0)
      Idle->keep({"", Authority}, std::move(C), MaxIdleTime);
  }

  IdleConnections &idle() { return *Idle; }

private:
  asio::io_context &Context;
  std::shared_ptr<IdleConnections> Idle;
};

bool isInterim(unsigned Status) { return Status < FirstFinalStatus; }

/// Rejects a method or target that would break the framing of the request.
std::optional<Error> validateCall(const HttpCall &Call) {
  const auto Unsafe = [](char C) {
    return static_cast<unsigned char>(C) <= ' ' || C == 0x7f;
  };
  const std::string &Method = Call.Request.Method;
  const std::string &Target = Call.Request.Target;
  if (!Method.empty() && !Target.empty() &&
      std::none_of(Method.begin(), Method.end(), Unsafe) &&
      std::none_of(Target.begin(), Target.end(), Unsafe))
    return std::nullopt;
  return Error{ErrorKind::InvalidRequest,
               "method or target is empty or contains whitespace",
               "encode the target as RFC 3986 describes",
               "target",
               {}};
}

asio::awaitable<Result<ConnectionPtr>>
connect(std::shared_ptr<ConnectionPool> Connections, const HttpCall &Call) {
  if (auto E = validateCall(Call))
    co_return *E;
  if (!Call.FreshConnection)
    if (ConnectionPtr C = Connections->take(Call.Authority))
      co_return C;
  Result<tcp::endpoint> Endpoint = parseAuthority(Call.Authority);
  if (const Error *E = errorOf(Endpoint))
    co_return *E;
  ConnectionPtr C;
  beast::error_code Failure;
  do {
    C = Connections->create();
    C->Stream.expires_after(Call.Timeout);
    auto [Code] = co_await C->Stream.async_connect(valueOf(Endpoint), NoThrow);
    Failure = Code;
  } while (isDescriptorShortage(Failure) &&
           Connections->idle().closeOldest(1) > 0);
  if (Failure)
    co_return unavailable(Call.Authority, Failure.message());
  beast::error_code Ignored;
  C->Stream.socket().set_option(tcp::no_delay(true), Ignored);
  co_return C;
}

using ResponseParser = http::response_parser<http::string_body>;

/// Reads the body of a response whose head has been read.
asio::awaitable<beast::error_code>
readBody(ClientConnection &C, ResponseParser &Parser, HttpBodyLimits Limits) {
  const auto Deadline = std::chrono::steady_clock::now() + Limits.Total;
  while (!Parser.is_done()) {
    C.Stream.expires_at(
        std::min(Deadline, std::chrono::steady_clock::now() + Limits.Stall));
    auto [Code, Read] =
        co_await http::async_read_some(C.Stream, C.Buffer, Parser, NoThrow);
    if (Code)
      co_return Code;
  }
  co_return beast::error_code();
}

/// The head of the response must arrive before the stream expires.
asio::awaitable<beast::error_code> readResponse(ClientConnection &C,
                                                ResponseParser &Parser,
                                                const HttpCall &Call) {
  if (!Call.Body) {
    auto [Code, Read] =
        co_await http::async_read(C.Stream, C.Buffer, Parser, NoThrow);
    co_return Code;
  }
  auto [Code, Read] =
      co_await http::async_read_header(C.Stream, C.Buffer, Parser, NoThrow);
  if (Code)
    co_return Code;
  co_return co_await readBody(C, Parser, *Call.Body);
}

asio::awaitable<Result<HttpResponse>>
runCall(std::shared_ptr<ConnectionPool> Connections, HttpCall Call) {
  const auto Deadline = std::chrono::steady_clock::now() + Call.Timeout;
  Result<ConnectionPtr> Connected = co_await connect(Connections, Call);
  if (const Error *E = errorOf(Connected))
    co_return *E;
  ConnectionPtr C = valueOf(Connected);
  C->Stream.expires_at(Deadline);
  auto Message = makeMessage(Call);
  auto [WriteCode, Written] =
      co_await http::async_write(C->Stream, Message, NoThrow);
  if (WriteCode)
    co_return connectionFailed(Call.Authority, WriteCode);
  std::optional<ResponseParser> Parser;
  for (unsigned I = 0; !Parser || isInterim(Parser->get().result_int()); ++I) {
    if (I > MaxInterimResponses)
      co_return connectionFailed(Call.Authority, http::error::bad_status);
    Parser.emplace();
    Parser->body_limit(Call.MaxResponseBytes);
    Parser->skip(Call.Request.Method == "HEAD");
    const beast::error_code ReadCode = co_await readResponse(*C, *Parser, Call);
    if (ReadCode)
      co_return connectionFailed(Call.Authority, ReadCode);
  }
  HttpResponse Response;
  Response.Status = Parser->get().result_int();
  Response.Headers = headersOf(Parser->get());
  if (auto E = checkFraming(Call.Authority, Parser->get().version(),
                            Response.Headers, Parser->chunked()))
    co_return *E;
  Response.Body = std::move(Parser->get().body());
  if (Parser->keep_alive())
    Connections->keep(Call.Authority, std::move(C));
  co_return Response;
}

class ClientStream : public HttpStream,
                     public std::enable_shared_from_this<ClientStream> {
public:
  ClientStream(std::shared_ptr<ConnectionPool> Connections, HttpCall Call,
               HttpStreamHandlers Handlers)
      : Connections(std::move(Connections)), Call(std::move(Call)),
        Handlers(std::move(Handlers)) {}

  /// May be called from a handler, so the handlers are not destroyed before
  /// run() ends.
  void cancel() override {
    Cancelled = true;
    if (Active) {
      Active->Stream.cancel();
      Active->Stream.close();
    }
  }

  asio::awaitable<void> run() {
    auto Self = shared_from_this();
    Status End = std::monostate{};
    try {
      End = co_await transfer();
    } catch (const std::exception &E) {
      End = callFailed(Call.Authority, E);
    }
    Active.reset();
    if (!Cancelled && Handlers.OnEnd)
      Handlers.OnEnd(std::move(End));
    Handlers = {};
  }

private:
  asio::awaitable<Status> transfer() {
    Result<ConnectionPtr> Connected = co_await connect(Connections, Call);
    if (const Error *E = errorOf(Connected))
      co_return *E;
    if (Cancelled)
      co_return std::monostate{};
    Active = valueOf(Connected);
    ConnectionPtr C = Active;
    C->Stream.expires_after(Call.Timeout);
    auto Message = makeMessage(Call);
    auto [WriteCode, Written] =
        co_await http::async_write(C->Stream, Message, NoThrow);
    if (WriteCode)
      co_return connectionFailed(Call.Authority, WriteCode);
    http::response_parser<http::buffer_body> Parser;
    Parser.body_limit(boost::none);
    auto [HeadCode, Head] =
        co_await http::async_read_header(C->Stream, C->Buffer, Parser, NoThrow);
    if (HeadCode)
      co_return connectionFailed(Call.Authority, HeadCode);
    if (auto E = checkFraming(Call.Authority, Parser.get().version(),
                              headersOf(Parser.get()), Parser.chunked()))
      co_return *E;
    if (!Cancelled && Handlers.OnHeader)
      Handlers.OnHeader(Parser.get().result_int());
    std::array<char, 4096> Data{};
    while (!Parser.is_done() && !Cancelled) {
      Parser.get().body().data = Data.data();
      Parser.get().body().size = Data.size();
      C->Stream.expires_after(Call.Timeout);
      auto [Code, Size] =
          co_await http::async_read_some(C->Stream, C->Buffer, Parser, NoThrow);
      if (Code && Code != http::error::need_buffer)
        co_return connectionFailed(Call.Authority, Code);
      const std::size_t BytesRead = Data.size() - Parser.get().body().size;
      if (BytesRead > 0 && !Cancelled && Handlers.OnData)
        Handlers.OnData(std::string_view(Data.data(), BytesRead));
    }
    if (!Cancelled && Parser.keep_alive())
      Connections->keep(Call.Authority, std::move(C));
    co_return std::monostate{};
  }

  std::shared_ptr<ConnectionPool> Connections;
  HttpCall Call;
  HttpStreamHandlers Handlers;
  ConnectionPtr Active;
  bool Cancelled = false;
};

asio::awaitable<void> callAndReport(std::shared_ptr<ConnectionPool> Connections,
                                    HttpCall Call,
                                    HttpClient::Callback OnDone) {
  const std::string Authority = Call.Authority;
  Result<HttpResponse> Response = HttpResponse{};
  try {
    Response = co_await runCall(std::move(Connections), std::move(Call));
  } catch (const std::exception &E) {
    Response = callFailed(Authority, E);
  }
  OnDone(std::move(Response));
}

/// Reports an exception that left the callback of a call.
struct CallbackEnd {
  HttpCallbackErrorHandler OnError;

  void operator()(const std::exception_ptr &Thrown) const {
    if (!Thrown)
      return;
    try {
      std::rethrow_exception(Thrown);
    } catch (const std::exception &E) {
      if (OnError)
        OnError(E.what());
      else
        spdlog::error("[http] A callback threw an exception: {}.", E.what());
    }
  }
};

class BeastHttpClient : public HttpClient {
public:
  BeastHttpClient(asio::io_context &Context, HttpCallbackErrorHandler OnError)
      : Context(Context),
        Connections(std::make_shared<ConnectionPool>(Context)),
        OnError(std::move(OnError)) {}

  void call(HttpCall Call, Callback OnDone) override {
    asio::co_spawn(
        Context, callAndReport(Connections, std::move(Call), std::move(OnDone)),
        CallbackEnd{OnError});
  }

  std::shared_ptr<HttpStream> stream(HttpCall Call,
                                     HttpStreamHandlers Handlers) override {
    auto Stream = std::make_shared<ClientStream>(Connections, std::move(Call),
                                                 std::move(Handlers));
    asio::co_spawn(
        Context, [Stream] { return Stream->run(); }, CallbackEnd{OnError});
    return Stream;
  }

  std::size_t closeOldestIdle(std::size_t Count) override {
    return Connections->idle().closeOldest(Count);
  }

  std::size_t idleConnections() const override {
    return Connections->idle().size();
  }

private:
  asio::io_context &Context;
  std::shared_ptr<ConnectionPool> Connections;
  HttpCallbackErrorHandler OnError;
};

} // namespace

std::unique_ptr<HttpClient> makeHttpClient(asio::io_context &Context,
                                           HttpCallbackErrorHandler OnError) {
  return std::make_unique<BeastHttpClient>(Context, std::move(OnError));
}

} // namespace hyssoprail
