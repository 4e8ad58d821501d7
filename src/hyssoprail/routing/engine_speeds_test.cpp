#include "hyssoprail/routing/engine_speeds.hpp"

#include <catch2/catch.hpp>

#include "engine_speed_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using std::chrono::seconds;
using testing::SpeedFixture;

} // namespace

// Guards against decisions that change in a service whose engines are equal, by
// the scatter of its measured times or by different numbers of runs.
TEST_CASE("equal engines have a factor of exactly 1") {
  SpeedFixture F(std::vector<double>(100, 1.0));
  for (int I = 0; I < 30; ++I) {
    F.work(milliseconds(500));
    REQUIRE(F.allEven());
  }
  SpeedFixture Near({0.9, 1.0, 1.15});
  for (int I = 0; I < 30; ++I) {
    Near.work(milliseconds(500));
    REQUIRE(Near.allEven());
  }
  CHECK(Near.Changes.empty());
}

// Guards against slowness by many runs being taken for that of the engine.
TEST_CASE("an engine with many runs is not taken for a slow one") {
  SpeedFixture F({1, 1, 1, 1});
  F.work(seconds(5)); // the relation between runs and time is learned
  F.RunCount = std::uniform_int_distribution<int>(1, 2);
  for (int Step = 0; Step < 50; ++Step) {
    F.Now += milliseconds(100);
    for (std::size_t I = 0; I < 4; ++I) {
      F.RunCount = I == 0 ? std::uniform_int_distribution<int>(9, 12)
                          : std::uniform_int_distribution<int>(1, 2);
      F.workOne(I, milliseconds(100));
      F.Speeds.observe("a", 1, F.Engines[I].Totals, F.Now);
    }
    F.Speeds.update(F.Now);
    REQUIRE(F.allEven());
  }
}

// Guards against requests spread evenly over engines at 0.7, 0.7 and 1.7 times
// the usual speed, which makes those at the slow engines late.
TEST_CASE("speeds of uneven engines are learned within 2 s of work") {
  SpeedFixture F({0.7, 0.7, 1.7});
  F.work(seconds(2));
  CHECK(F.factor(0) == Approx(1).margin(0.15));
  CHECK(F.factor(1) == Approx(1).margin(0.15));
  CHECK(F.factor(2) == Approx(1.7 / 0.7).margin(0.35));
  REQUIRE(F.Changes.size() == 1);
  CHECK(F.Changes[0].EngineId == "d2");
  F.work(seconds(20));
  CHECK(F.factor(2) == Approx(1.7 / 0.7).margin(0.35));
  CHECK(F.Changes.size() == 1);
}

// Guards against an engine that turns four times slower and gets as much work
// as before, and against one that stays marked as slow once it has recovered.
TEST_CASE("an engine that turns slow is noticed within 2 s and forgotten") {
  SpeedFixture F({1, 1, 1, 1, 1, 1});
  F.work(seconds(10));
  REQUIRE(F.allEven());
  F.Engines[3].TrueSpeed = 0.25;
  F.work(seconds(2));
  CHECK(F.factor(3) < 0.6);
  F.work(seconds(4));
  CHECK(F.factor(3) == Approx(0.25).margin(0.08));
  F.Engines[3].TrueSpeed = 1;
  F.work(seconds(2));
  CHECK(F.factor(3) > 0.67);
  F.work(seconds(10)); // 5 s after the spread has become small
  CHECK(F.allEven());
  CHECK(F.Changes.size() == 2);
}

// Guards against a difference near the threshold that switches the policy of
// its service on and off.
TEST_CASE("a service stays uneven for 5 s after the speeds are equal again") {
  SpeedFixture F({1, 1, 2});
  F.work(seconds(3));
  REQUIRE(F.Speeds.isUneven("assistant"));
  F.Engines[2].TrueSpeed = 1;
  F.work(seconds(5));
  CHECK(F.Speeds.isUneven("assistant"));
  F.work(seconds(6));
  CHECK_FALSE(F.Speeds.isUneven("assistant"));
  CHECK(F.allEven());
}

