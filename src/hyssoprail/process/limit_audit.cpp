#include "hyssoprail/process/limit_audit.hpp"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

/// Tolerance for rounding errors in sums of doubles, in tokens.
constexpr double RoundingTolerance = 1e-2;

} // namespace

std::string BoundViolation::describe() const {
  return fmt::format("account {}: {:.3f} tokens in a window of {:.6f} s from "
                     "{:.6f} s, allowed {:.3f}",
                     Account, Tokens, seconds(To - From),
                     seconds(From.time_since_epoch()), Allowed);
}

void LimitAudit::setLimit(const std::string &Account, TimePoint From,
                          AccountLimit Limit) {
  Accounts[Account].Periods.push_back({From, Limit});
}

void LimitAudit::granted(const std::string &Account, const std::string &DebitId,
                         double Tokens, TimePoint At) {
  AccountHistory &History = Accounts[Account];
  History.ByDebit[DebitId] = History.Grants.size();
  History.Grants.push_back({At, Tokens});
}

void LimitAudit::credited(const std::string &Account,
                          const std::string &DebitId, double Tokens) {
  AccountHistory &History = Accounts[Account];
  const auto It = History.ByDebit.find(DebitId);
  if (It != History.ByDebit.end())
    History.Grants[It->second].Tokens -= Tokens;
}

std::optional<BoundViolation> LimitAudit::firstViolation() const {
  for (const auto &[Name, History] : Accounts)
    if (auto Found = check(Name, History))
      return Found;
  return std::nullopt;
}

/// Largest burst in force at \p At, which is in period \p Index. If a period
/// starts exactly at \p At, the previous limit counts too, as grants of the
/// same instant may have been made before the change.
double LimitAudit::maxBurstAt(const std::vector<LimitPeriod> &Periods,
                              std::size_t Index, TimePoint At) {
  double Burst = Periods[Index].Limit.Burst;
  for (; Index > 0 && Periods[Index].From == At; --Index)
    Burst = std::max(Burst, Periods[Index - 1].Limit.Burst);
  return Burst;
}

/// For each limit period, tracks the largest excess of granted tokens over rate
/// x length among the windows that start in the period, and compares it with
/// the burst at each grant. This covers the window between every pair of grants
/// in O(periods x grants).
std::optional<BoundViolation> LimitAudit::check(const std::string &Account,
                                                const AccountHistory &History) {
  std::vector<Grant> Sorted = History.Grants;
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const Grant &A, const Grant &B) { return A.At < B.At; });
  const std::size_t Count = History.Periods.size();
  auto PeriodEnd = [&](std::size_t Index) {
    return Index + 1 < Count ? History.Periods[Index + 1].From
                             : TimePoint::max();
  };
  // No tokens may be granted before the first limit.
  if (!Sorted.empty() &&
      (Count == 0 || Sorted.front().At < History.Periods[0].From))
    return BoundViolation{Account, Sorted.front().At, Sorted.front().At,
                          Sorted.front().Tokens, 0};
  for (std::size_t First = 0; First < Count; ++First) {
    constexpr double NoWindow = -std::numeric_limits<double>::infinity();
    double Excess = NoWindow;
    TimePoint From;
    double Tokens = 0;
    double MaxBurst = 0;
    std::size_t Current = First;
    TimePoint LastTime = History.Periods[First].From;
    for (const Grant &G : Sorted) {
      if (G.At < History.Periods[First].From)
        continue;
      while (G.At >= PeriodEnd(Current)) {
        Excess -= History.Periods[Current].Limit.Rate *
                  seconds(PeriodEnd(Current) - LastTime);
        LastTime = PeriodEnd(Current);
        ++Current;
        MaxBurst = std::max(MaxBurst, History.Periods[Current].Limit.Burst);
      }
      Excess -= History.Periods[Current].Limit.Rate * seconds(G.At - LastTime);
      LastTime = G.At;
      if (Current == First && Excess <= 0) {
        Excess = 0;
        From = G.At;
        Tokens = 0;
        MaxBurst = maxBurstAt(History.Periods, First, G.At);
      }
      if (Excess == NoWindow)
        break;
      Excess += G.Tokens;
      Tokens += G.Tokens;
      if (Excess > MaxBurst + RoundingTolerance)
        return BoundViolation{Account, From, G.At, Tokens,
                              Tokens - Excess + MaxBurst};
    }
  }
  return std::nullopt;
}

double LimitAudit::total(const std::string &Account) const {
  const auto It = Accounts.find(Account);
  double Sum = 0;
  if (It != Accounts.end())
    for (const Grant &G : It->second.Grants)
      Sum += G.Tokens;
  return Sum;
}

} // namespace hyssoprail
