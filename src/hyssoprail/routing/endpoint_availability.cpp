#include "hyssoprail/routing/endpoint_availability.hpp"

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

void EndpointAvailability::registered(std::int64_t StartedAtMs) {
  if (PausedIncarnation < StartedAtMs)
    PausedUntil = {};
  if (LeavingIncarnation && *LeavingIncarnation < StartedAtMs)
    LeavingIncarnation.reset();
}

} // namespace hyssoprail::routing
