#include "hyssoprail/process/debt_history.hpp"

#include <algorithm>

namespace hyssoprail {

void DebtHistory::observe(double Debt) {
  if (Steps.empty() || Steps.back().MinDebt <= Debt)
    return;
  Steps.back().MinDebt = Debt;
  mergePreceding(Steps.size() - 1);
}

void DebtHistory::granted(std::uint64_t Grant, double Debt) {
  Steps.push_back({Grant, Debt});
  mergePreceding(Steps.size() - 1);
  if (Steps.size() > MaxSteps)
    mergeClosest();
}

double DebtHistory::minSince(std::uint64_t Grant) const {
  if (Steps.empty())
    return 0;
  return Steps[findStep(Grant)].MinDebt;
}

void DebtHistory::credit(std::uint64_t Grant, double Amount) {
  if (Steps.empty())
    return;
  const std::size_t First = findStep(Grant);
  for (std::size_t I = First; I < Steps.size(); ++I)
    Steps[I].MinDebt -= Amount;
  mergePreceding(First);
}

std::size_t DebtHistory::findStep(std::uint64_t Grant) const {
  const auto Next = std::upper_bound(
      Steps.begin(), Steps.end(), Grant,
      [](std::uint64_t G, const Step &S) { return G < S.FirstGrant; });
  return Next == Steps.begin()
             ? 0
             : static_cast<std::size_t>(Next - Steps.begin()) - 1;
}

/// Merges step \p Index with the preceding steps whose minimum debt is not
/// lower.
void DebtHistory::mergePreceding(std::size_t Index) {
  std::size_t First = Index;
  while (First > 0 && Steps[First - 1].MinDebt >= Steps[Index].MinDebt)
    --First;
  if (First == Index)
    return;
  Steps[First].MinDebt = Steps[Index].MinDebt;
  Steps.erase(Steps.begin() + static_cast<std::ptrdiff_t>(First) + 1,
              Steps.begin() + static_cast<std::ptrdiff_t>(Index) + 1);
}

void DebtHistory::mergeClosest() {
  std::size_t Closest = 1;
  for (std::size_t I = 2; I < Steps.size(); ++I)
    if (Steps[I].MinDebt - Steps[I - 1].MinDebt <
        Steps[Closest].MinDebt - Steps[Closest - 1].MinDebt)
      Closest = I;
  Steps.erase(Steps.begin() + static_cast<std::ptrdiff_t>(Closest));
}

} // namespace hyssoprail
