#include "hyssoprail/routing/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hyssoprail::routing {
namespace {

constexpr std::string_view LineEndCharacters = "\r\n";

/// Returns the position after the line end at \p At.
std::size_t afterLineEnd(std::string_view Text, std::size_t At) {
  return At + (Text.substr(At).starts_with("\r\n") ? 2 : 1);
}

/// Removes the first line from \p Text and returns it without its end.
std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = Text.find_first_of(LineEndCharacters);
  const std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size()
                                                   : afterLineEnd(Text, End));
  return Line;
}

/// Only a whole number is an id that tells which events came before.
std::optional<std::uint64_t> parseId(std::string_view Value) {
  while (Value.starts_with(' '))
    Value.remove_prefix(1);
  while (Value.ends_with(' '))
    Value.remove_suffix(1);
  std::uint64_t Id = 0;
  const char *End = Value.data() + Value.size();
  const auto [Stop, Error] = std::from_chars(Value.data(), End, Id);
  return Error == std::errc() && Stop == End ? std::optional(Id) : std::nullopt;
}

std::optional<std::uint64_t> eventId(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    std::string_view Line = takeLine(Event);
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (const auto Id = parseId(Line))
      return Id;
  }
  return std::nullopt;
}

bool hasData(std::string_view Event) {
  while (!Event.empty()) {
    const std::string_view Line = takeLine(Event);
    if (Line.substr(0, Line.find(':')) == "data")
      return true;
  }
  return false;
}

/// A comment has an empty name.
constexpr std::array<std::string_view, 5> FieldNames{"data", "id", "event",
                                                     "retry", ""};

bool isForeignText(std::string_view Event) {
  bool HasText = false;
  while (!Event.empty()) {
    const std::string_view Line = takeLine(Event);
    if (Line.empty())
      continue;
    HasText = true;
    if (std::find(FieldNames.begin(), FieldNames.end(),
                  Line.substr(0, Line.find(':'))) != FieldNames.end())
      return false;
  }
  return HasText;
}

/// Returns the position after the first blank line, or npos. A line ends with
/// LF, CRLF or CR.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t At = Text.find_first_of(LineEndCharacters);
  while (At != std::string_view::npos) {
    const std::size_t Next = afterLineEnd(Text, At);
    const std::string_view Rest = Text.substr(Next);
    const bool MayBeHalf = Rest == "\r" && Text[Next - 1] == '\n';
    if (MayBeHalf)
      return std::string_view::npos;
    // After a line that ends with CR the event ends with the next CR, as an LF
    // that follows may not have arrived yet.
    if (Rest.starts_with('\r') && Text[Next - 1] == '\r')
      return Next + 1;
    if (Rest.starts_with('\n') || Rest.starts_with('\r'))
      return afterLineEnd(Text, Next);
    At = Text.find_first_of(LineEndCharacters, Next);
  }
  return At;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t End = endOfEvent(Pending);
  if (End == std::string_view::npos)
    return std::nullopt;
  StreamEvent Event;
  Event.Bytes = Pending.substr(0, End);
  Event.Id = eventId(Event.Bytes);
  Event.HasData = hasData(Event.Bytes);
  Event.IsForeignText = isForeignText(Event.Bytes);
  Pending.erase(0, End);
  return Event;
}

} // namespace hyssoprail::routing
