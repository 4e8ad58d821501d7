#include "hyssoprail/connection/http_message.hpp"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>

namespace hyssoprail {
namespace {

constexpr std::array<std::string_view, 8> ConnectionHeaders{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
};

/// Characters other than letters and digits that RFC 9110 allows in a token.
constexpr std::string_view TokenSymbols = "!#$%&'*+-.^_`|~";

bool isTokenChar(char C) {
  const bool Alphanumeric = (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
                            (C >= 'A' && C <= 'Z');
  return Alphanumeric || TokenSymbols.find(C) != std::string_view::npos;
}

bool isControlChar(char C) {
  return (C >= 0 && C < 0x20 && C != '\t') || C == 0x7f;
}

} // namespace

bool mayForwardHeader(const HttpHeader &Header) {
  if (Header.Name.empty() ||
      !std::all_of(Header.Name.begin(), Header.Name.end(), isTokenChar) ||
      std::any_of(Header.Value.begin(), Header.Value.end(), isControlChar))
    return false;
  return std::none_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                      [&](std::string_view Name) {
                        return boost::algorithm::iequals(Name, Header.Name);
                      });
}

std::string_view headerValue(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &H : Headers)
    if (boost::algorithm::iequals(H.Name, Name))
      return H.Value;
  return {};
}

std::string_view HttpRequest::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace hyssoprail
