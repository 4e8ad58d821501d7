#ifndef HYSSOPRAIL_CONNECTION_BASE64_HPP
#define HYSSOPRAIL_CONNECTION_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Encodes \p Data with padding and without line breaks.
std::string encodeBase64(std::string_view Data);

/// Decodes \p Text. Returns nullopt if it is not padded base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_BASE64_HPP
