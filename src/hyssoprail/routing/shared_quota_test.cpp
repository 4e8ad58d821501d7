#include "hyssoprail/routing/shared_quota.hpp"

#include <cmath>
#include <limits>
#include <vector>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Start;
using testing::testConfig;

constexpr double Rate = 1'000;
constexpr double Burst = 1'000;

} // namespace

// Reproduces an account that sends ten times its quota through one entry: no
// window may be granted more than rate x length + burst.
TEST_CASE("an overloading account gets its quota and no more") {
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

// Reproduces the same account at two entries that report to each other every
// 100 ms.
TEST_CASE("two entries that report to each other share one quota") {
  SharedQuota A({});
  SharedQuota B({});
  A.configure(*testConfig(), Start);
  B.configure(*testConfig(), Start);
  A.recordPeerTotals("b", 1, {{"acme", 0}}, Start);
  B.recordPeerTotals("a", 1, {{"acme", 0}}, Start);
  double Granted = 0;
  constexpr int Seconds = 8;
  constexpr double ReportLagTokens = 1'000; // granted between two reports
  for (int Ms = 0; Ms < Seconds * 1'000; Ms += 10) {
    const TimePoint Now = Start + milliseconds(Ms);
    for (SharedQuota *Q : {&A, &B})
      if (Q->take("acme", 50, Now).Granted)
        Granted += 50;
    if (Ms % 100 != 0)
      continue;
    A.recordPeerTotals("b", 1, {{"acme", B.grantedTotals()["acme"]}}, Now);
    B.recordPeerTotals("a", 1, {{"acme", A.grantedTotals()["acme"]}}, Now);
  }
  REQUIRE(Granted <= Burst + Rate * Seconds + ReportLagTokens);
}

// Guards against entries that each use the whole rate during a network
// partition.
TEST_CASE("with reports of half of the entries, refills run at half the rate") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.setReportingShare(0.5, Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  REQUIRE_FALSE(
      Quota.take("acme", 900, Start + std::chrono::seconds(1)).Granted);
  REQUIRE(Quota.take("acme", 400, Start + std::chrono::seconds(1)).Granted);
}

// Guards against a parted fleet in which each part grants the whole unused
// burst of an account.
TEST_CASE("parts of a fleet share the unused burst of an account") {
  constexpr std::size_t Parts = 15;
  constexpr double RequestTokens = 20;
  constexpr int Seconds = 8;
  std::vector<SharedQuota> Quotas(Parts, SharedQuota({}));
  TimePoint Now = Start;
  const auto Advance = [&](double Share) {
    Now += milliseconds(50);
    for (SharedQuota &Q : Quotas)
      Q.setReportingShare(Share, Now);
  };
  for (SharedQuota &Q : Quotas)
    Q.configure(*testConfig(), Start);
  for (int I = 0; I < 60; ++I)
    Advance(1.0 / Parts);
  double Granted = 0;
  for (int I = 0; I < Seconds * 20; ++I) {
    for (SharedQuota &Q : Quotas)
      if (Q.take("acme", RequestTokens, Now).Granted)
        Granted += RequestTokens;
    Advance(1.0 / Parts);
  }
  CHECK(Granted <= Burst + Rate * Seconds);
  CHECK(Granted >= Rate * Seconds * 0.8);
}

// Guards against bursts that stay reduced after the parts of a fleet have met
// again, and against a change of the coordinator that reduces them.
TEST_CASE("the unused burst is whole again when all reports arrive") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.setReportingShare(1, Start);
  Quota.setReportingShare(0.2, Start + milliseconds(500));
  REQUIRE(Quota.take("acme", 900, Start + milliseconds(500)).Granted);
  Quota.refund("acme", 900, Start + milliseconds(500));
  const TimePoint Later = Start + std::chrono::seconds(3);
  Quota.setReportingShare(0.2, Later);
  REQUIRE_FALSE(Quota.take("acme", 900, Later).Granted);
  Quota.setReportingShare(1, Later);
  REQUIRE(Quota.take("acme", 900, Later).Granted);
}

