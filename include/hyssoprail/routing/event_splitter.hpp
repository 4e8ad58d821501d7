#ifndef HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP
#define HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssoprail::routing {

/// One whole event of a stream, as its bytes.
struct StreamEvent {
  std::optional<std::uint64_t> Id; ///< of its "id" field
  std::string Bytes;               ///< with the blank line that ends it
};

/// Cuts a stream into whole server-sent events without changing their bytes,
/// since callers compare them with what the endpoint made.
class EventSplitter {
public:
  void feed(std::string_view Data) { Pending.append(Data); }

  /// Takes the next whole event.
  std::optional<StreamEvent> next();

  /// True if an event has been begun that is longer than any event.
  bool tooLong() const { return Pending.size() > MaxEventBytes; }

  /// True if no event has been begun.
  bool atBoundary() const { return Pending.empty(); }

private:
  static constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;

  std::string Pending;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_EVENT_SPLITTER_HPP
