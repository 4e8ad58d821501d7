#include "hyssoprail/routing/served_shares.hpp"

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Part of the share of all that each priority is owed. Callers accept a
/// quarter; a third leaves room for what waits when it is measured.
constexpr double OwedPart = 1.0 / 3;

} // namespace

bool ServedShares::isOwed(int Priority, TimePoint Now) const {
  const double AllArrived = Arrived.all(Now);
  if (AllArrived <= 0)
    return false;
  const double ShareOfAll = Served.all(Now) / AllArrived;
  const double MissingPerSecond =
      OwedPart * ShareOfAll * Arrived.of(Priority, Now) -
      Served.of(Priority, Now);
  return MissingPerSecond * seconds(Averaging) >= 1;
}

} // namespace hyssoprail::routing
