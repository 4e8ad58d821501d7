#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// What is known of the work that an endpoint takes, beyond its registration:
/// what its responses state, and whether another process has its address. It
/// holds for the incarnation that it concerns and for earlier ones. Load
/// pattern: an endpoint that is being replaced still answers while its
/// registration says that it is ready, or cannot be read; an endpoint turns
/// away an entry that sends it more than it can take; the registration of an
/// endpoint that has ended is listed beside that of the next one at its
/// address.
class EndpointAvailability {
public:
  /// The incarnation that started at \p StartedAtMs leaves: it takes no new
  /// work. Returns false if this was known.
  bool recordLeaving(std::int64_t StartedAtMs);

  /// The incarnation that started at \p StartedAtMs wants no request from this
  /// entry before \p Until. A later end that is known stays in force. Returns
  /// false if this changes nothing.
  bool recordPause(std::int64_t StartedAtMs, TimePoint Until);

  bool paused(TimePoint Now) const { return Now < PausedUntil; }
  TimePoint pausedUntil() const { return PausedUntil; }

  /// Another process that started after \p StartedAtMs has registered with the
  /// address \p Address of the incarnation that started then.
  void recordReplaced(std::string Address, std::int64_t StartedAtMs);

  /// The incarnation that started at \p StartedAtMs has registered with \p
  /// Address. Discards what concerns earlier ones, and a replacement at another
  /// address.
  void registered(std::int64_t StartedAtMs, std::string_view Address);

  bool leaving() const { return LeavingIncarnation.has_value(); }

  /// Start time of the newest incarnation that leaves.
  std::optional<std::int64_t> leavingIncarnation() const {
    return LeavingIncarnation;
  }

  /// True if another process has the endpoint's address.
  bool replaced() const { return ReplacedIncarnation > 0; }

  /// True if something is known that outlasts the endpoint's registration.
  bool hasStatement() const {
    return leaving() || replaced() || PausedUntil != TimePoint{};
  }

private:
  std::optional<std::int64_t> LeavingIncarnation;
  TimePoint PausedUntil{};
  std::int64_t PausedIncarnation = 0;
  std::int64_t ReplacedIncarnation = 0; ///< 0: not replaced
  std::string ReplacedAt;               ///< address
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
