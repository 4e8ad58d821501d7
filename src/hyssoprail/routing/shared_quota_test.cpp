#include "hyssoprail/routing/shared_quota.hpp"

#include <cmath>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Start;
using testing::testConfig;

constexpr double Rate = 1'000;
constexpr double Burst = 1'000;

} // namespace

// Replays one account that sends ten times its quota through one entry: no
// window may get more than rate x length + burst.
TEST_CASE("a hot account gets its quota and no more") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  double Granted = 0;
  constexpr int Seconds = 8;
  for (int Ms = 0; Ms < Seconds * 1'000; Ms += 10)
    if (Quota.take("acme", 100, Start + milliseconds(Ms)).Granted)
      Granted += 100;
  REQUIRE(Granted <= Burst + Rate * Seconds);
  REQUIRE(Granted >= Rate * Seconds);
}

// Replays the same account at two entries that hear each other every 100 ms.
TEST_CASE("two entries that hear each other share one quota") {
  SharedQuota A({});
  SharedQuota B({});
  A.configure(*testConfig(), Start);
  B.configure(*testConfig(), Start);
  A.recordPeerTotal("b", 1, "acme", 0, Start);
  B.recordPeerTotal("a", 1, "acme", 0, Start);
  double Granted = 0;
  constexpr int Seconds = 8;
  constexpr double LateReports = 1'000; // granted between two reports
  for (int Ms = 0; Ms < Seconds * 1'000; Ms += 10) {
    const TimePoint Now = Start + milliseconds(Ms);
    for (SharedQuota *Q : {&A, &B})
      if (Q->take("acme", 50, Now).Granted)
        Granted += 50;
    if (Ms % 100 != 0)
      continue;
    A.recordPeerTotal("b", 1, "acme", B.grantedTotals()["acme"], Now);
    B.recordPeerTotal("a", 1, "acme", A.grantedTotals()["acme"], Now);
  }
  REQUIRE(Granted <= Burst + Rate * Seconds + LateReports);
}

// Guards against entries that each use the whole rate while they are parted.
TEST_CASE("an entry that hears half of the fleet refills at half the rate") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.setReportingShare(0.5, Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  REQUIRE_FALSE(
      Quota.take("acme", 900, Start + std::chrono::seconds(1)).Granted);
  REQUIRE(Quota.take("acme", 400, Start + std::chrono::seconds(1)).Granted);
}

// Guards against a loss of quota for requests that never ran.
TEST_CASE("tokens of a request that did not run are returned") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  Quota.refund("acme", 1'000, Start);
  REQUIRE(Quota.grantedTotals()["acme"] == 0);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
}

// Guards against a time to return at which the request is refused again.
TEST_CASE("a refusal names the time at which the tokens are there") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  const QuotaDecision D = Quota.take("acme", 500, Start);
  REQUIRE_FALSE(D.Granted);
  REQUIRE(Quota.take("acme", 500, Start + D.RetryAfter).Granted);
}

// Guards against a second tolerance after all entries were lost.
TEST_CASE("a new bucket begins with its tolerance used up") {
  SharedQuota Quota({.Share = 0, .Tokens = 5'000});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  REQUIRE_FALSE(Quota.take("acme", 100, Start).Granted);
}

// Guards against a restart of a peer that is read as tokens given back.
TEST_CASE("a restarted peer's smaller total is no refund") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.recordPeerTotal("b", 1, "acme", 0, Start);
  Quota.recordPeerTotal("b", 1, "acme", 1'000, Start);
  Quota.recordPeerTotal("b", 2, "acme", 0, Start);
  REQUIRE_FALSE(Quota.take("acme", 100, Start).Granted);
}

// Guards against a malformed report after which an account has no limit at all.
TEST_CASE("totals that are no numbers change nothing") {
  SharedQuota Quota{QuotaTolerance{}};
  Quota.configure(*testing::testConfig(), testing::Start);
  REQUIRE(Quota.take("acme", 1'000, testing::Start).Granted);
  for (const double Total : {0.0, std::nan(""), 0.0, HUGE_VAL, 0.0})
    Quota.recordPeerTotal("p", 1, "acme", Total, testing::Start);
  CHECK_FALSE(Quota.take("acme", 1'000, testing::Start).Granted);
  const TimePoint Later = testing::Start + milliseconds(1'100);
  CHECK(Quota.take("acme", 1'000, Later).Granted);
}

} // namespace hyssoprail::routing
