#include "hyssoprail/connection/http_session.hpp"
#include "hyssoprail/connection/body_admission.hpp"

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
  const asio::any_io_executor &Executor = State->Options.Executor;
  asio::co_spawn(
      Executor ? Executor : Socket.get_executor(),
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
  if (MemoryTurn)
    MemoryTurn->cancel();
}

void HttpSession::setBusy(bool Now) {
  if (std::exchange(Busy, Now) == Now)
    return;
  if (Now)
    ++State->BusyConnections;
  else
    --State->BusyConnections;
}

/// The kernel closes the connections of a process that is killed in the same
/// way, so it is told as soon as the response begins.
void HttpSession::setResetOnClose(bool Now) {
  if (std::exchange(ResetOnClose, Now) == Now)
    return;
  Code Ignored;
  Socket.set_option(asio::socket_base::linger(Now, 0), Ignored);
}

void HttpSession::close() {
  setBusy(false);
  Code Ignored;
  Socket.close(Ignored);
  Signal.cancel();
  Timer.cancel();
}

asio::awaitable<void> HttpSession::run() {
  Code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  std::string Defect;
  try {
    co_await serveRequests();
  } catch (const std::exception &E) {
    Defect = E.what();
    Defect = Defect.empty() ? "unknown exception" : Defect;
  }
  if (!Defect.empty())
    co_await endDefectiveRequest(std::move(Defect));
  if (Linger)
    co_await linger();
  close();
}

asio::awaitable<void> HttpSession::serveRequests() {
  bool KeepOpen = true;
  while (KeepOpen)
    KeepOpen = co_await serveRequest();
}

/// An exception ended a request, for example because its response cannot be
/// serialised. The caller gets a 500, or a reset if the response has begun.
asio::awaitable<void> HttpSession::endDefectiveRequest(std::string Reason) {
  reportDefect(Reason);
  if (const auto Exchange = std::exchange(Current, nullptr)) {
    Exchange->disconnect();
    Exchange->complete();
  }
  Linger = false;
  setResetOnClose(ResponseBegun);
  if (ResponseBegun)
    co_return;
  HttpResponse Response = errorResponse(requestFailed());
  Linger = co_await writeComplete(Response, false, 11, false);
}

void HttpSession::reportDefect(std::string_view Reason) const {
  if (State->Options.OnDefect)
    return State->Options.OnDefect(Reason);
  spdlog::error("[http] A request failed inside the server: {}.", Reason);
}

/// Reads one request and sends its response. Returns false if the connection
/// must be closed.
asio::awaitable<bool> HttpSession::serveRequest() {
  if (!co_await waitForFirstByte())
    co_return false;
  ResponseBegun = false;
  std::optional<Incoming> In(std::in_place);
  Code Failure = co_await readHead(*In);
  if (In->Defect) {
    co_await refuseFraming(*In);
    co_return false;
  }
  if (!Failure) {
    In->Decision = callHeadHandler(In->Request);
    if (In->Decision.Rejection)
      co_return co_await reject(*In);
    co_await reserveRequest(*In);
    if (!In->Decision.Rejection)
      Failure = co_await readBody(*In);
    if (In->Decision.Rejection)
      co_return co_await reject(*In);
  }
  if (Failure) {
    In.reset(); // gives back what was taken for a body that does not arrive
    co_await sendReadError(Failure);
    co_return false;
  }
  Reading = false;
  const bool KeepAlive = In->KeepAlive;
  const unsigned Version = In->P.get().version();
  const auto Exchange = makeExchange(*In);
  In.reset(); // frees its memory while the response is being produced
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  Current = Exchange;
  const OpenExchange Counted(*State);
  watchForDisconnect();
  callHandler(Exchange);
  // Behind a pipelined request, Linger still concerns the response before.
  const bool LingerBefore = std::exchange(Linger, false);
  const bool Sent = co_await sendResponse(*Exchange, KeepAlive, Version);
  if (!Sent && !Linger)
    Exchange->disconnect();
  Exchange->complete();
  Current.reset();
  Linger = Linger || Sent || LingerBefore;
  co_return Sent &&AnnouncedKeepAlive;
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
    setResetOnClose(!Chunked && (HeadSent || Update.Started));
    if (Update.Disconnected || Update.Overflowed ||
        (Update.Aborted && Update.FullResponse))
      co_return false;
    if (Update.FullResponse) {
      setResetOnClose(false); // it has a Content-Length
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
      setResetOnClose(false);
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
  ResponseBegun = true;
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
  ResponseBegun = true;
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
    reportDefect(E.what());
    Exchange->respond(errorResponse(requestFailed()));
  }
}

HttpResponse HttpSession::errorResponse(const Error &E) const {
  return State->Options.ErrorResponse
             ? State->Options.ErrorResponse(E)
             : HttpResponse{httpStatus(E.Kind), {}, E.Message};
}

Error HttpSession::requestFailed() {
  return {ErrorKind::Internal,
          "the request failed",
          "report the request id to the operator",
          "",
          {}};
}

std::shared_ptr<ServerExchange> HttpSession::makeExchange(Incoming &In) {
  auto Wake = [Executor = Socket.get_executor(), Weak = weak_from_this()] {
    asio::post(Executor, [Weak] {
      if (const auto Self = Weak.lock())
        Self->wakeResponse();
    });
  };
  return std::make_shared<ServerExchange>(
      ReceivedRequest{std::move(In.Memory), std::move(In.Decision.Admission),
                      std::move(In.Request)},
      State->Options.Bodies ? State->Options.Bodies->account() : nullptr,
      State->Options.MaxUnsentBytes,
      ServerExchange::ConnectionHooks{
          std::move(Wake), [Weak = weak_from_this()] {
            const auto Self = Weak.lock();
            return Self && Self->lookAtClient() != ClientState::Left;
          }});
}

HttpSession::ClientState HttpSession::lookAtClient() {
  char Byte = 0;
  Code Failure;
  Socket.non_blocking(true, Failure);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  if (Failure == asio::error::would_block)
    return ClientState::Waits;
  return Failure ? ClientState::Left : ClientState::SendsMore;
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
                      const ClientState Seen = Self->lookAtClient();
                      if (Seen == ClientState::Waits)
                        Self->watchForDisconnect();
                      else if (Seen == ClientState::Left)
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
