#ifndef HYSSOPRAIL_ENTRY_KEY_HEADERS_HPP
#define HYSSOPRAIL_ENTRY_KEY_HEADERS_HPP

#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"

namespace hyssoprail::entry {

/// Returns the key that a request carries in "Authorization: Bearer" or
/// "X-Api-Key", or "".
std::string_view presentedKey(const HttpRequest &Request);

/// Returns the headers that may go to an endpoint: without those that carry
/// keys or cookies, contain \p Key, or belong to the caller's connection.
HttpHeaders forwardedHeaders(const HttpHeaders &Headers, std::string_view Key);

/// Returns the target without query parameters that contain \p Key.
std::string forwardedTarget(std::string_view Target, std::string_view Key);

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_KEY_HEADERS_HPP
