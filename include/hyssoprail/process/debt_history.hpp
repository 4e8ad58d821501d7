#ifndef HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP
#define HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP

#include <cstdint>
#include <vector>

namespace hyssoprail {

/// Least debt of a token bucket since each of its grants, in bounded memory.
///
/// A refund may lower the debt by no more than the least debt since its grant:
/// then the debt is what it would have been had the grant been smaller from
/// the start. Crediting more would also return what the bucket refilled while
/// it was already full, and the account could use the same tokens twice.
///
/// When more than MaxSteps steps would be kept, the two closest are joined
/// under the lower debt, which credits less and never more.
class DebtHistory {
public:
  /// Notes that the debt fell to \p Debt. Called before each change.
  void observe(double Debt);

  /// Notes grant \p Grant, after which the debt is \p Debt. Numbers grow.
  void granted(std::uint64_t Grant, double Debt);

  /// Least debt since \p Grant.
  double minSince(std::uint64_t Grant) const;

  /// Lowers the debt from \p Grant on by \p Amount, at most leastSince(Grant).
  void credit(std::uint64_t Grant, double Amount);

private:
  static constexpr std::size_t MaxSteps = 32;

  struct Step {
    std::uint64_t FirstGrant;
    double MinDebt; ///< grows from step to step
  };

  std::size_t findStep(std::uint64_t Grant) const;
  void mergePreceding(std::size_t Index);
  void mergeClosest();

  std::vector<Step> Steps;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP
