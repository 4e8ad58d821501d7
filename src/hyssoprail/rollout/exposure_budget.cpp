#include "hyssoprail/rollout/exposure_budget.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hyssoprail::rollout {
namespace {

/// Part of the bound that is not lent, for sends beyond the planned ones: a
/// request that its endpoint refused is sent once more.
constexpr double Reserve = 0.15;

} // namespace

void ExposureBudget::report(const std::string &Entry, std::uint64_t Incarnation,
                            std::uint64_t Requests, std::uint64_t Allowance) {
  const auto [It, New] = Accounts.try_emplace(Entry);
  Account &A = It->second;
  if (New || A.Incarnation != Incarnation) {
    EndedRequests += A.Requests - A.FirstRequests;
    // An entry that starts during the term has sent all of its requests in it,
    // but one that followed another coordinator before has not. Only what is
    // counted from now on is certain.
    A = {};
    A.Incarnation = Incarnation;
    A.FirstRequests = A.Requests = Requests;
    A.Allowance = Allowance;
    return;
  }
  A.Allowance = std::max(A.Allowance, Allowance);
  if (Requests <= A.Requests)
    return; // a late report
  A.Demand += static_cast<double>(Requests - A.Requests);
  A.Requests = Requests;
}

std::uint64_t ExposureBudget::counted() const {
  std::uint64_t Sum = EndedRequests;
  for (const auto &[Name, A] : Accounts)
    Sum += A.Requests - A.FirstRequests;
  return Sum;
}

double ExposureBudget::limit() const {
  const double Slack = BeganHere ? Bound.Slack : 0;
  return (Bound.Share * static_cast<double>(counted()) + Slack) * (1 - Reserve);
}

void ExposureBudget::lend(double UsedShare) {
  const double Lendable = limit() * std::clamp(UsedShare, 0.0, 1.0);
  auto Free = static_cast<std::int64_t>(std::floor(Lendable)) -
              static_cast<std::int64_t>(LentInTerm);
  if (Free <= 0)
    return;
  std::vector<Account *> ByDemand;
  double Demand = 0;
  for (auto &[Name, A] : Accounts) {
    ByDemand.push_back(&A);
    Demand += A.Demand;
  }
  if (Demand <= 0)
    return;
  std::stable_sort(
      ByDemand.begin(), ByDemand.end(),
      [](const Account *A, const Account *B) { return A->Demand > B->Demand; });
  const double PerRequest = static_cast<double>(Free) / Demand;
  for (Account *A : ByDemand) {
    if (A->Demand <= 0)
      return;
    // At least one for the entries with the largest demand, as long as there
    // is any: with hundreds of entries every share is below one.
    const auto Share = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(std::floor(A->Demand * PerRequest)), 1, Free);
    A->Allowance += static_cast<std::uint64_t>(Share);
    A->Lent += static_cast<std::uint64_t>(Share);
    LentInTerm += static_cast<std::uint64_t>(Share);
    A->Demand = 0;
    Free -= Share;
    if (Free <= 0)
      return;
  }
}

std::uint64_t ExposureBudget::allowance(const std::string &Entry,
                                        std::uint64_t Incarnation) const {
  const auto It = Accounts.find(Entry);
  return It == Accounts.end() || It->second.Incarnation != Incarnation
             ? 0
             : It->second.Allowance;
}

} // namespace hyssoprail::rollout
