// The part of HttpSession that reads requests.
#include "hyssoprail/connection/body_admission.hpp"
#include "hyssoprail/connection/http_session.hpp"

#include <algorithm>
#include <tuple>
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

/// Copies of a head that exist at a time: in the parser and in the request.
constexpr std::size_t HeadCopies = 2;

/// Time to return for a request that got no memory: at least, and if the rate
/// at which memory is given back is not known.
constexpr std::chrono::milliseconds MinMemoryRetryAfter{100};
constexpr std::chrono::milliseconds UnknownMemoryRetryAfter{1'000};

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

Error noMemory() {
  return {ErrorKind::Unavailable,
          "the server has no memory for the request now",
          "send the request again later",
          "",
          {}};
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

/// The limit that counts is the one in force when it would be reached: clients
/// reuse connections by a new limit as soon as it is announced.
asio::awaitable<bool> HttpSession::waitForFirstByte() {
  if (Buffer.size() > 0)
    co_return true;
  Buffer.shrink_to_fit();
  Idle = true;
  setBusy(false);
  Linger = false;
  const Clock::time_point IdleSince = Clock::now();
  Code Failure;
  std::size_t Size = 0;
  do {
    setDeadlineAt(IdleSince + (State->Draining ? State->Options.DrainGrace
                                               : State->Options.IdleTimeout));
    std::tie(Failure, Size) = co_await Socket.async_read_some(
        Buffer.prepare(ReadChunkBytes), NoThrow);
  } while (Failure && mayStayIdle(IdleSince));
  Idle = false;
  if (Failure)
    co_return false;
  setBusy(true);
  Buffer.commit(Size);
  co_return true;
}

/// True if the read ended at an idle limit that has been raised since.
bool HttpSession::mayStayIdle(Clock::time_point IdleSince) const {
  return TimedOut && !State->Draining && Socket.is_open() &&
         Clock::now() < IdleSince + State->Options.IdleTimeout;
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
  if (!reserveLongHead(In))
    co_return Code(asio::error::no_memory);
  Reading = true;
  setDeadline(State->Options.ReadTimeout);
  auto [Failure, HeaderBytes] =
      co_await http::async_read_header(Socket, Buffer, In.P, NoThrow);
  clearDeadline();
  if (!Failure) {
    In.Request = toHttpRequest(In.P.get());
    In.Defect = findFramingDefect(
        {In.P.get().version(), In.Request.Headers, In.P.chunked()},
        In.Request.Method);
    In.KeepAlive = In.P.keep_alive();
    In.HeadArrival = Clock::now();
    In.HeadBytes = HeaderBytes * HeadCopies;
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
    if (Refusal)
      co_return Code(asio::error::operation_aborted);
    setDeadlineAt(Transfer.deadline());
    auto [StepFailure, Size] =
        co_await http::async_read_some(Socket, Buffer, In.P, NoThrow);
    Failure = StepFailure;
    Transfer.Bytes += Size;
    if (!Failure && needsRoomToGrow(In)) {
      clearDeadline();
      co_await reserveGrowth(In);
      if (In.Decision.Rejection)
        co_return Code();
      Transfer.Start = Clock::now();
      Transfer.Bytes = 0;
    }
  }
  clearDeadline();
  In.Memory.shrinkTo(In.HeadBytes + In.P.get().body().size());
  In.Request.Body = std::move(In.P.get().body());
  co_return Failure &&TimedOut ? Code(beast::error::timeout) : Failure;
}

/// A head that did not arrive at once may take MaxHeaderBytes until it is
/// complete.
bool HttpSession::reserveLongHead(Incoming &In) {
  const auto &Bodies = State->Options.Bodies;
  const std::string_view Start(static_cast<const char *>(Buffer.data().data()),
                               Buffer.size());
  if (!Bodies || Start.find("\r\n\r\n") != std::string_view::npos)
    return true;
  In.Memory = MemoryReservation(Bodies->account());
  return In.Memory.grow(State->Options.MaxHeaderBytes);
}

/// Reserves memory for an accepted request, whose body has not been read. The
/// request waits if there is none, and is rejected if it would wait too long.
asio::awaitable<void> HttpSession::reserveRequest(Incoming &In) {
  In.Memory.clear();
  std::size_t BodyBytes = 0;
  if (!In.P.is_done()) // the length is within MaxBodyBytes
    BodyBytes = In.P.content_length()
                    ? static_cast<std::size_t>(*In.P.content_length())
                    : BodyAdmission::SmallBytes -
                          std::min(BodyAdmission::SmallBytes, In.HeadBytes);
  co_await reserve(In, In.HeadBytes + BodyBytes, false);
}

/// A chunked body may become as large as any, so it goes on with room for the
/// largest one. It holds no more than a small request while it waits.
asio::awaitable<void> HttpSession::reserveGrowth(Incoming &In) {
  const auto Bytes = static_cast<std::size_t>(State->Options.MaxBodyBytes);
  co_await reserve(In, In.HeadBytes + Bytes, true);
  if (In.Decision.Rejection)
    co_return;
  In.HasRoomToGrow = true;
  In.P.get().body().reserve(Bytes);
}

asio::awaitable<void> HttpSession::reserve(Incoming &In, std::size_t Bytes,
                                           bool Grows) {
  const auto &Bodies = State->Options.Bodies;
  if (!Bodies)
    co_return;
  if (!Bodies->fits(Bytes)) {
    In.Decision.Rejection = errorResponse(readError(http::error::body_limit));
    co_return;
  }
  if (auto Memory = Bodies->admit(Bytes)) {
    In.Memory = std::move(*Memory);
    co_return;
  }
  const auto WaitUntil = In.HeadArrival + In.Decision.MaxWait;
  const auto Expected =
      Bodies->expectedWait(Bytes).value_or(std::chrono::milliseconds(0));
  if (Clock::now() + Expected < WaitUntil) {
    const OpenExchange Counted(*State); // a planned stop does not cut it off
    asio::steady_timer Turn(Socket.get_executor(), WaitUntil);
    const auto Place = Bodies->wait(Bytes, Grows, [&Turn] { Turn.cancel(); });
    MemoryTurn = &Turn;
    if (Place && !Refusal)
      co_await Turn.async_wait(NoThrow);
    MemoryTurn = nullptr;
    if (Refusal) {
      In.Decision.Rejection = *Refusal;
      co_return;
    }
    if (Place && Place->Admitted) {
      In.Memory = std::move(Place->Memory);
      co_return;
    }
  }
  In.Decision.Rejection = memoryRejection(
      In.Decision,
      std::max(MinMemoryRetryAfter,
               Bodies->expectedWait(Bytes).value_or(UnknownMemoryRetryAfter)));
}

HttpResponse
HttpSession::memoryRejection(const HeadDecision &Decision,
                             std::chrono::milliseconds RetryAfter) const {
  if (Decision.OnNoMemory)
    return Decision.OnNoMemory(RetryAfter);
  HttpResponse Out = errorResponse(noMemory());
  Out.Headers.push_back(
      {"Retry-After",
       std::to_string(
           std::chrono::ceil<std::chrono::seconds>(RetryAfter).count())});
  return Out;
}

/// True if a chunked body outgrows a small request. It is checked before the
/// string that holds it could need more than SmallBytes to grow.
bool HttpSession::needsRoomToGrow(const Incoming &In) const {
  return State->Options.Bodies && !In.HasRoomToGrow && In.P.chunked() &&
         In.P.get().body().size() > BodyAdmission::SmallBytes / 4;
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
  Reading = false;
  In.Memory.clear();
  In.Decision.Admission.reset();
  bool Sent = false;
  {
    const OpenExchange Counted(*State);
    Sent = co_await writeComplete(
        *In.Decision.Rejection, In.KeepAlive && In.canSkipBody(),
        In.P.get().version(), In.Request.Method == "HEAD");
  }
  // Behind a pipelined request, Linger may still concern the response before.
  Linger = Linger || Sent;
  if (!Sent || !AnnouncedKeepAlive)
    co_return false;
  co_return co_await skipBody(In.P);
}

/// Answers a request whose end can't be told. What follows its head is not
/// read as a request, so the connection has to be closed.
asio::awaitable<void> HttpSession::refuseFraming(const Incoming &In) {
  Reading = false;
  HttpResponse Response = errorResponse(framingError(*In.Defect));
  Linger =
      co_await writeComplete(Response, false, 11, In.Request.Method == "HEAD");
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
    HeadDecision Out;
    Out.Rejection = errorResponse(requestFailed());
    return Out;
  }
}

asio::awaitable<void> HttpSession::sendReadError(Code Failure) {
  Reading = false;
  if (Refusal && Failure == asio::error::operation_aborted) {
    Linger = co_await writeComplete(*Refusal, false, 11, false);
    co_return;
  }
  if (connectionEnded(Failure))
    co_return;
  TimedOut = false;
  HttpResponse Response = Failure == asio::error::no_memory
                              ? memoryRejection({}, UnknownMemoryRetryAfter)
                              : errorResponse(readError(Failure));
  Linger = co_await writeComplete(Response, false, 11, false);
}

} // namespace hyssoprail
