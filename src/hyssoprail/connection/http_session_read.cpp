// The part of HttpSession that reads requests.
#include "hyssoprail/connection/http_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

/// Size of the first read of a request. Small, because an idle keep-alive
/// connection holds a buffer of this size.
constexpr std::size_t ReadChunkBytes = 2048;

/// Limits for reading and discarding data after the last response.
constexpr std::uint64_t MinLingerBytes = std::uint64_t{1024} * 1024;
constexpr std::chrono::milliseconds LingerTime{1'000};

/// Largest body of a rejected request that is read and discarded, so that its
/// connection stays open. The requests of usual callers are shorter.
constexpr std::uint64_t MaxSkippedBodyBytes = std::uint64_t{128} * 1024;

/// Returns the request without its body.
HttpRequest toHttpRequest(const http::request<http::string_body> &Message) {
  HttpRequest Out;
  Out.Method = std::string(Message.method_string());
  Out.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Out;
}

Error readError(const beast::error_code &Code) {
  if (Code == http::error::body_limit)
    return {ErrorKind::TooLarge,
            "the request body is too large",
            "send a smaller body",
            "body",
            {}};
  if (Code == http::error::header_limit || Code == http::error::buffer_overflow)
    return {ErrorKind::TooLarge,
            "the request headers are too large",
            "send fewer or smaller headers",
            "headers",
            {}};
  if (Code == beast::error::timeout)
    return {ErrorKind::RequestTimeout,
            "the request took too long to arrive",
            "send the request without pauses",
            "",
            {}};
  return {ErrorKind::InvalidRequest,
          "the request is not valid HTTP/1.1",
          "send a request line, headers and a body as RFC 9112 describes",
          "",
          {}};
}

/// Returns true if the connection is closed, so that no response can be sent.
bool connectionEnded(const beast::error_code &Code) {
  return Code == http::error::end_of_stream ||
         Code == http::error::partial_message || Code == asio::error::eof ||
         Code == asio::error::operation_aborted ||
         Code == asio::error::connection_reset;
}

bool expectsContinue(const HttpRequest &Head) {
  return beast::iequals(headerValue(Head.Headers, "Expect"), "100-continue");
}

} // namespace

/// Lingering close: reads and discards what the client still sends, because
/// closing with unread data would reset the connection and the client could
/// lose the response.
asio::awaitable<void> HttpSession::linger() {
  Code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  setDeadline(LingerTime);
  // A client that sends the whole body of a rejected request reads afterwards.
  const std::uint64_t MaxBytes =
      std::max(MinLingerBytes, State->Options.MaxBodyBytes);
  std::uint64_t Discarded = 0;
  while (Discarded < MaxBytes) {
    Buffer.clear();
    auto [Failure, Size] = co_await Socket.async_read_some(
        Buffer.prepare(ReadChunkBytes), NoThrow);
    if (Failure)
      break;
    Discarded += Size;
  }
}

asio::awaitable<bool> HttpSession::waitForFirstByte() {
  if (Buffer.size() > 0)
    co_return true;
  Buffer.shrink_to_fit();
  Idle = true;
  setDeadline(State->Draining ? State->Options.DrainGrace
                              : State->Options.IdleTimeout);
  Linger = false;
  auto [Failure, Size] =
      co_await Socket.async_read_some(Buffer.prepare(ReadChunkBytes), NoThrow);
  Idle = false;
  if (Failure)
    co_return false;
  Buffer.commit(Size);
  co_return true;
}

/// The head of the request is taken before the body is read: the parser adds
/// the trailer fields of a chunked body to the header fields, and a caller
/// could set headers with them that only the system may set.
asio::awaitable<HttpSession::Code> HttpSession::readHead(Incoming &In) {
  In.P.header_limit(State->Options.MaxHeaderBytes);
  In.P.body_limit(State->Options.MaxBodyBytes);
  // The parser leaves a chunk extension and the trailer in the buffer until
  // they are complete.
  Buffer.max_size(std::max(Buffer.size(), std::size_t{ReadChunkBytes} +
                                              State->Options.MaxHeaderBytes));
  setDeadline(State->Options.ReadTimeout);
  auto [Failure, HeaderBytes] =
      co_await http::async_read_header(Socket, Buffer, In.P, NoThrow);
  clearDeadline();
  if (!Failure) {
    In.Request = toHttpRequest(In.P.get());
    In.KeepAlive = In.P.keep_alive();
  }
  co_return Failure &&TimedOut ? Code(beast::error::timeout) : Failure;
}

/// A body may take longer than ReadTimeout while it keeps the minimum rate. One
/// that trickles in more slowly times out.
asio::awaitable<HttpSession::Code> HttpSession::readBody(Incoming &In) {
  Code Failure;
  if (!In.P.is_done() && expectsContinue(In.Request)) {
    http::response<http::empty_body> Continue{http::status::continue_, 11};
    setDeadline(State->Options.WriteTimeout);
    auto [Unsent, Size] = co_await http::async_write(Socket, Continue, NoThrow);
    Failure = Unsent;
  }
  Progress Transfer{Clock::now(), State->Options.ReadTimeout,
                    State->Options.MinBodyBytesPerSecond, 0};
  while (!Failure && !In.P.is_done()) {
    setDeadlineAt(Transfer.deadline());
    auto [StepFailure, Size] =
        co_await http::async_read_some(Socket, Buffer, In.P, NoThrow);
    Failure = StepFailure;
    Transfer.Bytes += Size;
  }
  clearDeadline();
  In.Request.Body = std::move(In.P.get().body());
  co_return Failure &&TimedOut ? Code(beast::error::timeout) : Failure;
}

bool HttpSession::Incoming::canSkipBody() const {
  if (P.is_done())
    return true;
  const auto Size = P.content_length();
  return Size && *Size <= MaxSkippedBodyBytes && !expectsContinue(Request);
}

/// Sends the response to a request whose body has not been read. Returns false
/// if the connection must be closed.
asio::awaitable<bool> HttpSession::reject(Incoming &In) {
  const OpenExchange Counted(*State);
  const bool KeepAlive = In.KeepAlive && In.canSkipBody();
  const bool Sent =
      co_await writeComplete(*In.Decision.Rejection, KeepAlive,
                             In.P.get().version(), In.Request.Method == "HEAD");
  // Behind a pipelined request, Linger may still concern the response before.
  Linger = Linger || Sent;
  if (!Sent || !AnnouncedKeepAlive)
    co_return false;
  co_return co_await skipBody(In.P);
}

asio::awaitable<bool> HttpSession::skipBody(Parser &P) {
  Code Failure;
  setDeadline(State->Options.ReadTimeout);
  while (!Failure && !P.is_done()) {
    auto [StepFailure, Size] =
        co_await http::async_read_some(Socket, Buffer, P, NoThrow);
    Failure = StepFailure;
    P.get().body().clear();
  }
  clearDeadline();
  co_return !Failure;
}

HeadDecision HttpSession::callHeadHandler(const HttpRequest &Head) const {
  if (!State->Options.OnHead)
    return {};
  try {
    return State->Options.OnHead(Head);
  } catch (const std::exception &E) {
    reportDefect(E.what());
    return {errorResponse(requestFailed()), nullptr};
  }
}

asio::awaitable<void> HttpSession::sendReadError(Code Failure) {
  if (connectionEnded(Failure))
    co_return;
  TimedOut = false;
  HttpResponse Response = errorResponse(readError(Failure));
  Linger = co_await writeComplete(Response, false, 11, false);
}

} // namespace hyssoprail
