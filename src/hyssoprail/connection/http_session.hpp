#ifndef HYSSOPRAIL_CONNECTION_HTTP_SESSION_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_SESSION_HPP

#include <atomic>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "hyssoprail/connection/message_framing.hpp"
#include "hyssoprail/connection/server_exchange.hpp"

namespace hyssoprail {

/// State shared by all connections of a server.
struct ServerState {
  HttpServerOptions Options;
  HttpHandler Handler;
  std::atomic<bool> Draining{false};
  std::atomic<bool> KeepAliveDisabled{false};
  std::atomic<bool> EndStreamsByClose{false};
  std::atomic<std::size_t> OpenExchanges{0};
  std::atomic<std::size_t> BusyConnections{0};
};

/// Counts an exchange as open while it exists.
class OpenExchange {
public:
  explicit OpenExchange(ServerState &State) : Count(State.OpenExchanges) {
    ++Count;
  }
  OpenExchange(const OpenExchange &) = delete;
  OpenExchange &operator=(const OpenExchange &) = delete;
  ~OpenExchange() { --Count; }

private:
  std::atomic<std::size_t> &Count;
};

/// One connection of the HTTP server. Must be used on the thread of its socket.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<ServerState> State);
  ~HttpSession();

  void start();

  /// Closes the connection after DrainGrace if it is idle.
  void drain();

  /// Answers a request that is being read with \p Response.
  void refuseIncomplete(const HttpResponse &Response);

  void close();

private:
  template <typename T> using Awaitable = boost::asio::awaitable<T>;
  using Code = boost::beast::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Clock = std::chrono::steady_clock;

  /// A request that is being read.
  struct Incoming {
    Parser P;
    MemoryReservation Memory; ///< for the head, and the body if accepted
    HttpRequest Request;
    HeadDecision Decision;
    Clock::time_point HeadArrival{};
    std::size_t HeadBytes = 0;
    std::optional<FramingDefect> Defect; ///< it has no certain end
    bool KeepAlive = false;
    bool HasRoomToGrow = false; ///< for the largest chunked body

    /// True if the body is short enough to be read and discarded, so that the
    /// connection stays open after a rejection.
    bool canSkipBody() const;
  };

  /// Progress of a transfer, which fails if it pauses for longer than Tolerance
  /// or falls behind MinRate by more than Tolerance.
  struct Progress {
    Clock::time_point Start;
    std::chrono::milliseconds Tolerance;
    std::size_t MinRate; ///< bytes per second
    std::size_t Bytes;   ///< transferred so far

    Clock::time_point deadline() const;
  };

  Awaitable<void> run();
  Awaitable<void> serveRequests();
  Awaitable<bool> serveRequest();
  Awaitable<void> endDefectiveRequest(std::string Reason);
  Awaitable<bool> waitForFirstByte();
  bool mayStayIdle(Clock::time_point IdleSince) const;
  Awaitable<Code> readHead(Incoming &In);
  Awaitable<Code> readBody(Incoming &In);
  bool reserveLongHead(Incoming &In);
  bool needsRoomToGrow(const Incoming &In) const;
  Awaitable<void> reserveRequest(Incoming &In);
  Awaitable<void> reserveGrowth(Incoming &In);
  Awaitable<void> reserve(Incoming &In, std::size_t Bytes, bool Grows);
  HttpResponse memoryRejection(const HeadDecision &Decision,
                               std::chrono::milliseconds RetryAfter) const;
  Awaitable<bool> reject(Incoming &In);
  Awaitable<void> refuseFraming(const Incoming &In);
  Awaitable<bool> skipBody(Parser &P);
  HeadDecision callHeadHandler(const HttpRequest &Head) const;
  void reportDefect(std::string_view Reason) const;
  HttpResponse errorResponse(const Error &E) const;
  static Error requestFailed(); ///< for a defect of this program
  Awaitable<void> sendReadError(Code Failure);
  Awaitable<void> linger();
  Awaitable<bool> sendResponse(ServerExchange &Exchange, bool KeepAlive,
                               unsigned Version);
  Awaitable<bool> writeComplete(HttpResponse &Response, bool KeepAlive,
                                unsigned Version, bool HeadOnly);
  Awaitable<bool> writeHead(HttpResponse &Head, bool KeepAlive, bool Chunked,
                            unsigned Version);
  Awaitable<bool> writeData(std::string Data, bool Chunked, bool Last);
  void callHandler(const std::shared_ptr<ServerExchange> &Exchange);
  std::shared_ptr<ServerExchange> makeExchange(Incoming &In);
  bool decideKeepAlive(bool Requested);
  bool hasNextRequest() const;
  void setResetOnClose(bool Now);
  void setBusy(bool Now);
  void wakeResponse();
  /// What a look at the socket tells of a client that waits for a response.
  enum class ClientState {
    Waits,
    SendsMore, ///< of a pipelined request; it may have left after that
    Left,
  };
  ClientState lookAtClient();
  void watchForDisconnect();

  Progress makeWriteProgress() const;
  void setDeadline(std::chrono::milliseconds After);
  void setDeadlineAt(Clock::time_point At);
  void clearDeadline() { Deadline = Clock::time_point::max(); }
  void scheduleTimer();

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<ServerState> State;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<ServerExchange> Current;
  /// Never expires; cancelled to wake sendResponse().
  boost::asio::steady_timer Signal;
  boost::asio::steady_timer Timer;
  Clock::time_point Deadline = Clock::time_point::max();
  Clock::time_point TimerAt = Clock::time_point::max();
  bool TimedOut = false;
  bool WatchingForDisconnect = false;
  bool Idle = false;
  bool Busy = false;    ///< counted in ServerState::BusyConnections
  bool Reading = false; ///< a request has begun and is not whole
  std::optional<HttpResponse> Refusal; ///< of the request that is being read
  /// Wakes the request that is being read while it waits for memory.
  boost::asio::steady_timer *MemoryTurn = nullptr;
  /// Whether the last response header announced a persistent connection.
  bool AnnouncedKeepAlive = false;
  bool ResponseBegun = false; ///< bytes of the response may have been sent
  bool Linger = false; ///< a response was sent and must arrive before closing
  /// An unchunked response has begun and its end has not been sent.
  bool ResetOnClose = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_SESSION_HPP
