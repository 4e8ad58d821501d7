#ifndef HYSSOPRAIL_PROCESS_WINDOW_CHECK_HPP
#define HYSSOPRAIL_PROCESS_WINDOW_CHECK_HPP

#include <cstdint>
#include <deque>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Checks the bound of burst + rate x length for every window that ends at an
/// account's newest grant, by adding up the recent grants. It is computed
/// independently of TokenBucket to detect faults there.
class WindowCheck {
public:
  /// Starts at \p Start and counts \p InitialTokens as granted at that time.
  WindowCheck(double InitialTokens, TimePoint Start);

  /// Applies \p Rate from \p Now on.
  void setRate(double Rate, TimePoint Now);

  /// Adds a grant. Returns false if the grants in any window that ends now
  /// exceed \p Burst plus the tokens that the rate allows over its length.
  bool granted(std::uint64_t Grant, double Tokens, double Burst, TimePoint Now);

  /// Subtracts \p Tokens that were credited for \p Grant.
  void credited(std::uint64_t Grant, double Tokens);

private:
  /// A violation shows within a few grants, and with 32 grants a check takes
  /// less than 100 ns.
  static constexpr std::size_t MaxGrants = 32;

  struct GrantRecord {
    std::uint64_t Grant;
    double
        AllowedBefore; ///< tokens the rate allowed from the start to the grant
    double Tokens;
  };

  void advanceTo(TimePoint Now);

  double Rate = 0;
  double Allowed = 0;
  TimePoint LastUpdate;
  std::deque<GrantRecord> RecentGrants;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_WINDOW_CHECK_HPP
