#include "hyssoprail/routing/leg_budget.hpp"

namespace hyssoprail::routing {

bool LegBudget::tryBegin(LegKind Kind, TimePoint Now) {
  LastLegIsFree = Kind == LegKind::Prefill && !PrefillAccepted;
  // The decode leg that follows a repeated prefill is charged, so the prefill
  // is useful only if budget is left for it.
  if (Kind == LegKind::Prefill && (PrefillAccepted || ArrivedLegs > 0) &&
      !Retries.available(Service, Now))
    return false;
  if (LastLegIsFree) {
    PrefillAccepted = true;
    return true;
  }
  if (ArrivedLegs > 0 && !Retries.take(Service, Now))
    return false;
  ++ArrivedLegs;
  return true;
}

void LegBudget::notSent(TimePoint Now) {
  if (LastLegIsFree) {
    PrefillAccepted = false;
    return;
  }
  if (--ArrivedLegs > 0)
    Retries.refund(Service, Now);
}

void LegBudget::notAccepted(TimePoint Now) {
  if (!LastLegIsFree)
    return;
  PrefillAccepted = false;
  if (ArrivedLegs++ > 0)
    Retries.charge(Service, Now);
}

} // namespace hyssoprail::routing
