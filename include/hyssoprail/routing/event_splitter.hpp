#ifndef HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP
#define HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssoprail::routing {

/// One complete server-sent event, unparsed.
struct StreamEvent {
  std::optional<std::uint64_t> Id; ///< value of the "id" field, if a number
  std::string Bytes;               ///< including the blank line that ends it
  bool HasData = false; ///< a "data" field, so that it is a piece of the stream
  /// It has text, but no line of it is a field or a comment: most likely it is
  /// part of another kind of response.
  bool IsForeignText = false;
};

/// Splits a stream into complete server-sent events. Their bytes are not
/// changed, since callers compare them with what the endpoint sent.
class EventSplitter {
public:
  void feed(std::string_view Data) { Pending.append(Data); }

  /// Removes and returns the next complete event, if there is one.
  std::optional<StreamEvent> next();

  /// True if the buffered data exceeds the largest size of an event.
  bool tooLong() const { return Pending.size() > MaxEventBytes; }

  /// True if no incomplete event is buffered. Line ends after the last event
  /// are none.
  bool atBoundary() const {
    return Pending.find_first_not_of("\r\n") == std::string::npos;
  }

  /// What is buffered: at a boundary, line ends after the last event.
  const std::string &rest() const { return Pending; }

private:
  static constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;

  std::string Pending;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP
