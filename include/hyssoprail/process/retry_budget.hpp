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

struct RetryBudgetOptions {
  double PerFirstAttempt = 0.1; ///< retry tokens added by a first attempt
  double Cap = 10;              ///< maximum of retry tokens per account or pool
  milliseconds BackoffBase{20}; ///< upper bound of the first backoff
  milliseconds BackoffCap{2'000};
};

/// Retry budget per account and per pool. Each first attempt adds
/// PerFirstAttempt tokens to both budgets. A retry takes one token from both or
/// is not made, so with the default options retries stay within a tenth of the
/// first attempts plus the cap. A new account or pool starts with a full
/// budget, because otherwise no request could be retried at low traffic.
///
/// Thread-safe: the budgets are sharded, with one lock per shard.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {});

  /// Counts the first attempt of a request.
  void firstAttempt(std::string_view Account, std::string_view Pool);

  /// Takes the tokens for one retry. Returns false and takes nothing if either
  /// budget is exhausted.
  bool takeRetry(std::string_view Account, std::string_view Pool);

  /// Returns the wait before retry number \p Retry (1 for the first), with full
  /// jitter: uniform in [0, min(BackoffCap, BackoffBase x 2^(Retry - 1))).
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
