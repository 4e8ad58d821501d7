#ifndef HYSSOPRAIL_CONNECTION_MESSAGE_FRAMING_HPP
#define HYSSOPRAIL_CONNECTION_MESSAGE_FRAMING_HPP

#include <optional>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/error.hpp"

namespace hyssoprail {

/// Why the end of an HTTP/1.x message can't be told from its head (RFC 9112,
/// section 6). The bytes behind such a head belong to no message.
enum class FramingDefect {
  UnknownVersion,   ///< the major version is not 1
  CodingInHttp10,   ///< HTTP/1.0 has no transfer codings
  CodingAndLength,  ///< Transfer-Encoding and Content-Length
  ChunkedNotLast,   ///< the last transfer coding is not chunked, or not alone
  UnknownCoding,    ///< chunked, but over another coding
  LengthlessHttp10, ///< an HTTP/1.0 request that needs a length has none
};

/// Returns the name for logs, for example "coding_and_length".
std::string_view framingDefectName(FramingDefect Defect);

/// What a parser has read of a message.
struct MessageHead {
  /// Major and minor version, for example 11 for HTTP/1.1.
  unsigned Version = 11;
  const HttpHeaders &Headers;
  /// The parser reads the body as chunks. It must agree with the headers.
  bool ReadAsChunks = false;
};

/// Returns why the end of the message behind \p Head can't be told, if so.
std::optional<FramingDefect> findFramingDefect(const MessageHead &Head);

/// The same for a request with \p Method. A request without any framing has no
/// body, but HTTP/1.0 wants a length of a POST or PUT.
std::optional<FramingDefect> findFramingDefect(const MessageHead &Head,
                                               std::string_view Method);

/// The error for the sender of a request with \p Defect: 501 for a transfer
/// coding that is not implemented, else 400.
Error framingError(FramingDefect Defect);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_MESSAGE_FRAMING_HPP