// Guards against the speed of a former process at a new one, whose totals
// begin at 0, and against late totals of the former process.
TEST_CASE("the restart of an engine clears what is known of it") {
  SpeedFixture F({1, 1, 0.25});
  F.work(seconds(4));
  REQUIRE(F.factor(2) < 0.5);
  const EngineWorkReport Late = F.Engines[2].Totals;
  F.Table.apply(
      testing::started(testing::engine("d2", EngineStage::Decode), 2));
  CHECK(F.factor(2) == 1);
  F.Speeds.observe("a", 1, Late, F.Now);
  F.Speeds.update(F.Now);
  CHECK(F.factor(2) == 1);
  F.Engines[2].Totals = {"d2", 2, {}, 0};
  F.Engines[2].TrueSpeed = 1;
  F.work(seconds(3));
  CHECK(F.factor(2) > 0.8);
}

// Guards against factors that depend on datagrams being lost, repeated or
// overtaken.
TEST_CASE("lost, repeated and late reports change no speed") {
  SpeedFixture F({0.7, 0.7, 1.7});
  F.work(milliseconds(500));
  F.Reports = false;
  std::vector<std::vector<EngineWorkReport>> Sent;
  for (int I = 0; I < 30; ++I) {
    F.work(milliseconds(100));
    Sent.emplace_back();
    for (const auto &E : F.Engines)
      Sent.back().push_back(E.Totals);
    if (I % 3 == 0)
      continue; // lost
    for (const EngineWorkReport &R : Sent.back())
      F.Speeds.observe("a", 1, R, F.Now);
    for (const std::size_t Old : {Sent.size() - 1, Sent.size() / 2})
      for (const EngineWorkReport &R : Sent[Old]) // repeated, late
        F.Speeds.observe("a", 1, R, F.Now);
  }
  CHECK(F.factor(0) == Approx(1).margin(0.15));
  CHECK(F.factor(2) == Approx(1.7 / 0.7).margin(0.35));
}

// Guards against speeds that are guessed from a few prompts or events, and
// against totals of unknown age of a process that has just been heard.
TEST_CASE("an engine with few samples counts as usual") {
  SpeedFixture F({1, 1, 1});
  F.work(seconds(5));
  EngineWorkReport Few{"d2", 1, {}, 0};
  F.Speeds.observe("b", 7, Few, F.Now);
  F.Engines[2].Totals = {"d2", 1, {}, 0};
  F.Now += seconds(10);
  F.Reports = false;
  Few.Work[std::size_t(EngineWorkKind::Decode)] = {80, 2'000'000};
  Few.Samples = 5;
  F.Speeds.observe("b", 7, Few, F.Now);
  F.Speeds.update(F.Now);
  CHECK(F.allEven());
  // The first totals of another incarnation of the entry are only a base.
  Few.Work[std::size_t(EngineWorkKind::Decode)] = {80'000, 2'000'000'000};
  Few.Samples = 5'000;
  F.Speeds.observe("b", 8, Few, F.Now);
  F.Speeds.update(F.Now);
  CHECK(F.allEven());
}

// Guards against an engine that is left alone for its former slowness and is
// never tried again.
TEST_CASE("an engine without recent work is unknown again") {
  SpeedFixture F({1, 1, 0.25});
  F.work(seconds(4));
  REQUIRE(F.factor(2) < 0.5);
  F.Now += seconds(12);
  F.Speeds.update(F.Now);
  CHECK(F.factor(2) == 1);
}

// Guards against prefill engines compared with decode engines, whose tokens
// take less time.
TEST_CASE("prefill speeds are compared among prefill engines") {
  EndpointTable Table;
  EngineSpeeds Speeds(Table);
  const std::vector<std::pair<std::string, std::uint64_t>> MicrosPerPrompt{
      {"p0", 100'000}, {"p1", 100'000}, {"p2", 300'000}};
  for (const auto &[Id, Micros] : MicrosPerPrompt)
    Table.apply(testing::engine(Id, EngineStage::Prefill));
  TimePoint Now = testing::Start;
  for (std::uint64_t Prompts = 0; Prompts < 30; ++Prompts) {
    Now += milliseconds(100);
    for (const auto &[Id, Micros] : MicrosPerPrompt)
      Speeds.observe(
          "a", 1, {Id, 0, {{{Prompts * 1'000, Prompts * Micros}, {}}}, Prompts},
          Now);
    Speeds.update(Now);
  }
  CHECK(Table.find("p0")->SpeedFactor == Approx(1).margin(0.05));
  CHECK(Table.find("p2")->SpeedFactor == Approx(1.0 / 3).margin(0.05));
}

} // namespace hyssoprail::routing
