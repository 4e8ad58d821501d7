#ifndef HYSSOPRAIL_GATEWAY_LIMITED_ENDPOINT_HPP
#define HYSSOPRAIL_GATEWAY_LIMITED_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::gateway::testing {

/// A request as an entry sends it.
struct Send {
  TimePoint At;
  std::uint64_t Process = 0; ///< incarnation of the entry
  bool KnewLeaving = false;  ///< the process had read that the endpoint leaves
  bool KnewPause = false;    ///< it had read of a pause that has not ended
};

/// An endpoint of the service "orders" that answers every request after a fixed
/// time and may state a limit.
struct LimitedEndpoint {
  std::string Id;
  std::optional<double> PerSecond;
  std::vector<TimePoint> Arrivals;
  bool Leaving = false; ///< what its responses state
  std::int64_t StartedAtMs = 1;
  /// It turns requests away and asks for this pause.
  std::optional<milliseconds> Pause{};
  std::string PausedEntry{}; ///< only this entry is turned away; empty: all
  std::vector<Send> Sends{};
};

/// Outcomes of the calls of a run.
struct CallOutcomes {
  unsigned Served = 0;
  unsigned Rejected = 0;
  Duration LongestRejection{}; ///< from a call's arrival to its rejection
  milliseconds ShortestRetryAfter = milliseconds::max();
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_LIMITED_ENDPOINT_HPP
