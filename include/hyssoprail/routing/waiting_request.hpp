#ifndef HYSSOPRAIL_ROUTING_WAITING_REQUEST_HPP
#define HYSSOPRAIL_ROUTING_WAITING_REQUEST_HPP

#include <cstdint>
#include <string>
#include <tuple>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// A generation that waits for engine memory, as the entries tell each other.
struct WaitingRequest {
  std::string Service;
  std::int32_t Rank = 0;   ///< lower ranks are served first
  TimePoint Arrival{};     ///< by the clock of this entry
  std::int64_t Tokens = 0; ///< engine memory it needs

  /// Order of service over all entries.
  bool servedBefore(const WaitingRequest &O) const {
    return std::tie(Rank, Arrival) < std::tie(O.Rank, O.Arrival);
  }
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_WAITING_REQUEST_HPP
