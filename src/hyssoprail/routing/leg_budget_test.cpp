#include "hyssoprail/routing/leg_budget.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

/// The legs of a generation with a budget of \p RetryCount retries.
struct LegBudgetFixture {
  explicit LegBudgetFixture(double RetryCount)
      : Retries({.Ratio = 0, .Slack = RetryCount / 0.8 + 0.01}) {}

  bool prefill() { return Budget.tryBegin(LegKind::Prefill, Now); }
  bool decode() { return Budget.tryBegin(LegKind::Decode, Now); }
  bool budgetLeft() { return Retries.available("s", Now); }

  RetryLimiter Retries;
  LegBudget Budget{Retries, "s"};
};

} // namespace

TEST_CASE("a prefill and a decode are not charged to the retry budget") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  CHECK(B.decode());
  CHECK_FALSE(B.decode());
}

// Guards against exceeding the budget when addresses have been reassigned to
// other endpoints: the decode after a refused prefill is the second leg that
// reaches an endpoint.
TEST_CASE("a refused prefill counts as a leg that arrived") {
  LegBudgetFixture B(1);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.decode());
  CHECK_FALSE(B.budgetLeft());
}

TEST_CASE("two refused prefills and a decode are charged as two retries") {
  LegBudgetFixture B(2);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.decode());
  CHECK_FALSE(B.budgetLeft());
}

// Guards against a prefill whose KV cache cannot be used, because the budget
// does not allow the decode.
TEST_CASE("no prefill begins without budget for its decode") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK_FALSE(B.prefill());
}

// Guards against a repeated prefill whose decode the budget does not allow:
// without budget, a prefill that an engine broke off is not sent to another
// engine.
TEST_CASE("a repeated prefill needs budget for its decode") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  CHECK_FALSE(B.prefill());
  CHECK(B.decode());
}

TEST_CASE("a leg that reached no endpoint is refunded") {
  LegBudgetFixture B(1);
  CHECK(B.prefill());
  B.Budget.notSent(Now);
  CHECK(B.prefill());
  CHECK(B.decode());
  B.Budget.notSent(Now);
  CHECK(B.decode());
  CHECK(B.decode());
  CHECK_FALSE(B.decode());
}

} // namespace hyssoprail::routing
