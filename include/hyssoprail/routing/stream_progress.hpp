#ifndef HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP
#define HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/routing/event_splitter.hpp"

namespace hyssoprail::routing {

/// How far a caller has received its stream, over all engines that made it.
class StreamProgress {
public:
  /// The caller has the events up to \p Event from an earlier request.
  void resumeAfter(std::uint64_t Event) { LastEventId = Event; }

  /// Another engine begins to send.
  void restart();

  /// Takes data of the engine; returns the whole events that the caller does
  /// not have yet.
  std::string feed(std::string_view Data);

  /// True if the data so far ends with a whole event of the present engine.
  bool atEventEnd() const { return GotNewEvent && Splitter.atBoundary(); }

  /// True if the present engine sends an event without end.
  bool eventTooLong() const { return Splitter.tooLong(); }

  /// True if the present engine has sent an event that the caller lacked.
  bool gotNewEvent() const { return GotNewEvent; }

  /// Events that were passed on.
  std::uint64_t events() const { return Events; }

  /// Id of the last event that the caller has, if events carry ids.
  const std::optional<std::uint64_t> &lastEventId() const {
    return LastEventId;
  }

private:
  bool isNew(const StreamEvent &Event);

  EventSplitter Splitter;
  std::optional<std::uint64_t> LastEventId;
  std::uint64_t Events = 0;
  bool GotNewEvent = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP
