#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP

#include <cstdint>
#include <optional>

namespace hyssoprail::routing {

/// What the responses of an endpoint state about the work that it takes. A
/// statement holds for the incarnation that made it and for earlier ones. Load
/// pattern: an endpoint that is being replaced still answers while its
/// registration says that it is ready, or cannot be read.
class EndpointAvailability {
public:
  /// The incarnation that started at \p StartedAtMs leaves: it takes no new
  /// work. Returns false if this was known.
  bool recordLeaving(std::int64_t StartedAtMs);

  /// The incarnation that started at \p StartedAtMs has registered. Discards
  /// the statements of earlier ones.
  void registered(std::int64_t StartedAtMs);

  bool leaving() const { return LeavingIncarnation.has_value(); }

  /// Start time of the newest incarnation that leaves.
  std::optional<std::int64_t> leavingIncarnation() const {
    return LeavingIncarnation;
  }

  /// True if something is known that outlasts the endpoint's registration.
  bool hasStatement() const { return leaving(); }

private:
  std::optional<std::int64_t> LeavingIncarnation;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_AVAILABILITY_HPP
