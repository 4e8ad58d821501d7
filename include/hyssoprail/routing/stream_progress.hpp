#ifndef HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP
#define HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/routing/event_splitter.hpp"

namespace hyssoprail::routing {

/// Tracks which events of its stream a caller has received, across all engines
/// that generated parts of it.
class StreamProgress {
public:
  /// The caller has received the events up to id \p Event by an earlier
  /// request.
  void resumeAfter(std::uint64_t Event) {
    LastEventId = Event;
    MayRepeat = true;
  }

  /// Prepares for the stream of another engine and discards an incomplete event
  /// of the previous one. \p EndIsCertain: the engine tells where its stream
  /// ends, by chunks.
  void restart(bool EndIsCertain = false);

  /// Adds data from the engine; returns the complete events that the caller has
  /// not received yet. Nothing is returned any more once an engine that should
  /// continue the stream has sent text that is no event, such as an error.
  std::string feed(std::string_view Data);

  /// True if the data so far ends with a complete event of the current engine,
  /// and all of it belongs to the stream. An engine that continues a stream may
  /// have nothing left to send; it must then tell where its stream ends, as the
  /// connection of an engine that crashes may end in the same way.
  bool atEventEnd() const {
    return (GotNewEvent || (Continues && EndIsCertain)) && !HasForeignText &&
           Splitter.atBoundary();
  }

  /// Line ends after the last event of a stream that is complete.
  const std::string &rest() const { return Splitter.rest(); }

  /// True if the current engine sends an event that exceeds the size limit.
  bool eventTooLong() const { return Splitter.tooLong(); }

  /// True if the current engine has sent an event that was new to the caller.
  bool gotNewEvent() const { return GotNewEvent; }

  /// True if another engine can be told where to go on: each piece that the
  /// caller has received has an id, greater than the ids before it.
  bool canContinue() const { return !HasUnnamedPiece; }

  /// Number of events that were passed on.
  std::uint64_t events() const { return Events; }

  /// Id of the last event that the caller has received, if events have ids.
  const std::optional<std::uint64_t> &lastEventId() const {
    return LastEventId;
  }

private:
  bool isNew(const StreamEvent &Event);
  void notePassed(const StreamEvent &Event);

  EventSplitter Splitter;
  std::optional<std::uint64_t> LastEventId;
  std::uint64_t Events = 0;
  bool GotNewEvent = false;
  /// The current engine continues a stream whose events have ids.
  bool Continues = false;
  bool EndIsCertain = false;   ///< of the current engine's stream
  bool HasForeignText = false; ///< of the engine that continues the stream
  /// The current engine should continue and has sent no new id yet.
  bool MayRepeat = false;
  /// The last id was one that the caller has received.
  bool Repeats = false;
  /// The caller has received a piece without an id that tells its place.
  bool HasUnnamedPiece = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_PROGRESS_HPP
