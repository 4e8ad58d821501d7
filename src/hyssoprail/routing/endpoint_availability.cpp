#include "hyssoprail/routing/endpoint_availability.hpp"

#include <utility>

namespace hyssoprail::routing {

bool EndpointAvailability::recordLeaving(std::int64_t StartedAtMs) {
  if (LeavingIncarnation && *LeavingIncarnation >= StartedAtMs)
    return false;
  LeavingIncarnation = StartedAtMs;
  return true;
}

bool EndpointAvailability::recordPause(std::int64_t StartedAtMs,
                                       TimePoint Until) {
  if (Until <= PausedUntil)
    return false;
  PausedUntil = Until;
  PausedIncarnation = StartedAtMs;
  return true;
}

void EndpointAvailability::recordReplaced(std::string Address,
                                          std::int64_t StartedAtMs) {
  ReplacedIncarnation = StartedAtMs;
  ReplacedAt = std::move(Address);
}

void EndpointAvailability::registered(std::int64_t StartedAtMs,
                                      std::string_view Address) {
  if (PausedIncarnation < StartedAtMs)
    PausedUntil = {};
  if (LeavingIncarnation && *LeavingIncarnation < StartedAtMs)
    LeavingIncarnation.reset();
  if (ReplacedIncarnation < StartedAtMs || StartedAtMs == 0 ||
      ReplacedAt != Address) {
    ReplacedIncarnation = 0;
    ReplacedAt.clear();
  }
}

} // namespace hyssoprail::routing
