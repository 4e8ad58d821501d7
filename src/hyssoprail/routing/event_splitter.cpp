#include "hyssoprail/routing/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hyssoprail::routing {
namespace {

/// Removes the first line from \p Text and returns it without its end.
std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = Text.find('\n');
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
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

/// Returns the position after the first blank line, or npos.
std::size_t endOfEvent(std::string_view Text) {
  const std::size_t LfEnd = Text.find("\n\n");
  const std::size_t CrlfEnd = Text.find("\r\n\r\n");
  if (LfEnd == std::string_view::npos && CrlfEnd == std::string_view::npos)
    return std::string_view::npos;
  if (LfEnd < CrlfEnd)
    return LfEnd + 2;
  return CrlfEnd + 4;
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
