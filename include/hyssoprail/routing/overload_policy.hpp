#ifndef HYSSOPRAIL_ROUTING_OVERLOAD_POLICY_HPP
#define HYSSOPRAIL_ROUTING_OVERLOAD_POLICY_HPP

#include <cstddef>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/overload_mode.hpp"

namespace hyssoprail::routing {

/// What the policy weighs of a waiting request.
struct OverloadInput {
  std::string_view Id;
  int Priority = 0; ///< of the account if it has one, else of the route
  int RoutePriority = 0;
  bool Promised = false; ///< it returns at the time it was promised room
  bool Returns = false;  ///< it was refused before and has no promise
  bool BeyondQuota = false;
  bool Began = false;     ///< an engine has worked on it
  double AccountLoad = 0; ///< reserved memory of its account / its rate
  double Work = 0;        ///< tokens times the expected seconds at an engine
  TimePoint Arrival{};
  TimePoint ObjectiveDeadline{};
  TimePoint GiveUpAt{};
};

/// Capacity of the engines of a service and the load on it.
struct OverloadCapacity {
  double TokensPerSecond = 0;  ///< memory that becomes free
  double UrgentArrivals = 0;   ///< tokens per second of more urgent priorities
  double AllArrivals = 0;      ///< tokens per second of all priorities
  Duration TimeToFirstEvent{}; ///< from placement, at the fastest engine
};

/// Decides who is served first and who is refused while there is too little
/// room, as a pure function of the queue and the clock. Load pattern: surges of
/// several times the capacity, and the seconds after them, in which work that
/// can no longer be on time must not hold back work that still can.
class OverloadPolicy {
public:
  /// At least every FairTurn-th dispatch goes to the request that has waited
  /// longest among those that were overtaken. A quarter of all dispatches is
  /// the smallest share of a kind that callers accept.
  static constexpr unsigned FairTurn = 4;

  /// True if the first event can still come within the objective.
  static bool canBeOnTime(const OverloadInput &Request,
                          Duration TimeToFirstEvent, TimePoint Now);

  /// Positions in \p Queue in order of dispatch.
  static std::vector<std::size_t> order(const std::vector<OverloadInput> &Queue,
                                        Duration TimeToFirstEvent,
                                        TimePoint Now);

  /// Time until \p MissingTokens have become free for the request, if requests
  /// of higher order continue to arrive.
  static Duration expectedWait(const OverloadInput &Request,
                               double MissingTokens,
                               const OverloadCapacity &Capacity, TimePoint Now);

  /// Tokens per second left over for a request that \p Arrivals overtake.
  static double remainingRate(double TokensPerSecond, double Arrivals);

  /// True if the request cannot be served before its caller gives up.
  static bool mustRefuse(const OverloadInput &Request, Duration ExpectedWait,
                         TimePoint Now);
};

/// True if the policy is in force for \p Service as far as configuration and
/// settings tell; with OverloadMode::Auto uneven engines put it in force, too.
bool overloadPolicyConfigured(OverloadMode Mode, const FleetConfig &Config,
                              std::string_view Service);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_OVERLOAD_POLICY_HPP
