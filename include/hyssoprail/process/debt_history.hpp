#ifndef HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP
#define HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP

#include <cstdint>
#include <vector>

namespace hyssoprail {

/// Minimum debt of a token bucket since each of its grants, in bounded memory.
///
/// A refund may lower the debt by at most the minimum debt since its grant.
/// The debt is then what it would have been if the grant had been smaller from
/// the start. Once the debt has reached 0, the bucket was full and the grant's
/// tokens have been refilled; crediting more would return them a second time.
///
/// Grants with the same minimum share a step. When there would be more than
/// MaxSteps steps, the two with the closest minima are merged under the lower
/// one, so that a refund may be credited less but never more.
class DebtHistory {
public:
  /// Records that the debt has fallen to \p Debt. Must be called before each
  /// change of the bucket.
  void observe(double Debt);

  /// Records grant \p Grant, after which the debt is \p Debt. Grant numbers
  /// must increase.
  void granted(std::uint64_t Grant, double Debt);

  /// Minimum debt since \p Grant.
  double minSince(std::uint64_t Grant) const;

  /// Lowers the recorded debt since \p Grant by \p Amount, which must not
  /// exceed minSince(Grant).
  void credit(std::uint64_t Grant, double Amount);

private:
  static constexpr std::size_t MaxSteps = 32;

  struct Step {
    std::uint64_t FirstGrant;
    double MinDebt; ///< strictly increasing from step to step
  };

  std::size_t findStep(std::uint64_t Grant) const;
  void mergePreceding(std::size_t Index);
  void mergeClosest();

  std::vector<Step> Steps;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_DEBT_HISTORY_HPP
