#ifndef HYSSOPRAIL_ROUTING_SERVED_SHARES_HPP
#define HYSSOPRAIL_ROUTING_SERVED_SHARES_HPP

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/arrival_rates.hpp"

namespace hyssoprail::routing {

/// How often requests of each priority are served, over the last seconds. A
/// priority may not be shut out, whatever more urgent work arrives: it is owed
/// a dispatch while its share of served requests is too small compared with
/// that of all.
class ServedShares {
public:
  /// A request came for the first time.
  void arrived(int Priority, TimePoint At) { Arrived.record(Priority, 1, At); }

  /// A request of any try was dispatched.
  void served(int Priority, TimePoint At) { Served.record(Priority, 1, At); }

  bool isOwed(int Priority, TimePoint Now) const;

private:
  /// What was missed in a surge is not owed any more once requests must be on
  /// time again.
  static constexpr std::chrono::seconds Averaging{2};

  ArrivalRates Arrived{Averaging};
  ArrivalRates Served{Averaging};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_SERVED_SHARES_HPP
