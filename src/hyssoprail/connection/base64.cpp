#include "hyssoprail/connection/base64.hpp"

#include <openssl/evp.h>

namespace hyssoprail {
namespace {

const unsigned char *bytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

unsigned char *bytes(std::string &Data) {
  return reinterpret_cast<unsigned char *>(Data.data());
}

} // namespace

std::string encodeBase64(std::string_view Data) {
  // One extra byte for the terminating zero that EVP_EncodeBlock writes.
  std::string Out((Data.size() + 2) / 3 * 4 + 1, '\0');
  const int Size =
      EVP_EncodeBlock(bytes(Out), bytes(Data), static_cast<int>(Data.size()));
  Out.resize(static_cast<std::size_t>(Size));
  return Out;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  // EVP_DecodeBlock also accepts surrounding whitespace and padding at any
  // position; both are rejected here.
  if (Text.size() % 4 != 0 ||
      Text.find_first_of(" \t\r\n") != std::string_view::npos ||
      Text.find('=') < Text.size() - 2)
    return std::nullopt;
  std::string Out(Text.size() / 4 * 3, '\0');
  const int Size =
      EVP_DecodeBlock(bytes(Out), bytes(Text), static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  const std::size_t Padding =
      Text.ends_with("==") ? 2 : (Text.ends_with('=') ? 1 : 0);
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

} // namespace hyssoprail
