#ifndef HYSSOPRAIL_PROCESS_RETRY_BUDGET_HPP
#define HYSSOPRAIL_PROCESS_RETRY_BUDGET_HPP

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/random.hpp"

namespace hyssoprail {

/// Settings of RetryBudget.
struct RetryBudgetOptions {
  double PerFirstAttempt = 0.1; ///< retry tokens added by a first attempt
  double Cap = 10;              ///< most retry tokens an account or pool has
  milliseconds BackoffBase{20}; ///< longest wait before the first retry
  milliseconds BackoffCap{2'000};
};

/// Retry budget per account and per pool. Each first attempt adds to both; a
/// retry takes one token from both or is not made, so retries stay at a tenth
/// of the first attempts plus the cap. A new account or pool starts with a full
/// budget, as otherwise no request could be retried at low traffic.
///
/// Thread-safe: entries are kept in shards, each under its own lock.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {});

  /// Counts the first attempt of a request.
  void firstAttempt(std::string_view Account, std::string_view Pool);

  /// Takes a token for one retry. Returns false if either budget is used up;
  /// then nothing is taken.
  bool takeRetry(std::string_view Account, std::string_view Pool);

  /// Wait before retry number \p Retry (1 for the first): uniform between 0 and
  /// base x 2^(Retry - 1), capped.
  Duration backoff(unsigned Retry, RandomSource &Random) const;

private:
  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    std::mutex Mutex;
    std::map<std::string, double, std::less<>> Tokens;
  };

  class Budgets {
  public:
    void add(std::string_view Name, double Amount, double Cap);
    bool take(std::string_view Name, double Cap);

  private:
    Shard &shard(std::string_view Name);
    std::array<Shard, ShardCount> Shards;
  };

  const RetryBudgetOptions Options;
  Budgets Accounts;
  Budgets Pools;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_RETRY_BUDGET_HPP
