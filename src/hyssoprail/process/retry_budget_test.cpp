#include "hyssoprail/process/retry_budget.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against retries that multiply the load of a failing pool.
TEST_CASE("retries stay within a tenth of the first attempts plus the cap") {
  RetryBudget Budget;
  int Retries = 0;
  for (int I = 0; I < 1'000; ++I) {
    Budget.firstAttempt("a", "p");
    for (int Try = 0; Try < 3; ++Try)
      Retries += Budget.takeRetry("a", "p") ? 1 : 0;
  }
  CHECK(Retries <= 110);
  CHECK(Retries >= 109);
}

// Guards against an account that loses a token for a retry that its pool
// denies.
TEST_CASE("a retry takes from account and pool, or from neither") {
  RetryBudget Budget({.Cap = 2});
  CHECK(Budget.takeRetry("a", "full"));
  CHECK(Budget.takeRetry("b", "full"));
  CHECK_FALSE(Budget.takeRetry("a", "full"));
  CHECK(Budget.takeRetry("a", "other"));
  CHECK_FALSE(Budget.takeRetry("a", "other"));
}

// Guards against synchronised retries and against overflow of the exponent.
TEST_CASE("backoff grows with full jitter up to a cap") {
  const RetryBudget Budget(
      {.BackoffBase = milliseconds(20), .BackoffCap = milliseconds(100)});
  RandomSource Random(1);
  Duration Longest{0};
  Duration Shortest = milliseconds(100);
  for (int I = 0; I < 1'000; ++I) {
    CHECK(Budget.backoff(1, Random) <= milliseconds(20));
    const Duration Capped = Budget.backoff(4'000'000'000U, Random);
    Longest = std::max(Longest, Capped);
    Shortest = std::min(Shortest, Capped);
  }
  CHECK(Longest <= milliseconds(100));
  CHECK(Longest > milliseconds(95));
  CHECK(Shortest < milliseconds(5));
}

} // namespace hyssoprail
