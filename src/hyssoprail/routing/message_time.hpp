#ifndef HYSSOPRAIL_ROUTING_MESSAGE_TIME_HPP
#define HYSSOPRAIL_ROUTING_MESSAGE_TIME_HPP

#include <algorithm>
#include <cstdint>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// \p D in milliseconds for a message field that has no sign; 0 if negative.
inline std::uint32_t nonNegativeMillis(Duration D) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<milliseconds>(D).count()));
}

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_MESSAGE_TIME_HPP
