#ifndef HYSSOPRAIL_CORE_HASH_HPP
#define HYSSOPRAIL_CORE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Returns the XXH3 hash of \p Data, which is the same on every machine.
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

/// Returns the weight of \p Node for \p Item in rendezvous hashing; the node
/// with the highest weight owns the item.
std::uint64_t rendezvousWeight(std::string_view Item, std::string_view Node);

/// Returns the HMAC-SHA256 of \p Data with the key \p Secret as 64 hexadecimal
/// digits.
std::string hmacSha256(std::string_view Secret, std::string_view Data);

/// Returns the SHA-256 of \p Data as 64 hexadecimal digits.
std::string sha256(std::string_view Data);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_HASH_HPP
