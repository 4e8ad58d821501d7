#include "hyssoprail/routing/request_fingerprint.hpp"

#include <cstdint>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::routing {

/// Each field seeds the hash of the next one, so that moving bytes from one
/// field to another changes the result.
std::string requestFingerprint(const HttpRequest &Request,
                               std::string_view Host,
                               std::string_view Account) {
  std::uint64_t Hash = stableHash(Account);
  Hash = stableHash(normalizeHost(Host), Hash);
  Hash = stableHash(Request.Method, Hash);
  Hash = stableHash(Request.Target, Hash);
  Hash = stableHash(Request.Body, Hash);
  return fmt::format("{:016x}", Hash);
}

} // namespace hyssoprail::routing
