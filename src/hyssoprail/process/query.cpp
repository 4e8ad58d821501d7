#include "hyssoprail/process/query.hpp"

#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

/// Decodes "%41" to "A" and "+" to a space. Malformed escapes stay as they are.
std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned char Code = 0;
    const char *Digits = Text.data() + I + 1;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Code, 16).ptr == Digits + 2) {
      Out.push_back(static_cast<char>(Code));
      I += 2;
    } else {
      Out.push_back(Text[I] == '+' ? ' ' : Text[I]);
    }
  }
  return Out;
}

} // namespace

Query parseQuery(std::string_view Target) {
  Query Out;
  const std::size_t QuestionMark = Target.find('?');
  if (QuestionMark == std::string_view::npos)
    return Out;
  std::string_view Rest = Target.substr(QuestionMark + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Parameter = Rest.substr(0, End);
    const std::size_t Equals = std::min(Parameter.find('='), Parameter.size());
    const std::string_view Value = Equals < Parameter.size()
                                       ? Parameter.substr(Equals + 1)
                                       : std::string_view();
    if (!Parameter.empty())
      Out[percentDecode(Parameter.substr(0, Equals))] = percentDecode(Value);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Out;
}

std::string queryValue(const Query &Parameters, std::string_view Name) {
  const auto Found = Parameters.find(Name);
  return Found == Parameters.end() ? std::string() : Found->second;
}

std::uint64_t queryNumber(const Query &Parameters, std::string_view Name) {
  const std::string Text = queryValue(Parameters, Name);
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  return Parsed.ec == std::errc() && Parsed.ptr == End ? Number : 0;
}

std::string escapeQuery(std::string_view Value) {
  std::string Out;
  for (const char C : Value) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 || C == '-' || C == '_' || C == '.')
      Out.push_back(C);
    else
      Out += fmt::format("%{:02X}", Byte);
  }
  return Out;
}

} // namespace hyssoprail
