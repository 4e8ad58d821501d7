#include "hyssoprail/process/retry_budget.hpp"

#include <algorithm>
#include <cmath>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

/// One token with a tolerance for rounding: ten first attempts at 0.1 tokens
/// must pay for one retry, but 0.1 has no exact binary representation.
constexpr double OneToken = 1.0 - 1e-9;

/// 2^30 times any base exceeds every sensible cap, and the exponent stays in
/// range.
constexpr unsigned MaxDoublings = 30;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions Options) : Options(Options) {}

RetryBudget::Shard &RetryBudget::Budgets::shard(std::string_view Name) {
  return Shards[stableHash(Name) % ShardCount];
}

void RetryBudget::Budgets::add(std::string_view Name, double Amount,
                               double Cap) {
  Shard &S = shard(Name);
  std::lock_guard Lock(S.Mutex);
  const auto It = S.Tokens.find(Name);
  if (It == S.Tokens.end())
    S.Tokens.emplace(Name, Cap);
  else
    It->second = std::min(Cap, It->second + Amount);
}

bool RetryBudget::Budgets::take(std::string_view Name, double Cap) {
  Shard &S = shard(Name);
  std::lock_guard Lock(S.Mutex);
  auto It = S.Tokens.find(Name);
  if (It == S.Tokens.end())
    It = S.Tokens.emplace(Name, Cap).first;
  if (It->second < OneToken)
    return false;
  It->second = std::max(0.0, It->second - 1.0);
  return true;
}

void RetryBudget::firstAttempt(std::string_view Account,
                               std::string_view Pool) {
  Accounts.add(Account, Options.PerFirstAttempt, Options.Cap);
  Pools.add(Pool, Options.PerFirstAttempt, Options.Cap);
}

bool RetryBudget::takeRetry(std::string_view Account, std::string_view Pool) {
  if (!Accounts.take(Account, Options.Cap))
    return false;
  if (Pools.take(Pool, Options.Cap))
    return true;
  Accounts.add(Account, 1.0, Options.Cap);
  return false;
}

Duration RetryBudget::backoff(unsigned Retry, RandomSource &Random) const {
  const unsigned Doublings = std::min(Retry == 0 ? 0 : Retry - 1, MaxDoublings);
  const double MaxWaitMs =
      std::min(std::ldexp(static_cast<double>(Options.BackoffBase.count()),
                          static_cast<int>(Doublings)),
               static_cast<double>(Options.BackoffCap.count()));
  const std::chrono::duration<double, std::milli> Wait(MaxWaitMs *
                                                       Random.unit());
  return std::chrono::duration_cast<Duration>(Wait);
}

} // namespace hyssoprail
