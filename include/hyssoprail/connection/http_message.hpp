#ifndef HYSSOPRAIL_CONNECTION_HTTP_MESSAGE_HPP
#define HYSSOPRAIL_CONNECTION_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace hyssoprail {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header named \p Name (case-insensitive), or
/// "" if there is none.
std::string_view headerValue(const HttpHeaders &Headers, std::string_view Name);

/// Returns false for hop-by-hop and framing headers (Connection, Keep-Alive,
/// TE, Trailer, Transfer-Encoding, Upgrade, Content-Length, Proxy-Connection),
/// and for names or values that would break the framing of a message.
bool mayForwardHeader(const HttpHeader &Header);

/// A complete request.
struct HttpRequest {
  std::string Method; ///< "GET", "POST", ...
  std::string Target; ///< path and query as received or to be sent
  HttpHeaders Headers;
  std::string Body;

  /// Returns the target without the query.
  std::string_view path() const;
};

/// A complete response.
struct HttpResponse {
  unsigned Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// Returns a response with a JSON body.
///
/// \code
///   Exchange->respond(jsonResponse(200, R"({"ok":true})"));
/// \endcode
HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_HTTP_MESSAGE_HPP
