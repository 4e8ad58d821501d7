#include "hyssoprail/routing/stream_progress.hpp"

namespace hyssoprail::routing {

void StreamProgress::restart(bool CertainEnd) {
  EndIsCertain = CertainEnd;
  Splitter = {};
  GotNewEvent = false;
  HasForeignText = false;
  Repeats = false;
  Continues = MayRepeat = LastEventId.has_value();
}

std::string StreamProgress::feed(std::string_view Data) {
  Splitter.feed(Data);
  std::string Ready;
  while (auto Event = Splitter.next()) {
    HasForeignText = HasForeignText || (Continues && Event->IsForeignText);
    if (HasForeignText || !isNew(*Event))
      continue;
    ++Events;
    Ready += Event->Bytes;
  }
  GotNewEvent = GotNewEvent || !Ready.empty();
  return Ready;
}

/// An event without an id belongs to the one before it. What follows the first
/// new id is passed on as the engine sent it.
bool StreamProgress::isNew(const StreamEvent &Event) {
  if (Event.Id && MayRepeat)
    MayRepeat = Repeats = *Event.Id <= *LastEventId;
  if (Repeats)
    return false;
  notePassed(Event);
  return true;
}

void StreamProgress::notePassed(const StreamEvent &Event) {
  if (Event.Id && (!LastEventId || *Event.Id > *LastEventId))
    LastEventId = Event.Id;
  else if (Event.HasData || Event.IsForeignText)
    HasUnnamedPiece = true;
}

} // namespace hyssoprail::routing
