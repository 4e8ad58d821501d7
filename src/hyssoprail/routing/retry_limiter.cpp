#include "hyssoprail/routing/retry_limiter.hpp"

namespace hyssoprail::routing {
namespace {

/// Share of the budget that is used. The rest is a margin, because the budget
/// must hold for windows that begin at any moment, and because legs arrive at
/// endpoints later than they are sent.
constexpr double SafetyFactor = 0.8;

} // namespace

std::int64_t RetryLimiter::slotIndex(TimePoint Now) const {
  const Duration SlotLength = Options.Window / static_cast<int>(SlotCount - 1);
  return Now.time_since_epoch() / SlotLength;
}

RetryLimiter::Slot &RetryLimiter::slot(std::string_view Service,
                                       TimePoint Now) {
  auto Found = Services.find(Service);
  if (Found == Services.end())
    Found = Services.emplace(std::string(Service), Slots{}).first;
  const std::int64_t Index = slotIndex(Now);
  Slot &S = Found->second[static_cast<std::size_t>(Index) % SlotCount];
  if (S.Index != Index)
    S = {Index, 0, 0};
  return S;
}

void RetryLimiter::recordRequest(std::string_view Service, TimePoint Now) {
  ++slot(Service, Now).Requests;
}

void RetryLimiter::refund(std::string_view Service, TimePoint Now) {
  Slot &Current = slot(Service, Now);
  if (Current.Retries > 0)
    --Current.Retries;
}

void RetryLimiter::charge(std::string_view Service, TimePoint Now) {
  ++slot(Service, Now).Retries;
}

bool RetryLimiter::take(std::string_view Service, TimePoint Now) {
  if (!available(Service, Now))
    return false;
  charge(Service, Now);
  return true;
}

bool RetryLimiter::available(std::string_view Service, TimePoint Now) {
  slot(Service, Now); // adds the service if it is not in the map
  const std::int64_t Oldest =
      slotIndex(Now) - static_cast<std::int64_t>(SlotCount) + 1;
  double Requests = 0;
  double Retries = 0;
  for (const Slot &S : Services.find(Service)->second) {
    if (S.Index < Oldest)
      continue;
    Requests += S.Requests;
    Retries += S.Retries;
  }
  const double Allowed =
      SafetyFactor * (Options.Ratio * Requests + Options.Slack / Entries);
  return Retries + 1 <= Allowed;
}

} // namespace hyssoprail::routing
