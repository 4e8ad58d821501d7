#ifndef HYSSOPRAIL_ROUTING_DURATION_SECONDS_HPP
#define HYSSOPRAIL_ROUTING_DURATION_SECONDS_HPP

#include <chrono>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

inline double seconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

/// The value must be within the range of Duration.
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_DURATION_SECONDS_HPP
