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

/// Counters and switches shared by all connections of a server.
struct ServerState {
  HttpServerOptions Options;
  HttpHandler Handler;
  std::atomic<bool> Draining{false};
  std::atomic<bool> KeepAliveDisabled{false}; ///< answers end their connection
  std::atomic<std::size_t> Open{0};
};

/// One connection of the HTTP server. Used on the thread of its socket.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<ServerState> State);
  ~HttpSession();

  void start();

  /// Closes the connection soon if it waits for a request.
  void drain();

  void close();

private:
  template <typename T> using Awaitable = boost::asio::awaitable<T>;
  using Code = boost::beast::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Clock = std::chrono::steady_clock;

  /// A transfer that may go on while it keeps a rate and does not pause for
  /// longer than its allowance.
  struct Progress {
    Clock::time_point Began;
    std::chrono::milliseconds Allowance; ///< besides the time that bytes earn
    std::size_t MinRate;                 ///< bytes per second
    std::size_t Bytes;                   ///< transferred so far

    Clock::time_point deadline() const;
  };

  Awaitable<void> run();
  Awaitable<bool> serveOne();
  Awaitable<bool> waitForFirstByte();
  Awaitable<Code> readRequest(Parser &P);
  Awaitable<Code> readBody(Parser &P);
  Awaitable<void> answerReadError(Code Failure);
  Awaitable<void> linger();
  Awaitable<bool> answer(ServerExchange &Exchange, bool KeepAlive,
                         unsigned Version);
  Awaitable<bool> writeWhole(HttpResponse &Response, bool KeepAlive,
                             unsigned Version, bool HeadOnly);
  Awaitable<bool> writeHead(HttpResponse &Head, bool KeepAlive,
                            unsigned Version);
  Awaitable<bool> writeData(std::string Data, bool Chunked, bool Last);
  void callHandler(const std::shared_ptr<ServerExchange> &Exchange);
  std::shared_ptr<ServerExchange> makeExchange(HttpRequest Request);
  bool promiseKeepAlive(bool Wanted);
  void wakeAnswer();
  void watchForDisconnect();

  Progress writePace() const;
  void setDeadline(std::chrono::milliseconds After);
  void setDeadlineAt(Clock::time_point At);
  void clearDeadline() { Deadline = Clock::time_point::max(); }
  void scheduleTimer();

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<ServerState> State;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<ServerExchange> Current;
  boost::asio::steady_timer Signal; ///< cancelled to wake the answer
  boost::asio::steady_timer Timer;
  Clock::time_point Deadline = Clock::time_point::max();
  Clock::time_point TimerAt = Clock::time_point::max();
  bool TimedOut = false;
  bool Watching = false;
  bool Idle = false;
  bool PromisedKeepAlive = false;
  bool Linger = false;       ///< the last answer was sent and must arrive
  bool ResetOnClose = false; ///< the answer was broken off without chunks
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_SESSION_HPP
