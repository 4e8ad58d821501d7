#ifndef HYSSOPRAIL_FUZZ_REQUEST_FRAMING_HPP
#define HYSSOPRAIL_FUZZ_REQUEST_FRAMING_HPP

#include <string>
#include <string_view>
#include <vector>

namespace hyssoprail::fuzz {

/// A request as its sender framed it.
struct FramedRequest {
  std::string Method;
  std::string Target;
  std::string Body;

  bool operator==(const FramedRequest &) const = default;
};

/// The requests in \p Bytes, up to the first one that is not whole or whose end
/// RFC 9112 leaves uncertain. Written apart from the server, which may refuse
/// more than this but must not run anything else.
std::vector<FramedRequest> splitRequests(std::string_view Bytes);

} // namespace hyssoprail::fuzz

#endif // HYSSOPRAIL_FUZZ_REQUEST_FRAMING_HPP
