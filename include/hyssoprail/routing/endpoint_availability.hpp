#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// What the responses of an endpoint state about the work that it takes. A
/// statement holds for the incarnation that made it and for earlier ones. Load
/// pattern: an endpoint that is being replaced still answers while its
/// registration says that it is ready, or cannot be read; an endpoint turns
/// away an entry that sends it more than it can take.
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

  /// The incarnation that started at \p StartedAtMs has registered. Discards
  /// the statements of earlier ones.
  void registered(std::int64_t StartedAtMs);

  bool leaving() const { return LeavingIncarnation.has_value(); }

  /// Start time of the newest incarnation that leaves.
  std::optional<std::int64_t> leavingIncarnation() const {
    return LeavingIncarnation;
  }

  /// True if something is known that outlasts the endpoint's registration.
  bool hasStatement() const { return leaving() || PausedUntil != TimePoint{}; }

private:
  std::optional<std::int64_t> LeavingIncarnation;
  TimePoint PausedUntil{};
  std::int64_t PausedIncarnation = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
