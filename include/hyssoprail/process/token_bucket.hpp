#ifndef HYSSOPRAIL_PROCESS_TOKEN_BUCKET_HPP
#define HYSSOPRAIL_PROCESS_TOKEN_BUCKET_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/account_limits.hpp"
#include "hyssoprail/process/debt_history.hpp"

namespace hyssoprail {

/// Token bucket of one account, kept as a debt: the debt falls at the account's
/// rate down to 0, a grant raises it, and it may not exceed the burst. The debt
/// is the largest value of (tokens granted - rate x length) over all windows
/// that end now, so the check is the window bound itself, also across changes
/// of rate and burst.
class TokenBucket {
public:
  /// Starts at \p Start with \p Debt. \p RateFactor scales the rate to allow
  /// for a clock that runs fast.
  TokenBucket(AccountLimit Limit, double Debt, double RateFactor,
              TimePoint Start);

  /// Applies a new rate and burst from \p Now on. The debt is unchanged.
  void setLimit(AccountLimit NewLimit, TimePoint Now);

  /// Grants \p Tokens and returns the grant's number, or nullopt if that would
  /// exceed the bound.
  std::optional<std::uint64_t> take(double Tokens, TimePoint Now);

  /// Returns the unused \p Tokens of \p Grant and the part of them that the
  /// bound allows to credit.
  double returnUnused(std::uint64_t Grant, double Tokens, TimePoint Now);

  /// Time until \p Tokens could be granted; nullopt if never.
  std::optional<Duration> timeUntilAvailable(double Tokens,
                                             TimePoint Now) const;

  /// Debt at \p Now; what is left of the burst can be granted.
  double debt(TimePoint Now) const;

  /// Tokens per second that are added, by the local clock.
  double refillRate() const { return Limit.Rate * RateFactor; }

  const AccountLimit &limit() const { return Limit; }

private:
  void advanceTo(TimePoint Now);

  AccountLimit Limit;
  double RateFactor;
  double Debt;
  TimePoint LastUpdate;
  std::uint64_t Grants = 0;
  DebtHistory History;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TOKEN_BUCKET_HPP
