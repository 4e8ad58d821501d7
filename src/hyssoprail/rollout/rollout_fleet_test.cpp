// Rollouts over whole fleets, without a network.
#include <catch2/catch.hpp>

#include "rollout_fleet.hpp"

namespace hyssoprail::rollout {
namespace {

constexpr unsigned Seeds = 20;

RolloutFleet::Answer sound(Duration, int, std::mt19937 &Random) {
  constexpr double ErrorShare = 0.02;
  std::lognormal_distribution<double> Millis(3.6, 0.4);
  return {std::bernoulli_distribution(ErrorShare)(Random),
          milliseconds(static_cast<std::int64_t>(Millis(Random)))};
}

/// Fails part of its requests from \p From on, on route \p OnlyRoute or, if
/// that is negative, on all.
RolloutFleet::Version failing(double Share, Duration From = {},
                              int OnlyRoute = -1) {
  return [=](Duration Since, int Route, std::mt19937 &Random) {
    RolloutFleet::Answer A = sound(Since, Route, Random);
    if (Since >= From && (OnlyRoute < 0 || Route == OnlyRoute))
      A.Failed = A.Failed || std::bernoulli_distribution(Share)(Random);
    return A;
  };
}

RolloutFleet::Version slow(double Factor, Duration From = {}) {
  return [=](Duration Since, int Route, std::mt19937 &Random) {
    RolloutFleet::Answer A = sound(Since, Route, Random);
    if (Since >= From)
      A.Latency = std::chrono::duration_cast<Duration>(A.Latency * Factor);
    return A;
  };
}

RolloutFleet::Options options(std::size_t Entries, unsigned Seed,
                              RolloutFleet::Version Target) {
  RolloutFleet::Options O;
  O.Entries = Entries;
  O.Seed = Seed;
  O.Old = sound;
  O.Target = std::move(Target);
  return O;
}

void checkExposure(const RolloutFleet &Fleet) {
  CHECK(Fleet.targetRequests() <= 0.1 * Fleet.requests() + 50);
  CHECK(Fleet.lateTargetRequests() == 0);
}

void checkRolledBack(std::size_t Entries, const RolloutFleet::Version &Bad) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Entries, Seed);
    RolloutFleet Fleet(options(Entries, Seed, Bad));
    Fleet.run();
    CHECK(Fleet.stored() == RolloutState::RolledBack);
    checkExposure(Fleet);
  }
}

} // namespace

// Guards against a sound version that is not completed before its deadline, or
// is rolled back by chance.
TEST_CASE("sound versions are completed") {
  for (const std::size_t Entries : {3, 23, 300})
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Entries, Seed);
      RolloutFleet Fleet(options(Entries, Seed, sound));
      Fleet.run();
      CHECK(Fleet.stored() == RolloutState::Completed);
    }
}

// Guards against bad versions that are completed, or get more requests than the
// bound allows.
TEST_CASE("versions that fail at once are rolled back") {
  for (const std::size_t Entries : {3, 23, 300})
    checkRolledBack(Entries, failing(0.4));
}

TEST_CASE("versions that fail later are rolled back") {
  for (const std::size_t Entries : {3, 23, 300})
    checkRolledBack(Entries, failing(0.6, milliseconds(5'000)));
}

TEST_CASE("versions that fail on one route are rolled back") {
  for (const std::size_t Entries : {3, 23, 300})
    checkRolledBack(Entries, failing(0.6, {}, 1));
}

TEST_CASE("versions that are several times slower are rolled back") {
  for (const std::size_t Entries : {3, 23, 300})
    checkRolledBack(Entries, slow(5));
}

// Guards against an exposure that grows when a version turns bad after the
// canary: in the shift and until the deadline the bound holds as well.
TEST_CASE("the exposure is bounded whenever a version turns bad") {
  for (const int From : {7'000, 9'000, 10'500, 11'500})
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(From, Seed);
      RolloutFleet Fleet(options(23, Seed, failing(0.8, milliseconds(From))));
      Fleet.run();
      checkExposure(Fleet);
    }
}

// Guards against allowances that a new coordinator lends once more, as those of
// its predecessor are still in use.
TEST_CASE("the exposure is bounded if the coordinator changes") {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RolloutFleet Fleet(options(23, Seed, failing(0.05)));
    for (int I = 0; I < 10; ++I) {
      Fleet.runFor(milliseconds(1'000));
      Fleet.replaceCoordinator();
      Fleet.restartEntry(static_cast<std::size_t>(I));
    }
    Fleet.run();
    if (Fleet.stored() != RolloutState::Completed)
      checkExposure(Fleet);
  }
}

// Guards against entries that go on to the target while nobody coordinates.
TEST_CASE("without a coordinator the target gets what was lent") {
  RolloutFleet Fleet(options(23, 1, failing(0.8)));
  Fleet.IsCoordinated = false;
  Fleet.run();
  CHECK(Fleet.targetRequests() == 0);
  RolloutFleet Parted(options(23, 1, sound));
  Parted.runFor(milliseconds(2'000));
  Parted.IsCoordinated = false;
  Parted.run();
  CHECK(Parted.targetRequests() <= 0.1 * Parted.requests() + 50);
}

// Guards against a rollback that waits for the store: the traffic must stop at
// once, and the state be written when the store answers again.
TEST_CASE("a rollback does not wait for the store") {
  RolloutFleet Fleet(options(3, 1, failing(0.8)));
  Fleet.StoreAnswers = false;
  Fleet.run();
  CHECK_FALSE(Fleet.stored());
  checkExposure(Fleet);
  Fleet.StoreAnswers = true;
  Fleet.runFor(milliseconds(200));
  CHECK(Fleet.stored() == RolloutState::RolledBack);
}

// Guards against a completion that only the coordinator knows: the old
// endpoints stop when the store has it.
TEST_CASE("a completion waits for the store") {
  RolloutFleet Fleet(options(3, 1, sound));
  Fleet.StoreAnswers = false;
  Fleet.run();
  const double Before = Fleet.targetRequests();
  CHECK(Before <= 0.1 * Fleet.requests() + 50);
  Fleet.StoreAnswers = true;
  Fleet.runFor(milliseconds(200));
  CHECK(Fleet.stored() == RolloutState::Completed);
}

// Guards against a version that is rolled back for lack of evidence.
TEST_CASE("a version with few requests is completed") {
  RolloutFleet::Options O = options(3, 1, sound);
  O.RequestsPerSecond = 1;
  RolloutFleet Fleet(O);
  Fleet.run();
  CHECK(Fleet.stored() == RolloutState::Completed);
}

} // namespace hyssoprail::rollout
