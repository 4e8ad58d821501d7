#include "hyssoprail/routing/stream_progress.hpp"

namespace hyssoprail::routing {

void StreamProgress::restart(bool CertainEnd) {
  EndIsCertain = CertainEnd;
  Splitter = {};
  GotNewEvent = false;
  HasForeignText = false;
  Continues = LastEventId.has_value();
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

bool StreamProgress::isNew(const StreamEvent &Event) {
  if (!Event.Id)
    return true;
  if (LastEventId && *Event.Id <= *LastEventId)
    return false;
  LastEventId = Event.Id;
  return true;
}

} // namespace hyssoprail::routing
