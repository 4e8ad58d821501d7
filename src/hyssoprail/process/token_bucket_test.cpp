#include "hyssoprail/process/token_bucket.hpp"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/process/limit_audit.hpp"
#include "hyssoprail/process/window_check.hpp"

namespace hyssoprail {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

/// Reference for LimitAudit: adds up the window between every pair of grants.
bool boundHoldsInEveryWindow(
    const std::vector<std::pair<TimePoint, double>> &Grants,
    AccountLimit Limit) {
  for (std::size_t I = 0; I < Grants.size(); ++I) {
    double Sum = 0;
    for (std::size_t J = I; J < Grants.size(); ++J) {
      Sum += Grants[J].second;
      const std::chrono::duration<double> Length =
          Grants[J].first - Grants[I].first;
      if (Sum > Limit.Burst + Limit.Rate * Length.count() + 1e-2)
        return false;
    }
  }
  return true;
}

} // namespace

// Guards against an audit that misses a violation or reports a false one.
TEST_CASE("the audit agrees with the sum over every pair of grants") {
  const bool Passed = rc::check("audit equals reference", [] {
    const AccountLimit Limit{.Rate = 100, .Burst = 50};
    LimitAudit Audit;
    Audit.setLimit("a", Start, Limit);
    std::vector<std::pair<TimePoint, double>> Grants;
    TimePoint At = Start;
    const int Count = *rc::gen::inRange(1, 20);
    for (int I = 0; I < Count; ++I) {
      At += milliseconds(*rc::gen::inRange(0, 300));
      const double Tokens = *rc::gen::inRange(1, 40);
      Grants.emplace_back(At, Tokens);
      Audit.granted("a", std::to_string(I), Tokens, At);
    }
    RC_ASSERT(boundHoldsInEveryWindow(Grants, Limit) ==
              !Audit.firstViolation().has_value());
  });
  CHECK(Passed);
}

// Guards against an audit that still allows the old burst after a limit was
// lowered.
TEST_CASE("the audit applies a changed limit to later windows") {
  LimitAudit Audit;
  Audit.setLimit("a", Start, {.Rate = 0, .Burst = 100});
  Audit.granted("a", "1", 60, Start);
  Audit.setLimit("a", Start + milliseconds(10), {.Rate = 0, .Burst = 50});
  Audit.granted("a", "2", 40, Start + milliseconds(20));
  CHECK_FALSE(Audit.firstViolation());
  Audit.granted("a", "3", 20, Start + milliseconds(30));
  CHECK(Audit.firstViolation());
  Audit.credited("a", "3", 20);
  CHECK_FALSE(Audit.firstViolation());
}

// Guards against a false violation when a limit is lowered after a grant but at
// the same instant.
TEST_CASE("the audit allows the larger burst at the instant of a change") {
  LimitAudit Audit;
  Audit.setLimit("a", Start, {.Rate = 100, .Burst = 50});
  Audit.granted("a", "1", 11, Start);
  Audit.setLimit("a", Start, {.Rate = 300, .Burst = 10});
  CHECK_FALSE(Audit.firstViolation());
  Audit.granted("a", "2", 40, Start);
  CHECK(Audit.firstViolation());
}

// Guards against a refusal with a retry time of zero: an excess below the
// clock's resolution must not be rounded down to no wait.
TEST_CASE("the wait is positive even for an excess within rounding error") {
  TokenBucket Bucket({.Rate = 1e9, .Burst = 1}, 0, 1, Start);
  REQUIRE(Bucket.take(1, Start));
  const auto Wait = Bucket.timeUntilAvailable(1e-12, Start);
  REQUIRE(Wait);
  CHECK(*Wait > Duration::zero());
}

