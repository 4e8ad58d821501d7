#ifndef HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

class BodyAdmission;

/// One request and its response. The functions that send the response are
/// thread-safe; calls after the response is complete have no effect.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends a complete response.
  virtual void respond(HttpResponse Response) = 0;

  /// Begins a streamed response.
  virtual void begin(unsigned Status, HttpHeaders Headers) = 0;

  /// Appends \p Data to a streamed response.
  virtual void write(std::string Data) = 0;

  /// Completes a streamed response.
  virtual void finish() = 0;

  /// Closes the connection such that the client can tell that the response is
  /// incomplete.
  virtual void abort() = 0;

  /// Sets a callback that runs once if the client disconnects before the
  /// response is complete: on the connection's thread, or within this call if
  /// the client has already disconnected.
  virtual void onDisconnect(std::function<void()> Callback) = 0;

  /// Looks whether the client is still connected, also if that it has left was
  /// not handled yet. To be called on the connection's thread.
  virtual bool clientConnected() const { return true; }

  /// Returns the bytes of the response that the connection has not yet taken
  /// over for writing.
  virtual std::size_t unsentBytes() const = 0;

  /// Returns what the head handler has decided (HeadDecision::Admission).
  virtual std::shared_ptr<void> admission() const { return nullptr; }
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// What is decided on a request before its body is read.
struct HeadDecision {
  /// Sent at once; the body is not read. nullopt: the request is accepted.
  std::optional<HttpResponse> Rejection;
  /// Kept until the exchange ends, and destroyed at once if the body does not
  /// arrive.
  std::shared_ptr<void> Admission;
  /// How long the request may wait for memory, and the response if that is not
  /// long enough; empty: HttpServerOptions::ErrorResponse makes it.
  std::chrono::milliseconds MaxWait{0};
  std::function<HttpResponse(std::chrono::milliseconds RetryAfter)> OnNoMemory;
};

/// Decides on a request whose body has not been read; the body of \p Head is
/// empty.
using HeadHandler = std::function<HeadDecision(const HttpRequest &Head)>;

struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0: any free port
  unsigned Threads = 1;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 8 * 1024 * 1024;
  /// A streamed response with more unsent bytes than this is aborted.
  std::size_t MaxUnsentBytes = 16 * 1024 * 1024;
  /// Time from the first byte of a request to the end of its headers.
  std::chrono::milliseconds ReadTimeout{10'000};
  /// A body fails with a timeout if it pauses for longer than ReadTimeout or
  /// falls behind this rate by more than ReadTimeout.
  std::size_t MinBodyBytesPerSecond = 4'096;
  std::chrono::milliseconds IdleTimeout{60'000}; ///< between requests
  /// A write fails if the client accepts no data for longer than WriteTimeout
  /// or falls behind MinWriteBytesPerSecond by more than WriteTimeout.
  std::chrono::milliseconds WriteTimeout{30'000};
  std::size_t MinWriteBytesPerSecond = 4'096;
  /// How long a draining server keeps idle connections open for requests that
  /// were already on their way.
  std::chrono::milliseconds DrainGrace{250};
  /// Builds the response to a request that could not be read or whose handler
  /// threw.
  std::function<HttpResponse(const Error &)> ErrorResponse;
  /// Called on the thread of the acceptor if a connection cannot be accepted
  /// for lack of descriptors; returns true if it has closed some.
  std::function<bool()> FreeDescriptors;
  /// Called on the thread of the connection before a body is read and before a
  /// 100 is sent; empty: all requests are accepted.
  HeadHandler OnHead;
  /// Bounds the memory of requests and responses; nullptr: nothing does. Only
  /// for a server with a single thread.
  std::shared_ptr<BodyAdmission> Bodies;
  /// Runs what connections do, on the thread of their event loop; empty: the
  /// event loop itself. What tells that a client has left goes before it.
  boost::asio::any_io_executor Executor;
  /// Called on the thread of a connection with the reason for which a request
  /// failed inside the server; empty: the reason is logged with spdlog.
  std::function<void(std::string_view Reason)> OnDefect;
};

/// HTTP/1.1 server with keep-alive and pipelining. Each connection stays on
/// one thread. Exchanges may outlive the server; their calls then have no
/// effect. The server writes the framing headers itself and ignores those set
/// by the handler (see mayForwardHeader).
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

  /// Binds and starts the threads. Fails with Unavailable if the address
  /// cannot be bound.
  virtual Status start() = 0;

  /// Replaces the limits for requests that are read from now on.
  virtual void setLimits(std::uint32_t MaxHeaderBytes,
                         std::uint64_t MaxBodyBytes,
                         std::chrono::milliseconds ReadTimeout,
                         std::chrono::milliseconds IdleTimeout) = 0;

  /// Sends "Connection: close" with every later response; new connections are
  /// still accepted.
  virtual void disableKeepAlive() = 0;

  /// Sets whether streamed responses that begin from now on end with their
  /// connection, without chunks. Emulated endpoints use this.
  virtual void endStreamsByClose(bool Enabled) = 0;

  /// Stops accepting connections and closes idle ones after DrainGrace.
  /// Connections whose handshake has begun are served; later ones are refused.
  /// Requests in progress are completed, with "Connection: close" in their
  /// responses.
  virtual void drain() = 0;

  /// Answers the requests that are being read with \p Response and closes their
  /// connections. Requests that were read are not affected.
  virtual void refuseIncomplete(const HttpResponse &Response) = 0;

  /// Closes all open connections, idle ones too, as the end of the process
  /// would. Later ones are accepted.
  virtual void closeConnections() = 0;

  /// Closes all connections and joins the threads.
  virtual void stop() = 0;

  /// Returns the bound port.
  virtual std::uint16_t port() const = 0;

  /// Returns the number of requests whose response is not complete.
  virtual std::size_t openExchanges() const = 0;

  /// Returns the number of connections on which a request is being read or
  /// served, or which wait for the client to take the last response.
  virtual std::size_t busyConnections() const = 0;
};

/// Creates a server that calls \p Handler for each request, on the thread of
/// the connection.
std::unique_ptr<HttpServer> makeHttpServer(HttpServerOptions Options,
                                           HttpHandler Handler);

/// Creates a server that runs on the event loop of \p Context, which must
/// outlive it; Options.Threads is ignored.
std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context &Context,
                                           HttpServerOptions Options,
                                           HttpHandler Handler);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_SERVER_HPP
