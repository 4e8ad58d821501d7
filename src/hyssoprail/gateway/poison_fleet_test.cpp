// Tests of a part of prompts that crashes engines, over whole fleets.
#include <catch2/catch.hpp>

#include "hyssoprail/gateway/poison_fleet.hpp"

namespace hyssoprail::gateway {
namespace {

using testing::PoisonFleet;
using testing::PoisonPlan;

constexpr milliseconds CalmTime{2'000};
constexpr milliseconds PoisonTime{14'000};

void checkPromises(const PoisonFleet &F) {
  CAPTURE(F.Crashes.size(), F.SoundSent, F.SoundRefused, F.LateSoundSent,
          F.LateSoundRefused);
  CHECK(F.Crashes.size() >= 3);
  CHECK(F.lateBad() <= PoisonFleet::MaxLate);
  CHECK(F.LateSoundSent > 0);
  CHECK(F.LateSoundRefused == 0);
}

void checkAllPositions(PoisonPlan Plan) {
  for (Plan.BadAt = 0; Plan.BadAt + 1 < Plan.Parts; ++Plan.BadAt)
    for (const bool SameOthers : {true, false}) {
      Plan.SameOthers = SameOthers;
      CAPTURE(Plan.Entries, Plan.Parts, Plan.BadAt, Plan.SameOthers,
              Plan.SoundPerSecond, Plan.EventsBeforeCrash);
      PoisonFleet F(Plan);
      F.play(CalmTime, false);
      F.play(PoisonTime);
      checkPromises(F);
    }
}

} // namespace

// Guards against a bad part that goes on crashing engines, and against sound
// requests that are refused for a part which they share with bad ones.
TEST_CASE("a bad part is kept from engines at any place in the prompt") {
  PoisonPlan Plan;
  Plan.Entries = GENERATE(1, 3, 17);
  Plan.Parts = GENERATE(2, 3, 12);
  Plan.SoundPerSecond = GENERATE(30., 1.);
  checkAllPositions(Plan);
}

// Guards against a bad part that counts as answered once an engine has sent
// some events, although the engine crashes under it later (review/6, BUDGET).
TEST_CASE("a bad part is kept from engines that crash after any event") {
  PoisonPlan Plan;
  Plan.Entries = 3;
  Plan.Parts = 4;
  Plan.EventsBeforeCrash = GENERATE(1U, 2U, 7U, 18U);
  Plan.SoundPerSecond = GENERATE(30., 10.);
  checkAllPositions(Plan);
}

// Guards against the same in a large fleet, whose entries see few requests
// each.
TEST_CASE("a bad part is kept from engines by a large fleet") {
  PoisonPlan Plan;
  Plan.Entries = 300;
  Plan.Parts = 3;
  Plan.SoundPerSecond = GENERATE(100., 5.);
  Plan.EventsBeforeCrash = GENERATE(0U, 3U);
  checkAllPositions(Plan);
}

// Guards against entries that forget or never hear of the bad part.
TEST_CASE("a bad part is kept from engines while entries start again") {
  PoisonPlan Plan;
  Plan.Entries = GENERATE(3, 17);
  Plan.Parts = 3;
  Plan.RestartInterval = milliseconds(700);
  checkAllPositions(Plan);
}

} // namespace hyssoprail::gateway
