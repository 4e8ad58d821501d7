#ifndef HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// A request to an outside system.
struct HttpCall {
  std::string Authority; ///< "IP:PORT"
  HttpRequest Request;
  std::chrono::milliseconds Timeout{5'000}; ///< whole call; streams: each read
  bool FreshConnection = false;             ///< never reuse a kept connection
};

/// Functions called while a streamed answer arrives.
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

  /// Closes the connection; no function is called afterwards.
  virtual void cancel() = 0;
};

/// HTTP/1.1 client with kept connections. All functions must be called on the
/// thread of its io_context, where the callbacks run too.
///
/// Errors: Unavailable if nothing was sent (connection refused or timed out),
/// UpstreamFailed if the connection broke after sending began, and
/// DeadlineExceeded if no complete answer came in time.
class HttpClient {
public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  virtual ~HttpClient() = default;

  /// Sends a request and reads the whole answer.
  virtual void call(HttpCall Call, Callback OnDone) = 0;

  /// Sends a request and passes on the answer's body as it arrives.
  virtual std::shared_ptr<HttpStream> stream(HttpCall Call,
                                             HttpStreamHandlers Handlers) = 0;
};

/// Makes a client on \p Context, which must outlive it.
std::unique_ptr<HttpClient> makeHttpClient(boost::asio::io_context &Context);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_CLIENT_HPP
