#include "hyssoprail/version/key_digest.hpp"

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {

std::string keyDigest(std::string_view Secret, std::string_view Key) {
  return hmacSha256(Secret, Key);
}

std::string issuedKey(std::string_view Secret, std::string_view OperationId) {
  return "hr-" + hmacSha256(Secret, fmt::format("issue:{}", OperationId));
}

std::string claimId(std::string_view Account, std::string_view IdempotencyKey) {
  // The length separates the parts, so that no two pairs give the same text.
  return sha256(
      fmt::format("{}:{}{}", Account.size(), Account, IdempotencyKey));
}

} // namespace hyssoprail
