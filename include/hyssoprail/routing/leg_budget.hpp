#ifndef HYSSOPRAIL_ROUTING_LEG_BUDGET_HPP
#define HYSSOPRAIL_ROUTING_LEG_BUDGET_HPP

#include <string>
#include <utility>

#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/retry_limiter.hpp"

namespace hyssoprail::routing {

/// Counts the sends of one generation that reach an endpoint. The first one is
/// free, and so is the first prefill that an engine accepts; all others draw on
/// the retry budget. Load pattern: addresses that have changed owners, where a
/// refused prefill is followed by sends to several other engines.
class LegBudget {
public:
  LegBudget(RetryLimiter &Retries, std::string Service)
      : Retries(Retries), Service(std::move(Service)) {}

  /// Counts a send of \p Kind that is about to start; false if the budget does
  /// not allow it.
  bool tryBegin(LegKind Kind, TimePoint Now);

  /// The send that began last did not reach an endpoint.
  void notSent(TimePoint Now);

  /// The endpoint refused the send that began last, or has not answered it.
  /// Nobody knows whether a silent engine has accepted a prefill, so it counts.
  void notAccepted(TimePoint Now);

private:
  RetryLimiter &Retries;
  std::string Service;
  unsigned ArrivedLegs = 0;     ///< arrivals, but for the free prefill
  bool PrefillAccepted = false; ///< the free prefill was taken, or may be
  bool LastLegIsFree = false;   ///< the last send is that prefill
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ARRIVAL_COUNT_HPP
