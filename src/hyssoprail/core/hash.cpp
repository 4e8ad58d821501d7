#include "hyssoprail/core/hash.hpp"

#include <array>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace hyssoprail {
namespace {

std::string toHex(const unsigned char *Data, std::size_t Size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  Out.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Out.push_back(Digits[Data[I] >> 4U]);
    Out.push_back(Digits[Data[I] & 15U]);
  }
  return Out;
}

const unsigned char *bytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

} // namespace

std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

std::uint64_t rendezvousWeight(std::string_view Item, std::string_view Node) {
  return stableHash(Node, stableHash(Item));
}

std::string hmacSha256(std::string_view Secret, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       bytes(Data), Data.size(), Digest.data(), &Size);
  return toHex(Digest.data(), Size);
}

std::string sha256(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Data.data(), Data.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  return toHex(Digest.data(), Size);
}

} // namespace hyssoprail
