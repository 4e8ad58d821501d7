// Simulations of one account that asks a large fleet for more than its quota.
#include <algorithm>

#include <catch2/catch.hpp>

#include "hyssoprail/gateway/limit_fleet.hpp"

namespace hyssoprail::gateway {
namespace {

using testing::LimitFleet;
using testing::TokenGrant;

constexpr std::size_t EntryCount = 68;
constexpr double Rate = 175'885;
constexpr double Burst = 175'885;
constexpr double RequestTokens = 5'700;
constexpr std::chrono::seconds Window{8};

/// What the platform accepts in one window.
constexpr double Overage = 0.1;
constexpr double SlackTokens = 140'000;
constexpr double Allowed = (Rate * 8 + Burst) * (1 + Overage) + SlackTokens;

LimitFleet fleet() { return LimitFleet(EntryCount, {}); }

/// Starts the account with a load within its quota.
void start(LimitFleet &F) {
  F.Config.Accounts["acme"] = {"acme", std::nullopt, Rate, Burst, 1};
  F.run(milliseconds(2'000), 0);
  F.Load = {"acme", 0.6 * Rate / RequestTokens, RequestTokens, 3};
  F.run(milliseconds(4'000), 0);
}

void ask(LimitFleet &F, double TokensPerSecond, milliseconds Span) {
  F.Load.RequestsPerSecond = TokensPerSecond / RequestTokens;
  F.run(Span, 0);
}

double mostInWindow(const std::vector<TokenGrant> &Grants) {
  double Sum = 0;
  double Most = 0;
  auto First = Grants.begin();
  for (const TokenGrant &G : Grants) {
    for (Sum += G.Tokens; First->At + Window < G.At; ++First)
      Sum -= First->Tokens;
    Most = std::max(Most, Sum);
  }
  return Most;
}

double grantedSince(const LimitFleet &F, TimePoint Since) {
  double Sum = 0;
  for (const TokenGrant &G : F.Grants)
    Sum += G.At >= Since ? G.Tokens : 0;
  return Sum;
}

} // namespace

// Guards against entries that all spend the same free quota before they hear of
// each other's grants. Refused callers come back when they were told to, which
// is the moment when the debt has fallen below the burst at all entries.
TEST_CASE("a large fleet keeps the quota of an account with returning callers",
          "[quota_fleet]") {
  for (const double Demand : {2.0, 3.0, 5.0}) {
    LimitFleet F = fleet();
    start(F);
    const TimePoint Since = F.now();
    ask(F, Demand * Rate, milliseconds(16'000));
    CAPTURE(Demand, mostInWindow(F.Grants), Allowed);
    CHECK(mostInWindow(F.Grants) <= Allowed);
    CHECK(grantedSince(F, Since) >= Rate * 16);
  }
}

// Guards against parts of a fleet that together grant more than the quota while
// they are cut off from each other, and when they meet again.
TEST_CASE("a parted large fleet keeps the quota of an account",
          "[quota_fleet]") {
  constexpr std::size_t CutOff = 24;
  LimitFleet F = fleet();
  start(F);
  ask(F, 0.6 * Rate, milliseconds(1'000));
  const std::set<std::string> Part(F.Names.begin(), F.Names.begin() + CutOff);
  F.Network.cut([&](const std::string &A, const std::string &B) {
    return Part.contains(A) != Part.contains(B);
  });
  ask(F, 0.6 * Rate, milliseconds(3'700));
  ask(F, 3 * Rate, milliseconds(8'300));
  double OfPart = 0;
  double OfRest = 0;
  for (const TokenGrant &G : F.Grants)
    if (G.At > F.now() - Window)
      (Part.contains(G.EntryName) ? OfPart : OfRest) += G.Tokens;
  constexpr double PartShare = double(CutOff) / EntryCount;
  CAPTURE(OfPart, OfRest);
  CHECK(OfPart == Approx(Rate * 8 * PartShare).epsilon(0.1));
  CHECK(OfRest == Approx(Rate * 8 * (1 - PartShare)).epsilon(0.1));
  F.Network.cut(nullptr);
  ask(F, 3 * Rate, milliseconds(3'000));
  CAPTURE(mostInWindow(F.Grants), Allowed);
  CHECK(mostInWindow(F.Grants) <= Allowed);
}

// Guards against a bound of single entries that serves less than the quota when
// few of them receive the requests.
TEST_CASE("a few entries grant the whole quota of an account",
          "[quota_fleet]") {
  for (const std::size_t Loaded : {1, 5, 20}) {
    LimitFleet F = fleet();
    start(F);
    const TimePoint Since = F.now();
    F.Load.Entries = Loaded;
    ask(F, 3 * Rate, milliseconds(8'000));
    CAPTURE(Loaded, mostInWindow(F.Grants));
    CHECK(mostInWindow(F.Grants) <= Allowed);
    CHECK(grantedSince(F, Since) >= 0.95 * Rate * 8);
  }
}

// Guards against refusals to an account within its quota whose requests come in
// clumps of up to three quarters of the burst.
TEST_CASE("a large fleet serves clumps within the quota of an account",
          "[quota_fleet]") {
  constexpr milliseconds Clump{100};
  constexpr milliseconds Pause{700};
  for (const double Size : {0.4, 0.6, 0.75}) {
    LimitFleet F = fleet();
    start(F);
    F.Load.Returns = 0;
    const TimePoint Since = F.now();
    for (int I = 0; I < 10; ++I) {
      ask(F, 10 * Size * Burst, Clump);
      ask(F, 0, Pause);
    }
    CAPTURE(Size);
    CHECK(grantedSince(F, Since) >= 10 * Size * Burst - RequestTokens);
  }
}

} // namespace hyssoprail::gateway
