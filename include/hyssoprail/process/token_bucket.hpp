#ifndef HYSSOPRAIL_PROCESS_TOKEN_BUCKET_HPP
#define HYSSOPRAIL_PROCESS_TOKEN_BUCKET_HPP

#include <cstdint>
#include <optional>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/account_limits.hpp"
#include "hyssoprail/process/debt_history.hpp"

namespace hyssoprail {

/// Token bucket of one account. It stores the debt, which is the burst minus
/// the available tokens: a grant raises the debt, it falls at the account's
/// rate down to 0, and it may not exceed the burst. The debt equals the maximum
/// of (tokens granted - rate x length) over all windows that end now. Limiting
/// it to the burst therefore enforces the bound of burst + rate x length in
/// every window, also when rate or burst change.
class TokenBucket {
public:
  /// Starts at \p Start with \p Debt. \p RateFactor scales the rate down so
  /// that a fast local clock does not refill too much.
  TokenBucket(AccountLimit Limit, double Debt, double RateFactor,
              TimePoint Start);

  /// Applies a new rate and burst from \p Now on. The debt does not change.
  void setLimit(AccountLimit NewLimit, TimePoint Now);

  /// Grants \p Tokens and returns the number of the grant, or nullopt if the
  /// debt would exceed the burst.
  std::optional<std::uint64_t> take(double Tokens, TimePoint Now);

  /// Takes back the unused \p Tokens of \p Grant. Returns how many of them were
  /// credited; see DebtHistory.
  double returnUnused(std::uint64_t Grant, double Tokens, TimePoint Now);

  /// Time until \p Tokens can be granted, at most one hour; nullopt if never.
  std::optional<Duration> timeUntilAvailable(double Tokens,
                                             TimePoint Now) const;

  /// Debt at \p Now. Burst minus debt can be granted.
  double debt(TimePoint Now) const;

  /// Tokens refilled per second of the local clock.
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
