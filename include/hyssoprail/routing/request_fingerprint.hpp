#ifndef HYSSOPRAIL_ROUTING_REQUEST_FINGERPRINT_HPP
#define HYSSOPRAIL_ROUTING_REQUEST_FINGERPRINT_HPP

#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"

namespace hyssoprail::routing {

/// Returns a hash of method, path with query, host, account and body as 16
/// hexadecimal digits: what a caller sends again under a new attempt id has the
/// same fingerprint. Headers are left out, as ids and deadlines differ. The
/// case and the port of \p Host are ignored, as routes do.
std::string requestFingerprint(const HttpRequest &Request,
                               std::string_view Host, std::string_view Account);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_REQUEST_FINGERPRINT_HPP
