#include "hyssoprail/process/debt_history.hpp"

#include <algorithm>

namespace hyssoprail {

void DebtHistory::observe(double Debt) {
  if (Steps.empty() || Steps.back().Least <= Debt)
    return;
  Steps.back().Least = Debt;
  joinFrom(Steps.size() - 1);
}

void DebtHistory::granted(std::uint64_t Grant, double Debt) {
  Steps.push_back({Grant, Debt});
  joinFrom(Steps.size() - 1);
  if (Steps.size() > MaxSteps)
    joinClosest();
}

double DebtHistory::leastSince(std::uint64_t Grant) const {
  if (Steps.empty())
    return 0;
  return Steps[stepOf(Grant)].Least;
}

void DebtHistory::credit(std::uint64_t Grant, double Amount) {
  if (Steps.empty())
    return;
  const std::size_t First = stepOf(Grant);
  for (std::size_t I = First; I < Steps.size(); ++I)
    Steps[I].Least -= Amount;
  joinFrom(First);
}

std::size_t DebtHistory::stepOf(std::uint64_t Grant) const {
  const auto After = std::upper_bound(
      Steps.begin(), Steps.end(), Grant,
      [](std::uint64_t G, const Step &S) { return G < S.FirstGrant; });
  return After == Steps.begin()
             ? 0
             : static_cast<std::size_t>(After - Steps.begin()) - 1;
}

/// Joins the steps before \p Index whose least debt is not lower.
void DebtHistory::joinFrom(std::size_t Index) {
  std::size_t First = Index;
  while (First > 0 && Steps[First - 1].Least >= Steps[Index].Least)
    --First;
  if (First == Index)
    return;
  Steps[First].Least = Steps[Index].Least;
  Steps.erase(Steps.begin() + static_cast<std::ptrdiff_t>(First) + 1,
              Steps.begin() + static_cast<std::ptrdiff_t>(Index) + 1);
}

void DebtHistory::joinClosest() {
  std::size_t Closest = 1;
  for (std::size_t I = 2; I < Steps.size(); ++I)
    if (Steps[I].Least - Steps[I - 1].Least <
        Steps[Closest].Least - Steps[Closest - 1].Least)
      Closest = I;
  Steps.erase(Steps.begin() + static_cast<std::ptrdiff_t>(Closest));
}

} // namespace hyssoprail
