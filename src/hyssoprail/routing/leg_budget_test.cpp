#include "hyssoprail/routing/leg_budget.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

/// A generation with a budget of \p Sends further sends.
struct LegBudgetFixture {
  explicit LegBudgetFixture(double Sends)
      : Retries({.Ratio = 0, .Slack = Sends / 0.8 + 0.01}) {}

  bool prefill() { return Budget.tryBegin(LegKind::Prefill, Now); }
  bool decode() { return Budget.tryBegin(LegKind::Decode, Now); }
  bool budgetLeft() { return Retries.available("s", Now); }

  RetryLimiter Retries;
  LegBudget Budget{Retries, "s"};
};

} // namespace

TEST_CASE("a prefill and a decode draw nothing on the retry budget") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  CHECK(B.decode());
  CHECK_FALSE(B.decode());
}

// Guards against a budget that is exceeded when addresses have changed owners:
// the decode after a refused prefill is a second arrival.
TEST_CASE("a refused prefill counts as an arrival") {
  LegBudgetFixture B(1);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.decode());
  CHECK_FALSE(B.budgetLeft());
}

TEST_CASE("two refused prefills and a decode are two further arrivals") {
  LegBudgetFixture B(2);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK(B.decode());
  CHECK_FALSE(B.budgetLeft());
}

// Guards against a prompt that is read although the send which needs it cannot
// follow.
TEST_CASE("no prefill begins without budget for its decode") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  B.Budget.notAccepted(Now);
  CHECK_FALSE(B.prefill());
}

// Guards against a decode that cannot follow: without budget, an engine that
// broke off the prefill is not replaced by another one.
TEST_CASE("a repeated prefill needs budget for its decode") {
  LegBudgetFixture B(0);
  CHECK(B.prefill());
  CHECK_FALSE(B.prefill());
  CHECK(B.decode());
}

TEST_CASE("a send that reached nobody is given back") {
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
