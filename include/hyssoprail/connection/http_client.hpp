#ifndef HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Limits on the time in which the body of a response arrives.
struct HttpBodyLimits {
  std::chrono::milliseconds Stall; ///< without a byte
  std::chrono::milliseconds Total;
};

/// A request to an external HTTP server.
struct HttpCall {
  std::string Authority; ///< "IP:PORT"
  HttpRequest Request;
  /// Limit for the whole call; for a streamed call, for each read.
  std::chrono::milliseconds Timeout{5'000};
  /// If set, Timeout ends with the head of the response: a large body may take
  /// longer as long as it arrives. Not for streamed calls.
  std::optional<HttpBodyLimits> Body = std::nullopt;
  /// Opens a new connection and closes it after the call.
  bool FreshConnection = false;
  /// A larger response body is not read; the call fails.
  std::size_t MaxResponseBytes = std::size_t{16} * 1024 * 1024;
};

/// Callbacks of a streamed call.
struct HttpStreamHandlers {
  std::function<void(unsigned Status)> OnHeader;
  std::function<void(std::string_view Data)> OnData;
  std::function<void(Status End)>
      OnEnd; ///< called exactly once unless cancelled
};

/// Handle of a streamed call.
class HttpStream {
public:
  virtual ~HttpStream() = default;

  /// Closes the connection; no handler is called afterwards.
  virtual void cancel() = 0;
};

/// HTTP/1.1 client with a connection pool. All functions must be called on the
/// thread of its io_context, where the callbacks run too.
///
/// Errors: Unavailable if nothing was sent (connection refused or timed out),
/// UpstreamFailed if the connection failed after sending began, and
/// DeadlineExceeded if no complete response arrived before the timeout.
class HttpClient {
public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  virtual ~HttpClient() = default;

  /// Sends a request and reads the complete response.
  virtual void call(HttpCall Call, Callback OnDone) = 0;

  /// Sends a request and passes on the response body as it arrives.
  virtual std::shared_ptr<HttpStream> stream(HttpCall Call,
                                             HttpStreamHandlers Handlers) = 0;

  /// Closes the \p Count idle connections that were unused for longest; returns
  /// how many there were.
  virtual std::size_t closeOldestIdle(std::size_t Count) = 0;

  virtual std::size_t idleConnections() const = 0;
};

/// Called with the text of an exception that left a callback.
using HttpCallbackErrorHandler = std::function<void(std::string_view Why)>;

/// Creates a client on \p Context, which must outlive it. An exception that
/// leaves a callback ends its call only; without \p OnError it is logged.
std::unique_ptr<HttpClient>
makeHttpClient(boost::asio::io_context &Context,
               HttpCallbackErrorHandler OnError = nullptr);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP
