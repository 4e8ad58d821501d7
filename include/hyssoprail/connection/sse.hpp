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
  std::string Data; ///< values of the "data" fields, joined by "\n"

  bool operator==(const SseEvent &) const = default;
};

/// Formats an event. Each line of \p Data becomes a "data" field; \p Name must
/// not contain line breaks.
///
/// \code
///   Exchange->write(sseEvent("{}")); // "data: {}\n\n"
/// \endcode
std::string sseEvent(std::string_view Data, std::string_view Name = {});

/// Incremental parser of an event stream that arrives in chunks of any size.
/// Lines may end with "\n", "\r" or "\r\n"; comments and unknown fields are
/// skipped, and an event without data is not reported.
///
/// \code
///   SseReader Reader([&](SseEvent E) { use(E.Data); });
///   Reader.feed(Chunk);
/// \endcode
class SseReader {
public:
  using Callback = std::function<void(SseEvent)>;

  /// \p MaxEventBytes limits the memory of one event.
  explicit SseReader(Callback OnEvent,
                     std::size_t MaxEventBytes = std::size_t{1024} * 1024)
      : OnEvent(std::move(OnEvent)), MaxEventBytes(MaxEventBytes) {}

  /// Processes the next chunk. Fails with TooLarge if an event exceeds the
  /// limit, and for every call after that.
  Status feed(std::string_view Chunk);

  /// Returns true if no event is incomplete, so that the stream may end here.
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
  /// The last byte was a "\r"; a "\n" that follows is part of the same line
  /// end.
  bool AfterCarriageReturn = false;
  bool FirstLine = true;
  bool Failed = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_SSE_HPP
