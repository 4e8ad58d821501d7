#ifndef HYSSOPRAIL_VERSION_KEY_DIGEST_HPP
#define HYSSOPRAIL_VERSION_KEY_DIGEST_HPP

#include <string>
#include <string_view>

namespace hyssoprail {

/// Digest of a caller's key as the log holds it: HMAC-SHA256 under the fleet's
/// key secret, 64 hexadecimal digits.
std::string keyDigest(std::string_view Secret, std::string_view Key);

/// Key issued by the operation \p OperationId. It is derived from the key
/// secret, so that a repeated operation, also through another entry, shows the
/// same key again although no key is stored.
std::string issuedKey(std::string_view Secret, std::string_view OperationId);

/// Id of an idempotency claim: digest of the account and the caller's
/// Idempotency-Key.
std::string claimId(std::string_view Account, std::string_view IdempotencyKey);

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_KEY_DIGEST_HPP
