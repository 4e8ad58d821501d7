#include "hyssoprail/routing/event_splitter.hpp"

#include <charconv>

namespace hyssoprail::routing {
namespace {

std::optional<std::uint64_t> eventId(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    while (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    const auto [Stop, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Error == std::errc())
      return Id;
  }
  return std::nullopt;
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
  Pending.erase(0, End);
  return Event;
}

} // namespace hyssoprail::routing
