#include "hyssoprail/process/owner_limits.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/process/limit_fleet_model.hpp"

namespace hyssoprail {
namespace {

using std::chrono::seconds;

/// Fleet with the account "a" whose entries have joined and own the shards.
struct TestFleet {
  explicit TestFleet(std::size_t Entries, LimitFleetOptions Options = {})
      : Fleet(Options) {
    Fleet.setAccount("a", AccountLimit{.Rate = 1'000, .Burst = 1'000});
    for (std::size_t I = 0; I < Entries; ++I)
      Fleet.addEntry();
    run(seconds(3));
    Owner = Fleet.ownerEntry("a");
    Other = Owner == 0 ? 1 : 0;
  }

  void run(Duration Length) { Fleet.runUntil(Fleet.now() + Length); }

  /// Requests \p Tokens at entry \p Index and returns the outcome.
  LimitOutcome request(std::size_t Index, std::uint64_t Tokens) {
    const std::size_t OutcomeIndex = Fleet.outcomes().size();
    Fleet.request(Index, "a", Tokens, 0, seconds(1));
    run(milliseconds(700));
    return Fleet.outcomes()[OutcomeIndex];
  }

  LimitFleetModel Fleet;
  std::size_t Owner = 0;
  std::size_t Other = 0;
};

} // namespace

// Guards against entries that do not forward debits to the owner, and against
// each entry granting the burst on its own.
TEST_CASE("entries share one bucket through its owner") {
  TestFleet S(3);
  CHECK(S.request(S.Owner, 800).Granted);
  CHECK(S.request(S.Other, 1'000).Granted == false);
  CHECK(S.request(S.Other, 600).Granted);
  CHECK(S.Fleet.outcomes().back().Waited <= milliseconds(10));
  CHECK_FALSE(S.Fleet.audit().firstViolation());
}

// Guards against a successor with a fast clock that starts before the lease of
// a previous owner with a slow clock has ended: waiting 3 s + 2% is too short.
TEST_CASE(
    "the wait of a successor is longer than a lease on any pair of clocks") {
  const LimitOptions Options;
  const std::chrono::duration<double> Lease(Options.LeaseDuration);
  const std::chrono::duration<double> Wait(
      Options.driftSafeWait(Options.LeaseDuration));
  CHECK(Wait / (1 + Options.ClockDrift) > Lease / (1 - Options.ClockDrift));
}

// Guards against debits that are refused for ever after their owner has died.
TEST_CASE("another entry takes over from a dead owner") {
  TestFleet S(3);
  S.Fleet.kill(S.Owner);
  CHECK_FALSE(S.request(S.Other, 10).Granted);
  S.run(seconds(6));
  CHECK(S.request(S.Other, 10).Granted);
  CHECK(S.Fleet.ownerEntry("a") != S.Owner);
  CHECK_FALSE(S.Fleet.audit().firstViolation());
}

// Guards against refusals for the duration of a lease whenever an entry is
// replaced, and against a successor that grants the burst again.
TEST_CASE("an owner that leaves hands its buckets to its successor") {
  TestFleet S(3);
  S.Fleet.setAccount("a", AccountLimit{.Rate = 100, .Burst = 1'000});
  S.run(seconds(1));
  CHECK(S.request(S.Owner, 900).Granted);
  S.Fleet.setLeaving(S.Owner);
  S.run(milliseconds(800));
  CHECK(S.Fleet.ownerEntry("a") != S.Owner);
  CHECK_FALSE(S.request(S.Other, 400).Granted);
  CHECK(S.request(S.Other, 200).Granted);
  CHECK_FALSE(S.Fleet.audit().firstViolation());
}

// Guards against a hand-over by an owner that is still waiting for the lease of
// the previous owner to end.
TEST_CASE("an owner that leaves while waiting for a lease hands nothing over") {
  TestFleet S(3);
  const std::size_t First = S.Owner;
  S.Fleet.setLogLinkDown(First, true);
  for (std::size_t I = 0; I < 3; ++I)
    if (I != First)
      S.Fleet.setLinkDown(I, First, true);
  bool Left = false;
  for (int I = 0; I < 600; ++I) {
    S.run(milliseconds(10));
    for (std::size_t Entry = 0; Entry < 3; ++Entry)
      S.Fleet.request(Entry, "a", 20, 0, seconds(1));
    const std::size_t Second = S.Fleet.ownerEntry("a");
    if (Second != First && !Left) {
      S.Fleet.setLeaving(Second);
      Left = true;
    }
  }
  REQUIRE(Left);
  const auto Violation = S.Fleet.audit().firstViolation();
  INFO((Violation ? Violation->describe() : ""));
  CHECK_FALSE(Violation);
}

// Guards against an owner that grants although its lease has ended while it was
// paused.
TEST_CASE("an owner paused past its lease reads the log before it grants") {
  TestFleet S(1);
  S.Fleet.setLogLinkDown(0, true);
  S.Fleet.pause(0, seconds(130));
  S.run(seconds(130) - milliseconds(1));
  CHECK_FALSE(S.request(0, 10).Granted);
  S.Fleet.setLogLinkDown(0, false);
  S.run(seconds(1));
  CHECK(S.request(0, 10).Granted);
}

// Guards against refusals during a log outage while all entries are alive, and
// against granting for ever without the log.
TEST_CASE("promises extend the lease for two minutes of a log outage") {
  TestFleet S(3);
  S.Fleet.setLogDown(true);
  S.run(seconds(100));
  CHECK(S.request(S.Other, 10).Granted);
  CHECK(S.Fleet.status(S.Owner).ExtendedByPromises);
  S.run(seconds(30));
  CHECK_FALSE(S.request(S.Other, 10).Granted);
  S.Fleet.setLogDown(false);
  S.run(seconds(1));
  CHECK(S.request(S.Other, 10).Granted);
}

// Guards against an owner that extends its lease without the promise of an
// entry which may take over.
TEST_CASE("an owner without a member's promise stops when its lease ends") {
  TestFleet S(3);
  S.Fleet.setLogDown(true);
  S.Fleet.kill(S.Other);
  S.run(seconds(4));
  CHECK_FALSE(S.request(S.Owner, 10).Granted);
}

// Guards against a changed limit that is not applied, and against an account
// that is granted its burst again after it was removed and created again.
TEST_CASE("changed, removed and unknown accounts") {
  TestFleet S(2);
  CHECK_FALSE(S.request(S.Owner, 1'500).Granted);
  S.Fleet.setAccount("a", AccountLimit{.Rate = 1'000, .Burst = 2'000});
  S.run(seconds(1));
  CHECK(S.request(S.Other, 1'900).Granted);
  S.Fleet.setAccount("a", std::nullopt);
  S.run(seconds(1));
  CHECK_FALSE(S.request(S.Owner, 1).Granted);
  S.Fleet.setAccount("a", AccountLimit{.Rate = 1, .Burst = 2'000});
  S.run(seconds(1));
  CHECK_FALSE(S.request(S.Owner, 1'990).Granted);
  CHECK_FALSE(S.Fleet.audit().firstViolation());
}

// Guards against a baseline in which a debit depends on other entries.
TEST_CASE("fixed limits grant each entry its share") {
  LimitFleetOptions Options;
  Options.UseFixedLimits = true;
  TestFleet S(2, Options);
  CHECK(S.request(0, 500).Granted);
  CHECK(S.request(1, 500).Granted);
  CHECK_FALSE(S.request(0, 501).Granted);
  CHECK_FALSE(S.Fleet.audit().firstViolation());
}

} // namespace hyssoprail
