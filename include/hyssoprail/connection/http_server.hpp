#ifndef HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// One request and its answer. The answering functions may be called from any
/// thread; calls after the answer is complete have no effect.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends a whole answer.
  virtual void respond(HttpResponse Response) = 0;

  /// Begins a streamed answer.
  virtual void begin(unsigned Status, HttpHeaders Headers) = 0;

  /// Adds \p Data to a streamed answer.
  virtual void write(std::string Data) = 0;

  /// Completes a streamed answer.
  virtual void finish() = 0;

  /// Breaks the connection, so that the caller sees an incomplete answer.
  virtual void abort() = 0;

  /// Sets the function called once on the connection's thread if the caller
  /// disconnects before the answer is complete.
  virtual void onDisconnect(std::function<void()> Callback) = 0;

  /// Bytes of the answer that the connection has not taken yet.
  virtual std::size_t unsentBytes() const = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Settings of an HTTP server.
struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0: any free port
  unsigned Threads = 1;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 8 * 1024 * 1024;
  /// A streamed answer whose caller is this far behind is broken off.
  std::size_t MaxUnsentBytes = 16 * 1024 * 1024;
  /// From the first byte of a request to the end of its head.
  std::chrono::milliseconds ReadTimeout{10'000};
  /// A body may take ReadTimeout and besides as long as it keeps this rate.
  std::size_t MinBodyBytesPerSecond = 4'096;
  std::chrono::milliseconds IdleTimeout{60'000}; ///< between requests
  /// A write may take this and besides as long as the caller keeps this rate.
  std::chrono::milliseconds WriteTimeout{30'000};
  std::size_t MinWriteBytesPerSecond = 4'096;
  /// How long a draining server still reads requests that were on their way
  /// on idle connections.
  std::chrono::milliseconds DrainGrace{250};
  /// Makes the answer to a request that could not be read.
  std::function<HttpResponse(const Error &)> ErrorResponse;
};

/// HTTP/1.1 server with keep-alive and pipelining. Each connection stays on
/// one thread. Exchanges may outlive the server; their calls then have no
/// effect. The server writes the headers that frame a message itself and drops
/// those of the handler (see mayForwardHeader).
///
/// \code
///   auto Server = makeHttpServer(Options, [](auto Exchange) {
///     Exchange->respond(jsonResponse(200, "{}"));
///   });
///   if (const Error *E = errorOf(Server->start())) ...
/// \endcode
class HttpServer {
public:
  virtual ~HttpServer() = default;

  /// Binds and starts the threads. Fails with Unavailable if the address is in
  /// use.
  virtual Status start() = 0;

  /// Replaces the bounds of what callers may send, for later requests.
  virtual void setLimits(std::uint32_t MaxHeaderBytes,
                         std::uint64_t MaxBodyBytes,
                         std::chrono::milliseconds ReadTimeout,
                         std::chrono::milliseconds IdleTimeout) = 0;

  /// From now on every answer asks the caller to close the connection; new
  /// connections are still accepted.
  virtual void disableKeepAlive() = 0;

  /// Stops accepting connections and closes idle ones after DrainGrace.
  /// Requests in progress go on, and answers carry "Connection: close".
  virtual void drain() = 0;

  /// Closes everything and joins the threads.
  virtual void stop() = 0;

  /// Port that was bound.
  virtual std::uint16_t port() const = 0;

  /// Number of requests whose answer is not complete.
  virtual std::size_t openExchanges() const = 0;
};

/// Makes a server that calls \p Handler for each request, on the thread of the
/// connection.
std::unique_ptr<HttpServer> makeHttpServer(HttpServerOptions Options,
                                           HttpHandler Handler);

/// Makes a server that runs on the event loop of \p Context, which must outlive
/// it; Options.Threads is not used.
std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context &Context,
                                           HttpServerOptions Options,
                                           HttpHandler Handler);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP
