#include "hyssoprail/routing/overload_policy.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

#include "hyssoprail/routing/duration_seconds.hpp"
#include "hyssoprail/routing/stream_admission.hpp"

namespace hyssoprail::routing {
namespace {

/// Longer waits are equal to callers, and their sum must not overflow.
constexpr double MaxWaitSeconds = 3'600;

} // namespace

bool OverloadPolicy::canBeOnTime(const OverloadInput &Request,
                                 Duration TimeToFirstEvent, TimePoint Now) {
  return Request.Began || Now + TimeToFirstEvent <= Request.ObjectiveDeadline;
}

std::vector<std::size_t>
OverloadPolicy::order(const std::vector<OverloadInput> &Queue,
                      Duration TimeToFirstEvent, TimePoint Now) {
  using Key = std::tuple<bool, int, int, bool, bool, double, bool, double,
                         TimePoint, std::string_view, std::size_t>;
  std::vector<Key> Keys;
  Keys.reserve(Queue.size());
  for (const OverloadInput &R : Queue)
    Keys.emplace_back(!canBeOnTime(R, TimeToFirstEvent, Now), R.Priority,
                      R.RoutePriority, R.BeyondQuota, R.Returns, R.AccountLoad,
                      !R.Promised, R.Work, R.Arrival, R.Id, Keys.size());
  std::sort(Keys.begin(), Keys.end());
  std::vector<std::size_t> Out;
  Out.reserve(Keys.size());
  for (const Key &K : Keys)
    Out.push_back(std::get<std::size_t>(K));
  return Out;
}

double OverloadPolicy::remainingRate(double TokensPerSecond, double Arrivals) {
  // The turn of the longest waiting request is kept whatever arrives.
  return std::max(TokensPerSecond - Arrivals, TokensPerSecond / FairTurn);
}

Duration OverloadPolicy::expectedWait(const OverloadInput &Request,
                                      double MissingTokens,
                                      const OverloadCapacity &Capacity,
                                      TimePoint Now) {
  if (MissingTokens <= 0)
    return Duration{0};
  const auto WaitAt = [&](double Arrivals) {
    const double Rate = remainingRate(Capacity.TokensPerSecond, Arrivals);
    const double Seconds = Rate > 0
                               ? std::min(MissingTokens / Rate, MaxWaitSeconds)
                               : MaxWaitSeconds;
    return fromSeconds(Seconds);
  };
  const Duration Wait = WaitAt(Capacity.UrgentArrivals);
  if (canBeOnTime(Request, Capacity.TimeToFirstEvent, Now + Wait))
    return Wait;
  // It will be late, and all that arrive meanwhile overtake it.
  return WaitAt(Capacity.AllArrivals);
}

bool OverloadPolicy::mustRefuse(const OverloadInput &Request,
                                Duration ExpectedWait, TimePoint Now) {
  const Duration Wait = Request.Began ? Duration{0} : ExpectedWait;
  return Now + Wait + MinServiceTime >= Request.GiveUpAt;
}

bool overloadPolicyConfigured(OverloadMode Mode, const FleetConfig &Config,
                              std::string_view Service) {
  return Mode == OverloadMode::LeastCost ||
         (Mode == OverloadMode::Auto &&
          Config.Routes.prioritiesDiffer(Service));
}

} // namespace hyssoprail::routing
