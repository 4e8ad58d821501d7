#ifndef HYSSOPRAIL_CORE_UTF8_HPP
#define HYSSOPRAIL_CORE_UTF8_HPP

#include <string>
#include <string_view>

namespace hyssoprail {

/// Returns \p Bytes with each byte that is not part of valid UTF-8 (RFC 3629)
/// as "\xHH", for logs, JSON and other text formats. HTTP allows such bytes in
/// paths and in the values of headers.
///
/// \code
///   escapeNonUtf8("r\xfc1"); // "r\\xfc1"
/// \endcode
std::string escapeNonUtf8(std::string_view Bytes);

/// The length of the valid character at the start of \p Bytes; 0 if there is
/// none.
std::size_t utf8CharacterLength(std::string_view Bytes);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_UTF8_HPP
