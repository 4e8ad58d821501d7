#ifndef HYSSOPRAIL_PROCESS_WINDOW_CHECK_HPP
#define HYSSOPRAIL_PROCESS_WINDOW_CHECK_HPP

#include <cstdint>
#include <deque>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Adds up an account's newest grants over every window that ends at the newest
/// one. It shares no arithmetic with TokenBucket, so that a fault there shows.
class WindowCheck {
public:
  /// Starts at \p Start, with \p InitialTokens tokens counted as granted then.
  WindowCheck(double InitialTokens, TimePoint Start);

  /// Applies \p Rate from \p Now on.
  void setRate(double Rate, TimePoint Now);

  /// Adds a grant. Returns false if some window that ends now exceeds \p Burst
  /// plus what the rate allows over its length.
  bool granted(std::uint64_t Grant, double Tokens, double Burst, TimePoint Now);

  /// Subtracts what was credited for \p Grant.
  void credited(std::uint64_t Grant, double Tokens);

private:
  /// A violation shows within a few grants; 32 keep a check under 100 ns.
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
