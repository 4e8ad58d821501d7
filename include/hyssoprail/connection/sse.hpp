#ifndef HYSSOPRAIL_CONNECTION_SSE_HPP
#define HYSSOPRAIL_CONNECTION_SSE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// One server-sent event.
struct SseEvent {
  std::string Name; ///< field "event", or empty
  std::string Data; ///< lines of the field "data", joined by "\n"

  bool operator==(const SseEvent &) const = default;
};

/// Formats an event. Line breaks in \p Data become further data lines; \p Name
/// must not contain any.
///
/// \code
///   Exchange->write(sseEvent("{}")); // "data: {}\n\n"
/// \endcode
std::string sseEvent(std::string_view Data, std::string_view Name = {});

/// Reads events from a stream that arrives in pieces of any size. Lines may end
/// with "\n", "\r" or "\r\n"; comments and unknown fields are skipped, and an
/// event without data is not reported.
///
/// \code
///   SseReader Reader([&](SseEvent E) { use(E.Data); });
///   Reader.feed(Piece);
/// \endcode
class SseReader {
public:
  using Callback = std::function<void(SseEvent)>;

  /// \p MaxEventBytes bounds the memory one event can take.
  explicit SseReader(Callback OnEvent,
                     std::size_t MaxEventBytes = std::size_t{1024} * 1024)
      : OnEvent(std::move(OnEvent)), MaxEventBytes(MaxEventBytes) {}

  /// Takes the next piece. Fails with TooLarge if an event exceeds the bound;
  /// the reader then ignores all further pieces.
  Status feed(std::string_view Piece);

  /// True if the stream may end here: no event has been begun.
  bool atBoundary() const { return !InEvent && Line.empty(); }

private:
  void endLine();
  void addField(std::string_view Field, std::string_view Value);

  Callback OnEvent;
  std::size_t MaxEventBytes;
  std::string Line;
  SseEvent Event;
  bool InEvent = false;
  bool HasData = false;
  bool AfterReturn = false; ///< a "\n" now belongs to the "\r" before it
  bool FirstLine = true;
  bool Failed = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_SSE_HPP
