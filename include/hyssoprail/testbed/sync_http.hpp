#ifndef HYSSOPRAIL_TESTBED_SYNC_HTTP_HPP
#define HYSSOPRAIL_TESTBED_SYNC_HTTP_HPP

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_client.hpp"

namespace hyssoprail::testbed {

/// Blocking HTTP calls for tests and experiments.
class SyncHttp {
public:
  SyncHttp();

  /// Sends a request and waits for the whole answer.
  Result<HttpResponse> call(HttpCall Call);

  /// GET of \p Target at \p Authority.
  Result<HttpResponse> fetch(const std::string &Authority,
                             const std::string &Target);

  /// POST of a JSON body.
  Result<HttpResponse> post(const std::string &Authority,
                            const std::string &Target, std::string Body,
                            HttpHeaders Headers = {});

  /// Reads a streamed answer to its end; the body holds all data received. If
  /// the stream broke, the error says so.
  Result<HttpResponse> stream(HttpCall Call);

private:
  boost::asio::io_context Context;
  std::unique_ptr<HttpClient> Client;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_SYNC_HTTP_HPP
