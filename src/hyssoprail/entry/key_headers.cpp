#include "hyssoprail/entry/key_headers.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace hyssoprail::entry {
namespace {

constexpr std::array<std::string_view, 16> RemovedHeaders{"Authorization",
                                                          "Proxy-Authorization",
                                                          "Cookie",
                                                          "X-Api-Key",
                                                          "Connection",
                                                          "Keep-Alive",
                                                          "TE",
                                                          "Proxy-Connection",
                                                          "Transfer-Encoding",
                                                          "Content-Length",
                                                          "Upgrade",
                                                          "Trailer",
                                                          "Expect",
                                                          "Host",
                                                          "X-Request-Id",
                                                          "Accept-Encoding"};

bool isRemoved(std::string_view Name) {
  return std::any_of(RemovedHeaders.begin(), RemovedHeaders.end(),
                     [&](std::string_view Removed) {
                       return boost::beast::iequals(Removed, Name);
                     });
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

/// Decodes percent escapes; malformed ones stay as they are.
std::string percentDecoded(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const int High = hexDigit(Text[I + 1]);
      const int Low = hexDigit(Text[I + 2]);
      if (High >= 0 && Low >= 0) {
        Out += static_cast<char>(High * 16 + Low);
        I += 2;
        continue;
      }
    }
    Out += Text[I] == '+' ? ' ' : Text[I];
  }
  return Out;
}

bool carries(std::string_view Text, std::string_view Key) {
  return !Key.empty() && (Text.find(Key) != std::string_view::npos ||
                          percentDecoded(Text).find(Key) != std::string::npos);
}

} // namespace

std::string_view presentedKey(const HttpRequest &Request) {
  constexpr std::string_view Scheme = "Bearer ";
  std::string_view Value = headerValue(Request.Headers, "Authorization");
  if (Value.size() > Scheme.size() &&
      boost::beast::iequals(Value.substr(0, Scheme.size()), Scheme)) {
    Value.remove_prefix(Scheme.size());
    while (Value.starts_with(' '))
      Value.remove_prefix(1);
    return Value;
  }
  return headerValue(Request.Headers, "X-Api-Key");
}

HttpHeaders forwardedHeaders(const HttpHeaders &Headers, std::string_view Key) {
  HttpHeaders Out;
  for (const HttpHeader &H : Headers)
    if (!isRemoved(H.Name) && !carries(H.Value, Key) && !carries(H.Name, Key))
      Out.push_back(H);
  return Out;
}

std::string forwardedTarget(std::string_view Target, std::string_view Key) {
  const std::size_t Query = Target.find('?');
  if (Query == std::string_view::npos || Key.empty())
    return std::string(Target);
  std::string Out(Target.substr(0, Query));
  std::string_view Rest = Target.substr(Query + 1);
  char Separator = '?';
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Parameter = Rest.substr(0, End);
    if (!carries(Parameter, Key)) {
      Out += Separator;
      Out += Parameter;
      Separator = '&';
    }
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Out;
}

} // namespace hyssoprail::entry
