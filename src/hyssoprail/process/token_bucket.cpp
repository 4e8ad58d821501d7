#include "hyssoprail/process/token_bucket.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

/// Longest wait that is reported. Prevents an overflow when the wait is
/// converted to Duration.
constexpr double MaxWaitSeconds = 3600;

} // namespace

TokenBucket::TokenBucket(AccountLimit Limit, double Debt, double RateFactor,
                         TimePoint Start)
    : Limit(Limit), RateFactor(RateFactor), Debt(Debt), LastUpdate(Start) {}

void TokenBucket::setLimit(AccountLimit NewLimit, TimePoint Now) {
  advanceTo(Now);
  Limit = NewLimit;
}

std::optional<std::uint64_t> TokenBucket::take(double Tokens, TimePoint Now) {
  advanceTo(Now);
  if (Debt + Tokens > Limit.Burst)
    return std::nullopt;
  Debt += Tokens;
  History.granted(++Grants, Debt);
  return Grants;
}

double TokenBucket::returnUnused(std::uint64_t Grant, double Tokens,
                                 TimePoint Now) {
  advanceTo(Now);
  const double Credit =
      std::max(0.0, std::min(Tokens, History.minSince(Grant)));
  Debt -= Credit;
  History.credit(Grant, Credit);
  return Credit;
}

std::optional<Duration> TokenBucket::timeUntilAvailable(double Tokens,
                                                        TimePoint Now) const {
  if (Tokens > Limit.Burst || refillRate() <= 0)
    return std::nullopt;
  const double Excess = debt(Now) + Tokens - Limit.Burst;
  const double Wait = std::clamp(Excess / refillRate(), 0.0, MaxWaitSeconds);
  // Rounded up, as the wait must be positive even if it is shorter than the
  // resolution of the clock.
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Wait)) +
         Duration(1) + std::max(LastUpdate - Now, Duration::zero());
}

double TokenBucket::debt(TimePoint Now) const {
  if (Now <= LastUpdate)
    return Debt;
  return std::max(0.0, Debt - refillRate() * seconds(Now - LastUpdate));
}

void TokenBucket::advanceTo(TimePoint Now) {
  if (Now <= LastUpdate)
    return;
  Debt = debt(Now);
  LastUpdate = Now;
  History.observe(Debt);
}

} // namespace hyssoprail
