#include "hyssoprail/process/token_bucket.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

/// Longest wait that is reported; also keeps the conversion from overflowing.
constexpr double LongestWaitSeconds = 3600;

} // namespace

TokenBucket::TokenBucket(AccountLimit Limit, double Debt, double RateFactor,
                         TimePoint Start)
    : Limit(Limit), RateFactor(RateFactor), Debt(Debt), Settled(Start) {}

void TokenBucket::setLimit(AccountLimit To, TimePoint Now) {
  settle(Now);
  Limit = To;
}

std::optional<std::uint64_t> TokenBucket::take(double Tokens, TimePoint Now) {
  settle(Now);
  if (Debt + Tokens > Limit.Burst)
    return std::nullopt;
  Debt += Tokens;
  History.granted(++Grants, Debt);
  return Grants;
}

double TokenBucket::giveBack(std::uint64_t Grant, double Tokens,
                             TimePoint Now) {
  settle(Now);
  const double Credit =
      std::max(0.0, std::min(Tokens, History.leastSince(Grant)));
  Debt -= Credit;
  History.credit(Grant, Credit);
  return Credit;
}

std::optional<Duration> TokenBucket::waitFor(double Tokens,
                                             TimePoint Now) const {
  if (Tokens > Limit.Burst || refillRate() <= 0)
    return std::nullopt;
  const double Excess = debt(Now) + Tokens - Limit.Burst;
  const double Wait =
      std::clamp(Excess / refillRate(), 0.0, LongestWaitSeconds);
  // Rounded up: an excess below the clock's resolution still means a wait.
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Wait)) +
         Duration(1) + std::max(Settled - Now, Duration::zero());
}

double TokenBucket::debt(TimePoint Now) const {
  if (Now <= Settled)
    return Debt;
  return std::max(0.0, Debt - refillRate() * seconds(Now - Settled));
}

void TokenBucket::settle(TimePoint Now) {
  if (Now <= Settled)
    return;
  Debt = debt(Now);
  Settled = Now;
  History.observe(Debt);
}

} // namespace hyssoprail