// Guards against charging quota for requests that never ran.
TEST_CASE("tokens of a request that did not run are refunded") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  Quota.refund("acme", 1'000, Start);
  REQUIRE(Quota.grantedTotals()["acme"] == 0);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
}

// Guards against a RetryAfter at which the request is refused again.
TEST_CASE("a refusal tells when the tokens can be granted") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  const QuotaDecision D = Quota.take("acme", 500, Start);
  REQUIRE_FALSE(D.Granted);
  REQUIRE(Quota.take("acme", 500, Start + D.RetryAfter).Granted);
}

// Guards against a wait that is too long for its type: negative, it would grant
// an account with a tiny rate everything.
TEST_CASE("an account with a tiny rate gets no more than its burst") {
  auto Config = testConfig();
  Config->Accounts.at("acme").RatePerSecond = 1e-12;
  SharedQuota Quota({});
  Quota.configure(*Config, Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  const QuotaDecision D = Quota.take("acme", 100, Start);
  REQUIRE_FALSE(D.Granted);
  REQUIRE(D.RetryAfter == std::chrono::hours(1));
}

// Guards against granting the tolerance a second time after all entries were
// lost.
TEST_CASE("a new bucket starts with its tolerance used up") {
  SharedQuota Quota({.Share = 0, .Tokens = 5'000});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
  REQUIRE_FALSE(Quota.take("acme", 100, Start).Granted);
}

// Guards against treating the restart of a peer as a refund of its tokens.
TEST_CASE("the smaller total of a restarted peer is not a refund") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.recordPeerTotals("b", 1, {{"acme", 0}}, Start);
  Quota.recordPeerTotals("b", 1, {{"acme", 1'000}}, Start);
  Quota.recordPeerTotals("b", 2, {{"acme", 0}}, Start);
  REQUIRE_FALSE(Quota.take("acme", 100, Start).Granted);
}

// Guards against taking the first tokens that a peer grants to an account for
// tokens that it granted before this entry knew it.
TEST_CASE(
    "an account that a known peer reports for the first time is charged") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.recordPeerTotals("b", 1, {}, Start);
  Quota.recordPeerTotals("b", 1, {{"acme", 1'000}}, Start);
  REQUIRE_FALSE(Quota.take("acme", 100, Start).Granted);
}

// Guards against charging what a peer granted at some time before this entry
// started.
TEST_CASE("the totals of a peer's first report are not charged") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.recordPeerTotals("b", 1, {{"acme", 1'000}}, Start);
  REQUIRE(Quota.take("acme", 1'000, Start).Granted);
}

// Guards against a start of the fleet in which the tokens that each entry
// grants before there is a coordinator stay free.
TEST_CASE("the debt that a peer states first is charged") {
  SharedQuota A({});
  SharedQuota B({});
  for (SharedQuota *Q : {&A, &B}) {
    Q->configure(*testConfig(), Start);
    Q->setReportingShare(0.5, Start);
  }
  REQUIRE(B.take("acme", 1'000, Start).Granted);
  const TimePoint Later = Start + milliseconds(200);
  const double Debt = B.ownDebt("acme", Later);
  CHECK(Debt == Approx(900)); // refilled at half the rate
  REQUIRE(A.recordPeerTotals("b", 1, B.grantedTotals(), Later));
  CHECK(A.chargePeerDebt("acme", Debt, Later) == Debt);
  CHECK_FALSE(A.take("acme", 200, Later).Granted);
  CHECK(A.take("acme", 100, Later).Granted);
  CHECK_FALSE(A.recordPeerTotals("b", 1, B.grantedTotals(), Later));
}

// Guards against charging other parts of a fleet twice when they meet again:
// the debt of this part was scaled to include theirs.
TEST_CASE("the debts of other parts are not charged to a reduced burst") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.setReportingShare(0.5, Start);
  const TimePoint Later = Start + std::chrono::seconds(3);
  Quota.setReportingShare(0.5, Later);
  CHECK(Quota.chargePeerDebt("acme", 500, Later) == 0);
  CHECK(Quota.take("acme", 500, Later).Granted);
}

// Guards against an entry that starts with an unused burst while the account
// has used it at the others, and against charging a grant twice when an entry
// hears of it from a new coordinator.
TEST_CASE("a debt is raised to that of the coordinator") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  REQUIRE(Quota.take("acme", 300, Start).Granted);
  Quota.raiseDebt("acme", 800, Start);
  Quota.raiseDebt("acme", 800, Start);
  Quota.raiseDebt("acme", std::nan(""), Start);
  Quota.raiseDebt("acme", 100, Start);
  CHECK(Quota.fleetDebt("acme", Start) == 800);
  CHECK_FALSE(Quota.take("acme", 300, Start).Granted);
  CHECK(Quota.take("acme", 200, Start).Granted);
}

// Guards against entries that each grant all free tokens before they hear of
// each other, and against a RetryAfter at which such a refusal is repeated.
TEST_CASE("an entry keeps to its part while most of the burst is used") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  TimePoint Now = Start;
  double PeerTotal = 0;
  for (int I = 0; I < 5; ++I) {
    Quota.recordPeerTotals("b", 1, {{"acme", PeerTotal}}, Now);
    PeerTotal += 700;
    Now += milliseconds(700);
  }
  Quota.recordPeerTotals("b", 1, {{"acme", PeerTotal}}, Now);
  CHECK(Quota.take("acme", 100, Now).Granted);
  const QuotaDecision D = Quota.take("acme", 100, Now);
  CHECK_FALSE(D.Granted);
  CHECK(D.Debt + 100 < D.Burst);
  CHECK(Quota.take("acme", 100, Now + D.RetryAfter).Granted);
}

// Guards against a part of the burst that an entry keeps to although most of
// the burst is free.
TEST_CASE("an entry exceeds its part while most of the burst is free") {
  SharedQuota Quota({});
  Quota.configure(*testConfig(), Start);
  Quota.recordPeerTotals("b", 1, {}, Start);
  Quota.recordPeerTotals("b", 1, {{"acme", 1'000}}, Start);
  const TimePoint Later = Start + milliseconds(900);
  CHECK(Quota.take("acme", 100, Later).Granted);
  CHECK(Quota.take("acme", 100, Later).Granted);
}

// Guards against a malformed report that removes the limit of an account.
TEST_CASE("totals that are not finite numbers change nothing") {
  SharedQuota Quota{QuotaTolerance{}};
  Quota.configure(*testing::testConfig(), testing::Start);
  REQUIRE(Quota.take("acme", 1'000, testing::Start).Granted);
  for (const double Total : {0.0, std::nan(""), 0.0, HUGE_VAL, 0.0})
    Quota.recordPeerTotals("p", 1, {{"acme", Total}}, testing::Start);
  CHECK_FALSE(Quota.take("acme", 1'000, testing::Start).Granted);
  const TimePoint Later = testing::Start + milliseconds(1'100);
  CHECK(Quota.take("acme", 1'000, Later).Granted);
}

// Guards against numbers of a peer whose difference or sum is infinite: the
// account got nothing any more, at any entry.
TEST_CASE("totals that overflow change nothing") {
  constexpr double Largest = std::numeric_limits<double>::max();
  SharedQuota Quota{QuotaTolerance{}};
  Quota.configure(*testing::testConfig(), testing::Start);
  for (const double Total : {0.0, -Largest, Largest, 0.0}) {
    Quota.recordPeerTotals("p", 1, {{"acme", Total}}, testing::Start);
    Quota.chargePeerDebt("acme", Total, testing::Start);
    Quota.raiseDebt("acme", Total, testing::Start);
  }
  const TimePoint Later = testing::Start + milliseconds(1'100);
  CHECK(Quota.take("acme", 1'000, Later).Granted);
  CHECK(std::isfinite(Quota.fleetDebt("acme", Later)));
}

} // namespace hyssoprail::routing
