#include "hyssoprail/process/window_check.hpp"

namespace hyssoprail {
namespace {

/// Allowance for rounding in sums of doubles, in tokens and relative.
constexpr double RoundingTokens = 1e-3;
constexpr double RoundingRelative = 1e-9;

} // namespace

WindowCheck::WindowCheck(double Used, TimePoint Start) : Settled(Start) {
  Newest.push_back({0, 0, Used});
}

void WindowCheck::setRate(double To, TimePoint Now) {
  settle(Now);
  Rate = To;
}

bool WindowCheck::granted(std::uint64_t Grant, double Tokens, double Burst,
                          TimePoint Now) {
  settle(Now);
  if (Newest.size() >= MaxGrants)
    Newest.pop_front();
  Newest.push_back({Grant, Allowed, Tokens});
  const double Limit =
      Burst + RoundingTokens + RoundingRelative * (Burst + Allowed);
  double Sum = 0;
  for (auto It = Newest.rbegin(); It != Newest.rend(); ++It) {
    Sum += It->Tokens;
    if (Sum > Limit + Allowed - It->Allowed)
      return false;
  }
  return true;
}

void WindowCheck::credited(std::uint64_t Grant, double Tokens) {
  for (Entry &E : Newest)
    if (E.Grant == Grant)
      E.Tokens -= Tokens;
}

void WindowCheck::settle(TimePoint Now) {
  if (Now <= Settled)
    return;
  Allowed += Rate * std::chrono::duration<double>(Now - Settled).count();
  Settled = Now;
}

} // namespace hyssoprail
