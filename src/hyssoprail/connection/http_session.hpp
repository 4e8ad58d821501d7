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
  Awaitable<bool> serveRequest();
  Awaitable<bool> waitForFirstByte();
  Awaitable<Code> readRequest(Parser &P);
  Awaitable<Code> readBody(Parser &P);
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
  std::shared_ptr<ServerExchange> makeExchange(HttpRequest Request);
  bool decideKeepAlive(bool Requested);
  bool hasNextRequest() const;
  void setBusy(bool Now);
  void wakeResponse();
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
  /// Whether the last response header announced a persistent connection.
  bool AnnouncedKeepAlive = false;
  bool Linger = false; ///< a response was sent and must arrive before closing
  /// An unchunked response has begun and its end has not been sent.
  bool ResetOnClose = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_SESSION_HPP
