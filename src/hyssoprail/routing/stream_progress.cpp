#include "hyssoprail/routing/stream_progress.hpp"

namespace hyssoprail::routing {

void StreamProgress::restart() {
  Splitter = {};
  GotEvent = false;
}

std::string StreamProgress::feed(std::string_view Data) {
  Splitter.feed(Data);
  std::string Ready;
  while (auto Event = Splitter.next()) {
    if (!isNew(*Event))
      continue;
    ++Events;
    Ready += Event->Bytes;
  }
  GotEvent = GotEvent || !Ready.empty();
  return Ready;
}

bool StreamProgress::isNew(const StreamEvent &Event) {
  if (!Event.Id)
    return true;
  if (LastEvent && *Event.Id <= *LastEvent)
    return false;
  LastEvent = Event.Id;
  return true;
}

} // namespace hyssoprail::routing
