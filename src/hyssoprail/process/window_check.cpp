#include "hyssoprail/process/window_check.hpp"

namespace hyssoprail {
namespace {

/// Tolerance for rounding errors in sums of doubles: absolute and relative.
constexpr double RoundingTokens = 1e-3;
constexpr double RoundingRelative = 1e-9;

} // namespace

WindowCheck::WindowCheck(double InitialTokens, TimePoint Start)
    : LastUpdate(Start) {
  RecentGrants.push_back({0, 0, InitialTokens});
}

void WindowCheck::setRate(double NewRate, TimePoint Now) {
  advanceTo(Now);
  Rate = NewRate;
}

bool WindowCheck::granted(std::uint64_t Grant, double Tokens, double Burst,
                          TimePoint Now) {
  advanceTo(Now);
  if (RecentGrants.size() >= MaxGrants)
    RecentGrants.pop_front();
  RecentGrants.push_back({Grant, Allowed, Tokens});
  const double Limit =
      Burst + RoundingTokens + RoundingRelative * (Burst + Allowed);
  double Sum = 0;
  for (auto It = RecentGrants.rbegin(); It != RecentGrants.rend(); ++It) {
    Sum += It->Tokens;
    if (Sum > Limit + Allowed - It->AllowedBefore)
      return false;
  }
  return true;
}

void WindowCheck::credited(std::uint64_t Grant, double Tokens) {
  for (GrantRecord &Record : RecentGrants)
    if (Record.Grant == Grant)
      Record.Tokens -= Tokens;
}

void WindowCheck::advanceTo(TimePoint Now) {
  if (Now <= LastUpdate)
    return;
  Allowed += Rate * std::chrono::duration<double>(Now - LastUpdate).count();
  LastUpdate = Now;
}

} // namespace hyssoprail
