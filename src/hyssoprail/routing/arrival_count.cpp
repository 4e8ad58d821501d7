#include "hyssoprail/routing/arrival_count.hpp"

namespace hyssoprail::routing {

bool ArrivalCount::begin(LegKind Kind, TimePoint Now) {
  LastIsFree = Kind == LegKind::Prefill && !PrefillAccepted;
  // The decode that uses a further prefill will draw on the budget.
  if (Kind == LegKind::Prefill && (PrefillAccepted || Counted > 0) &&
      !Retries.available(Service, Now))
    return false;
  if (LastIsFree) {
    PrefillAccepted = true;
    return true;
  }
  if (Counted > 0 && !Retries.take(Service, Now))
    return false;
  ++Counted;
  return true;
}

void ArrivalCount::notSent(TimePoint Now) {
  if (LastIsFree) {
    PrefillAccepted = false;
    return;
  }
  if (--Counted > 0)
    Retries.refund(Service, Now);
}

void ArrivalCount::notAccepted(TimePoint Now) {
  if (!LastIsFree)
    return;
  PrefillAccepted = false;
  if (Counted++ > 0)
    Retries.charge(Service, Now);
}

} // namespace hyssoprail::routing
