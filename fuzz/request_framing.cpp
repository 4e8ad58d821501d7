#include "request_framing.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace hyssoprail::fuzz {
namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view Space = " \t";
constexpr std::string_view AfterChunkSize = " \t;";
constexpr std::string_view Digits = "0123456789";
constexpr std::string_view HexDigits = "0123456789abcdefABCDEF";

/// What the fields of a head say of the body.
struct Framing {
  std::optional<std::uint64_t> Length;
  bool HasCoding = false;
  bool Chunked = false;
};

/// The start line of a request.
struct StartLine {
  std::string_view Method;
  std::string_view Target;
  std::string_view Version;
};

/// Takes a line and its end from \p Rest. A line holds no other line ends.
std::optional<std::string_view> takeLine(std::string_view &Rest) {
  const std::size_t End = Rest.find(LineEnd);
  if (End == std::string_view::npos)
    return std::nullopt;
  const std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + LineEnd.size());
  if (Line.find_first_of(LineEnd) != std::string_view::npos)
    return std::nullopt;
  return Line;
}

std::string_view trim(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Space);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Space) + 1 - Begin);
}

std::string lower(std::string_view Text) {
  std::string Out(Text);
  std::transform(Out.begin(), Out.end(), Out.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Out;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  const std::string_view Allowed = Base == 16 ? HexDigits : Digits;
  std::uint64_t Out = 0;
  if (Text.empty() || Text.find_first_not_of(Allowed) != std::string_view::npos)
    return std::nullopt;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out, Base);
  return Parsed.ec == std::errc{} ? std::optional(Out) : std::nullopt;
}

std::optional<StartLine> parseStartLine(std::string_view Line) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return std::nullopt;
  return StartLine{Line.substr(0, First),
                   Line.substr(First + 1, Last - First - 1),
                   Line.substr(Last + 1)};
}

/// Lengths may be repeated if they are the same.
bool addLengths(std::string_view Value, Framing &Out) {
  for (bool More = true; More;) {
    const std::size_t Comma = Value.find(',');
    More = Comma != std::string_view::npos;
    const auto Length = parseNumber(trim(Value.substr(0, Comma)), 10);
    if (!Length || Out.Length.value_or(*Length) != *Length)
      return false;
    Out.Length = Length;
    Value.remove_prefix(More ? Comma + 1 : Value.size());
  }
  return true;
}

/// Returns false if the field leaves the end of the request uncertain.
bool addField(std::string_view Name, std::string_view Value, Framing &Out) {
  if (lower(Name) == "content-length")
    return addLengths(Value, Out);
  if (lower(Name) != "transfer-encoding")
    return true;
  Out.Chunked =
      !std::exchange(Out.HasCoding, true) && lower(Value) == "chunked";
  return Out.Chunked;
}

/// Reads the fields up to the empty line. A line that begins with a space goes
/// on with the field before.
std::optional<Framing> takeFields(std::string_view &Rest) {
  std::vector<std::pair<std::string, std::string>> Fields;
  for (;;) {
    const auto Line = takeLine(Rest);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      break;
    if (Space.find(Line->front()) != std::string_view::npos) {
      if (Fields.empty())
        return std::nullopt;
      Fields.back().second += " " + std::string(trim(*Line));
      continue;
    }
    const std::size_t Colon = Line->find(':');
    const std::string_view Name = Line->substr(0, Colon);
    if (Colon == std::string_view::npos ||
        Name.find_first_of(Space) != std::string_view::npos)
      return std::nullopt;
    Fields.emplace_back(Name, Line->substr(Colon + 1));
  }
  Framing Out;
  for (const auto &[Name, Value] : Fields)
    if (!addField(Name, trim(Value), Out))
      return std::nullopt;
  return Out;
}

/// False if no version, or the one of the start line, allows the framing.
bool isCertain(const StartLine &Start, const Framing &F) {
  if (F.HasCoding && F.Length)
    return false;
  if (Start.Version != "HTTP/1.0")
    return Start.Version.starts_with("HTTP/1.");
  const bool NeedsLength = Start.Method == "POST" || Start.Method == "PUT";
  return !F.HasCoding && (F.Length || !NeedsLength);
}

std::optional<std::string> takeBytes(std::string_view &Rest,
                                     std::uint64_t Size) {
  if (Size > Rest.size())
    return std::nullopt;
  std::string Out(Rest.substr(0, Size));
  Rest.remove_prefix(Size);
  return Out;
}

/// Takes a line with the size of a chunk, and perhaps extensions.
std::optional<std::uint64_t> takeChunkSize(std::string_view &Rest) {
  const auto Line = takeLine(Rest);
  if (!Line)
    return std::nullopt;
  const std::size_t End = Line->find_first_not_of(HexDigits);
  if (End != std::string_view::npos &&
      AfterChunkSize.find((*Line)[End]) == std::string_view::npos)
    return std::nullopt;
  return parseNumber(Line->substr(0, End), 16);
}

std::optional<std::string> takeChunks(std::string_view &Rest) {
  std::string Out;
  for (;;) {
    const auto Size = takeChunkSize(Rest);
    if (!Size)
      return std::nullopt;
    if (*Size == 0)
      return takeFields(Rest) ? std::optional(Out) : std::nullopt;
    const auto Data = takeBytes(Rest, *Size);
    if (!Data || !Rest.starts_with(LineEnd))
      return std::nullopt;
    Rest.remove_prefix(LineEnd.size());
    Out += *Data;
  }
}

std::optional<FramedRequest> takeRequest(std::string_view &Rest) {
  const auto Line = takeLine(Rest);
  const auto Start = Line ? parseStartLine(*Line) : std::nullopt;
  const auto F = Start ? takeFields(Rest) : std::nullopt;
  if (!F || !isCertain(*Start, *F))
    return std::nullopt;
  auto Body =
      F->Chunked ? takeChunks(Rest) : takeBytes(Rest, F->Length.value_or(0));
  if (!Body)
    return std::nullopt;
  return FramedRequest{std::string(Start->Method), std::string(Start->Target),
                       std::move(*Body)};
}

} // namespace

std::vector<FramedRequest> splitRequests(std::string_view Bytes) {
  std::vector<FramedRequest> Out;
  while (auto Next = takeRequest(Bytes))
    Out.push_back(std::move(*Next));
  return Out;
}

} // namespace hyssoprail::fuzz
