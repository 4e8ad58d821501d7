#ifndef HYSSOPRAIL_ROUTING_LEG_BUDGET_HPP
#define HYSSOPRAIL_ROUTING_LEG_BUDGET_HPP

#include <string>
#include <utility>

#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/retry_limiter.hpp"

namespace hyssoprail::routing {

/// Counts the legs of one generation that reach an endpoint. The first one is
/// free, and so is the first prefill that an engine accepts; all others draw on
/// the retry budget. Load pattern: addresses that were reassigned to other
/// endpoints, where a refused prefill is followed by legs to several other
/// engines.
class LegBudget {
public:
  LegBudget(RetryLimiter &Retries, std::string Service)
      : Retries(Retries), Service(std::move(Service)) {}

  /// Charges a leg of \p Kind that is about to start. Returns false if the
  /// budget does not allow it.
  bool tryBegin(LegKind Kind, TimePoint Now);

  /// The most recent leg did not reach an endpoint: refunds it.
  void notSent(TimePoint Now);

  /// The endpoint refused the most recent leg or did not answer it. Whether an
  /// unresponsive engine accepted a prefill is unknown, so that leg is charged.
  void notAccepted(TimePoint Now);

private:
  RetryLimiter &Retries;
  std::string Service;
  unsigned ArrivedLegs = 0;     ///< without the free prefill
  bool PrefillAccepted = false; ///< the free prefill was taken, or may be
  bool LastLegIsFree = false;   ///< the most recent leg is the free prefill
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LEG_BUDGET_HPP
