#include "hyssoprail/connection/http_session.hpp"

#include <array>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/spdlog.h>

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

/// Size of the first read of a request. Small, because an idle keep-alive
/// connection holds a buffer of this size.
constexpr std::size_t ReadChunkBytes = 2048;

/// Limits for reading and discarding data after the last response.
constexpr std::size_t MaxLingerBytes = std::size_t{1024} * 1024;
constexpr std::chrono::milliseconds LingerTime{1'000};

HttpRequest toHttpRequest(http::request<http::string_body> &&Message) {
  HttpRequest Out;
  Out.Method = std::string(Message.method_string());
  Out.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Out.Body = std::move(Message.body());
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

template <typename Message>
void addHeaders(Message &Out, const HttpHeaders &Headers) {
  for (const HttpHeader &H : Headers)
    if (mayForwardHeader(H))
      Out.insert(H.Name, H.Value);
}

} // namespace

HttpSession::Clock::time_point HttpSession::Progress::deadline() const {
  const std::chrono::duration<double> TimeAtMinRate(
      static_cast<double>(Bytes) / static_cast<double>(MinRate));
  const auto MinRateEnd =
      Start + std::chrono::duration_cast<Clock::duration>(TimeAtMinRate);
  return std::min(MinRateEnd, Clock::now()) + Tolerance;
}

HttpSession::Progress HttpSession::makeWriteProgress() const {
  return {Clock::now(), State->Options.WriteTimeout,
          State->Options.MinWriteBytesPerSecond, 0};
}

HttpSession::HttpSession(tcp::socket Socket, std::shared_ptr<ServerState> State)
    : Socket(std::move(Socket)), State(std::move(State)),
      Signal(this->Socket.get_executor(), Clock::time_point::max()),
      Timer(this->Socket.get_executor()) {}

HttpSession::~HttpSession() {
  setBusy(false);
  if (Current)
    Current->complete();
}

void HttpSession::start() {
  asio::co_spawn(
      Socket.get_executor(),
      [Self = shared_from_this()] { return Self->run(); }, asio::detached);
}

void HttpSession::drain() {
  if (Idle)
    setDeadline(State->Options.DrainGrace);
}

void HttpSession::refuseIncomplete(const HttpResponse &Response) {
  if (!Reading)
    return;
  Refusal = Response;
  Code Ignored;
  Socket.cancel(Ignored);
}

void HttpSession::setBusy(bool Now) {
  if (std::exchange(Busy, Now) == Now)
    return;
  if (Now)
    ++State->BusyConnections;
  else
    --State->BusyConnections;
}

void HttpSession::close() {
  setBusy(false);
  Code Ignored;
  if (ResetOnClose)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
  Signal.cancel();
  Timer.cancel();
}

asio::awaitable<void> HttpSession::run() {
  Code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  bool KeepOpen = true;
  while (KeepOpen)
    KeepOpen = co_await serveRequest();
  if (Linger)
    co_await linger();
  close();
}

/// Lingering close: reads and discards what the client still sends, because
/// closing with unread data would reset the connection and the client could
/// lose the response.
asio::awaitable<void> HttpSession::linger() {
  Code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  setDeadline(LingerTime);
  std::size_t Discarded = 0;
  while (Discarded < MaxLingerBytes) {
    Buffer.clear();
    auto [Failure, Size] = co_await Socket.async_read_some(
        Buffer.prepare(ReadChunkBytes), NoThrow);
    if (Failure)
      break;
    Discarded += Size;
  }
}

/// Reads one request and sends its response. Returns false if the connection
/// must be closed.
asio::awaitable<bool> HttpSession::serveRequest() {
  if (!co_await waitForFirstByte())
    co_return false;
  std::optional<Parser> P(std::in_place);
  const Code Failure = co_await readRequest(*P);
  if (Failure) {
    co_await sendReadError(Failure);
    co_return false;
  }
  const bool KeepAlive = P->keep_alive();
  const unsigned Version = P->get().version();
  const auto Exchange = makeExchange(toHttpRequest(P->release()));
  P.reset(); // frees its memory while the response is being produced
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  Current = Exchange;
  ++State->OpenExchanges;
  watchForDisconnect();
  callHandler(Exchange);
  // Behind a pipelined request, Linger still concerns the response before.
  const bool LingerBefore = std::exchange(Linger, false);
  const bool Sent = co_await sendResponse(*Exchange, KeepAlive, Version);
  --State->OpenExchanges;
  if (!Sent && !Linger)
    Exchange->disconnect();
  Exchange->complete();
  Current.reset();
  Linger = Linger || Sent || LingerBefore;
  co_return Sent &&AnnouncedKeepAlive;
}

asio::awaitable<bool> HttpSession::waitForFirstByte() {
  if (Buffer.size() > 0)
    co_return true;
  Buffer.shrink_to_fit();
  Idle = true;
  setBusy(false);
  setDeadline(State->Draining ? State->Options.DrainGrace
                              : State->Options.IdleTimeout);
  Linger = false;
  auto [Failure, Size] =
      co_await Socket.async_read_some(Buffer.prepare(ReadChunkBytes), NoThrow);
  Idle = false;
  if (Failure)
    co_return false;
  setBusy(true);
  Buffer.commit(Size);
  co_return true;
}

asio::awaitable<HttpSession::Code> HttpSession::readRequest(Parser &P) {
  P.header_limit(State->Options.MaxHeaderBytes);
  P.body_limit(State->Options.MaxBodyBytes);
  setDeadline(State->Options.ReadTimeout);
  Reading = true;
  auto [Failure, HeaderBytes] =
      co_await http::async_read_header(Socket, Buffer, P, NoThrow);
  if (!Failure && !P.is_done()) {
    if (beast::iequals(P.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> Continue{http::status::continue_, 11};
      co_await http::async_write(Socket, Continue, NoThrow);
    }
    Failure = co_await readBody(P);
  }
  Reading = false;
  clearDeadline();
  co_return Failure &&TimedOut ? Code(beast::error::timeout) : Failure;
}

/// A body may take longer than ReadTimeout while it keeps the minimum rate. One
/// that trickles in more slowly times out.
asio::awaitable<HttpSession::Code> HttpSession::readBody(Parser &P) {
  Code Failure;
  Progress Transfer{Clock::now(), State->Options.ReadTimeout,
                    State->Options.MinBodyBytesPerSecond, 0};
  while (!Failure && !P.is_done()) {
    if (Refusal)
      co_return Code(asio::error::operation_aborted);
    setDeadlineAt(Transfer.deadline());
    auto [StepFailure, Size] =
        co_await http::async_read_some(Socket, Buffer, P, NoThrow);
    Failure = StepFailure;
    Transfer.Bytes += Size;
  }
  co_return Failure;
}

asio::awaitable<void> HttpSession::sendReadError(Code Failure) {
  if (Refusal && Failure == asio::error::operation_aborted) {
    Linger = co_await writeComplete(*Refusal, false, 11, false);
    co_return;
  }
  if (connectionEnded(Failure))
    co_return;
  TimedOut = false;
  const Error E = readError(Failure);
  HttpResponse Response = State->Options.ErrorResponse
                              ? State->Options.ErrorResponse(E)
                              : HttpResponse{httpStatus(E.Kind), {}, E.Message};
  Linger = co_await writeComplete(Response, false, 11, false);
}

asio::awaitable<bool> HttpSession::sendResponse(ServerExchange &Exchange,
                                                bool KeepAlive,
                                                unsigned Version) {
  bool HeadSent = false;
  const bool Chunked = Version >= 11 && !State->EndStreamsByClose;
  const bool HeadOnly = Exchange.request().Method == "HEAD";
  for (;;) {
    ServerExchange::Update Update = Exchange.takeUpdate();
    // Without chunked framing, a normal close would make the response look
    // complete, so it is reset unless its last write succeeds.
    ResetOnClose = !Chunked && (HeadSent || Update.Started);
    if (Update.Disconnected || Update.Overflowed ||
        (Update.Aborted && Update.FullResponse))
      co_return false;
    if (Update.FullResponse) {
      ResetOnClose = false; // it has a Content-Length
      co_return co_await writeComplete(Exchange.head(), KeepAlive, Version,
                                       HeadOnly);
    }
    if (Update.Started && !HeadSent) {
      HeadSent = true;
      if (!co_await writeHead(Exchange.head(), KeepAlive, Chunked, Version))
        co_return false;
    }
    const bool Last = Update.Finished && !Update.Aborted;
    const bool HasData = !Update.Data.empty() || (Last && Chunked);
    if (HasData && !HeadOnly &&
        !co_await writeData(std::move(Update.Data), Chunked, Last))
      co_return false;
    if (Update.Aborted) {
      // What was sent before must arrive, so that the client sees an incomplete
      // response and not a connection that ends without one.
      Linger = HeadSent && Chunked;
      co_return false;
    }
    if (Update.Finished) {
      ResetOnClose = false;
      Linger = true;
      co_return Chunked;
    }
    if (!Exchange.hasUpdate())
      co_await Signal.async_wait(NoThrow);
  }
}

asio::awaitable<bool> HttpSession::writeComplete(HttpResponse &Response,
                                                 bool KeepAlive,
                                                 unsigned Version,
                                                 bool HeadOnly) {
  http::response<http::string_body> Message{
      static_cast<http::status>(Response.Status), Version};
  addHeaders(Message, Response.Headers);
  Message.body() = std::move(Response.Body);
  Message.keep_alive(decideKeepAlive(KeepAlive));
  Message.prepare_payload();
  http::response_serializer<http::string_body> Serializer{Message};
  if (HeadOnly) {
    setDeadline(State->Options.WriteTimeout);
    auto [Failure, Size] =
        co_await http::async_write_header(Socket, Serializer, NoThrow);
    clearDeadline();
    co_return !Failure;
  }
  Code Failure;
  Progress Transfer = makeWriteProgress();
  while (!Failure && !Serializer.is_done()) {
    setDeadlineAt(Transfer.deadline());
    auto [StepFailure, Size] =
        co_await http::async_write_some(Socket, Serializer, NoThrow);
    Failure = StepFailure;
    Transfer.Bytes += Size;
  }
  clearDeadline();
  co_return !Failure;
}

asio::awaitable<bool> HttpSession::writeHead(HttpResponse &Head, bool KeepAlive,
                                             bool Chunked, unsigned Version) {
  http::response<http::empty_body> Message{
      static_cast<http::status>(Head.Status), Version};
  addHeaders(Message, Head.Headers);
  Message.keep_alive(decideKeepAlive(KeepAlive && Chunked));
  if (Chunked)
    Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer{Message};
  setDeadline(State->Options.WriteTimeout);
  auto [Failure, Size] =
      co_await http::async_write_header(Socket, Serializer, NoThrow);
  clearDeadline();
  co_return !Failure;
}

/// Writes \p Data, followed by the last chunk if \p Last is set.
asio::awaitable<bool> HttpSession::writeData(std::string Data, bool Chunked,
                                             bool Last) {
  if (Chunked) {
    std::string Framed;
    if (!Data.empty()) {
      std::array<char, 20> Size{};
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Data.size());
      Framed.reserve(Data.size() + Size.size() + 8);
      Framed.append(Size.data()).append(Data).append("\r\n");
    }
    if (Last)
      Framed.append("0\r\n\r\n");
    Data.swap(Framed);
  }
  Code Failure;
  Progress Transfer = makeWriteProgress();
  while (!Failure && Transfer.Bytes < Data.size()) {
    setDeadlineAt(Transfer.deadline());
    auto [StepFailure, Size] = co_await Socket.async_write_some(
        asio::buffer(Data) + Transfer.Bytes, NoThrow);
    Failure = StepFailure;
    Transfer.Bytes += Size;
  }
  clearDeadline();
  co_return !Failure;
}

/// Decides whether the connection stays open. The response header tells the
/// client, so a drain that begins later must not change the decision. A
/// connection on which a pipelined request has arrived is closed after the
/// response to that.
bool HttpSession::decideKeepAlive(bool Requested) {
  const bool Closes = State->Draining || State->KeepAliveDisabled;
  AnnouncedKeepAlive = Requested && (!Closes || hasNextRequest());
  return AnnouncedKeepAlive;
}

bool HttpSession::hasNextRequest() const {
  Code Ignored;
  return Buffer.size() > 0 || Socket.available(Ignored) > 0;
}

void HttpSession::callHandler(const std::shared_ptr<ServerExchange> &Exchange) {
  try {
    State->Handler(Exchange);
  } catch (const std::exception &E) {
    spdlog::error("[http] A request handler threw an exception: {}.", E.what());
    const Error Defect{ErrorKind::Internal,
                       "the request failed",
                       "report the request id to the operator",
                       "",
                       {}};
    Exchange->respond(State->Options.ErrorResponse
                          ? State->Options.ErrorResponse(Defect)
                          : HttpResponse{500, {}, Defect.Message});
  }
}

std::shared_ptr<ServerExchange> HttpSession::makeExchange(HttpRequest Request) {
  auto Wake = [Executor = Socket.get_executor(), Weak = weak_from_this()] {
    asio::post(Executor, [Weak] {
      if (const auto Self = Weak.lock())
        Self->wakeResponse();
    });
  };
  return std::make_shared<ServerExchange>(
      std::move(Request), State->Options.MaxUnsentBytes, std::move(Wake));
}

void HttpSession::wakeResponse() {
  Signal.cancel();
  Code Ignored;
  if (Current && Current->cancelled())
    Socket.cancel(Ignored); // ends a write that the client does not accept
}

/// Detects a client that disconnects while its response is being produced. Data
/// of a pipelined request ends the watch, as it hides a later end of stream;
/// the disconnect is then noticed by the next write.
void HttpSession::watchForDisconnect() {
  if (WatchingForDisconnect)
    return;
  WatchingForDisconnect = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Weak = weak_from_this()](const Code &Failure) {
                      const auto Self = Weak.lock();
                      if (!Self)
                        return;
                      Self->WatchingForDisconnect = false;
                      if (Failure || !Self->Current)
                        return;
                      char Byte = 0;
                      Code PeekCode;
                      Self->Socket.non_blocking(true, PeekCode);
                      Self->Socket.receive(asio::buffer(&Byte, 1),
                                           tcp::socket::message_peek, PeekCode);
                      if (PeekCode == asio::error::would_block)
                        Self->watchForDisconnect();
                      else if (PeekCode)
                        Self->Current->disconnect();
                    });
}

/// Sets the time at which pending reads and writes are cancelled. The timer is
/// rescheduled only if it would fire too late, because most deadlines are
/// replaced by later ones before they are reached.
void HttpSession::setDeadline(std::chrono::milliseconds After) {
  setDeadlineAt(Clock::now() + After);
}

void HttpSession::setDeadlineAt(Clock::time_point At) {
  TimedOut = false;
  Deadline = At;
  if (Deadline < TimerAt)
    scheduleTimer();
}

void HttpSession::scheduleTimer() {
  TimerAt = Deadline;
  Timer.expires_at(TimerAt);
  Timer.async_wait([Weak = weak_from_this()](const Code &Failure) {
    const auto Self = Weak.lock();
    if (Failure || !Self || !Self->Socket.is_open())
      return;
    Self->TimerAt = Clock::time_point::max();
    if (Self->Deadline > Clock::now()) {
      if (Self->Deadline != Clock::time_point::max())
        Self->scheduleTimer();
      return;
    }
    Code Ignored;
    Self->TimedOut = true;
    Self->Socket.cancel(Ignored);
  });
}

} // namespace hyssoprail