// Guards against a bucket that exceeds the bound under any order of debits,
// refunds and limit changes, for example by crediting a refund in full although
// the bucket was full in between.
TEST_CASE("a bucket keeps the bound with refunds and limit changes") {
  const bool Passed = rc::check("bucket keeps the bound", [] {
    const std::vector<AccountLimit> Limits{{.Rate = 100, .Burst = 50},
                                           {.Rate = 20, .Burst = 200},
                                           {.Rate = 300, .Burst = 10},
                                           {.Rate = 0, .Burst = 100}};
    TimePoint Now = Start;
    LimitAudit Audit;
    Audit.setLimit("a", Now, Limits[0]);
    TokenBucket Bucket(Limits[0], 0, 1, Now);
    WindowCheck Check(0, Now);
    Check.setRate(Bucket.refillRate(), Now);
    std::vector<std::pair<std::uint64_t, double>> OpenGrants;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int I = 0; I < Steps; ++I) {
      Now += milliseconds(*rc::gen::inRange(0, 200));
      const int Kind = *rc::gen::inRange(0, 20);
      if (Kind == 0) {
        const AccountLimit NewLimit = *rc::gen::elementOf(Limits);
        Bucket.setLimit(NewLimit, Now);
        Check.setRate(Bucket.refillRate(), Now);
        Audit.setLimit("a", Now, NewLimit);
      } else if (Kind < 8 && !OpenGrants.empty()) {
        const auto Index = *rc::gen::inRange<std::size_t>(0, OpenGrants.size());
        const auto [Grant, Tokens] = OpenGrants[Index];
        OpenGrants.erase(OpenGrants.begin() +
                         static_cast<std::ptrdiff_t>(Index));
        const double Unused = Tokens * *rc::gen::inRange(0, 5) / 4;
        const double Credit = Bucket.returnUnused(Grant, Unused, Now);
        RC_ASSERT(Credit <= Unused);
        Check.credited(Grant, Credit);
        Audit.credited("a", std::to_string(Grant), Credit);
      } else {
        const double Tokens = *rc::gen::inRange(1, 60);
        const auto Grant = Bucket.take(Tokens, Now);
        if (!Grant) {
          const auto Wait = Bucket.timeUntilAvailable(Tokens, Now);
          RC_ASSERT(!Wait || *Wait > Duration::zero());
          continue;
        }
        RC_ASSERT(Check.granted(*Grant, Tokens, Bucket.limit().Burst, Now));
        Audit.granted("a", std::to_string(*Grant), Tokens, Now);
        OpenGrants.emplace_back(*Grant, Tokens);
      }
    }
    const auto Violation = Audit.firstViolation();
    RC_LOG() << (Violation ? Violation->describe() : "");
    RC_ASSERT(!Violation.has_value());
  });
  CHECK(Passed);
}

// Guards against a refund that is not credited although the bound allows it.
TEST_CASE(
    "a refund is credited in full if the bucket was not full since the grant") {
  TokenBucket Bucket({.Rate = 100, .Burst = 1'000}, 0, 1, Start);
  const auto First = Bucket.take(500, Start);
  const auto Second = Bucket.take(400, Start);
  REQUIRE(First);
  REQUIRE(Second);
  const TimePoint Later = Start + std::chrono::seconds(1);
  CHECK(Bucket.returnUnused(*Second, 300, Later) == Approx(300));
  CHECK(Bucket.returnUnused(*First, 400, Later) == Approx(400));
  CHECK(Bucket.debt(Later) == Approx(100));
}

// Guards against tokens that can be used twice: once refilled by the rate and
// once returned by the refund.
TEST_CASE("a refund credits nothing once the bucket was full") {
  TokenBucket Bucket({.Rate = 100, .Burst = 100}, 0, 1, Start);
  const auto Grant = Bucket.take(100, Start);
  REQUIRE(Grant);
  const TimePoint Full = Start + std::chrono::seconds(2);
  REQUIRE(Bucket.take(100, Full));
  CHECK(Bucket.returnUnused(*Grant, 100, Full) == 0);
}

// Guards against a run-time check that never reports a violation.
TEST_CASE("the window check reports a grant over the bound") {
  WindowCheck Check(0, Start);
  Check.setRate(100, Start);
  CHECK(Check.granted(1, 50, 50, Start));
  CHECK(Check.granted(2, 10, 50, Start + milliseconds(100)));
  CHECK_FALSE(Check.granted(3, 1, 50, Start + milliseconds(100)));
}

// Guards against a reported wait after which the debit is refused again.
TEST_CASE("the reported wait is long enough and not much longer") {
  TokenBucket Bucket({.Rate = 100, .Burst = 100}, 0, 1, Start);
  REQUIRE(Bucket.take(100, Start));
  const auto Wait = Bucket.timeUntilAvailable(50, Start);
  REQUIRE(Wait);
  CHECK(*Wait <= milliseconds(501));
  CHECK(Bucket.take(50, Start + *Wait + std::chrono::microseconds(1)));
  CHECK_FALSE(Bucket.timeUntilAvailable(101, Start).has_value());
}

} // namespace hyssoprail
