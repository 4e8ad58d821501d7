#include "hyssoprail/routing/stage_planner.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;

/// A service with engines in two zones under steady traffic.
struct PlannerFixture {
  PlannerFixture(int PrefillCount, int DecodeCount) {
    for (int I = 0; I < PrefillCount; ++I)
      add("p", I, EngineStage::Prefill);
    for (int I = 0; I < DecodeCount; ++I)
      add("d", I, EngineStage::Decode);
    Service.Name = "assistant";
    Service.Engine = EngineLimits{};
  }

  void add(const std::string &Kind, int Number, EngineStage Stage) {
    Table.apply(engine(Kind + std::to_string(Number), Stage,
                       Number % 2 == 0 ? "zone-a" : "zone-b"));
  }

  /// Simulates traffic for \p Seconds: \p PerSecond prompts of 1,000 tokens, of
  /// which one engine prefills ten per second, and generations that fill \p
  /// DecodeEngines.
  void runTraffic(int Seconds, int PerSecond, double DecodeEngines) {
    for (const StageChange &C : std::exchange(Pending, {}))
      completeChange(C);
    for (int Step = 0; Step < Seconds * 20; ++Step) {
      Now += milliseconds(50);
      for (int I = 0; I < PerSecond / 20; ++I)
        Utilization.recordPrefill(1'000, milliseconds(100), true);
      Utilization.sample(DecodeEngines, Now);
    }
  }

  /// The same traffic under pressure, with the changes ordered as they become
  /// due. Returns their number.
  std::size_t runWaiting(int Seconds, int PerSecond, double DecodeEngines) {
    std::size_t Ordered = 0;
    for (int I = 0; I < Seconds; ++I) {
      runTraffic(1, PerSecond, DecodeEngines);
      Ordered += planAndOrder().size();
    }
    return Ordered;
  }

  std::size_t prefillEngines() {
    std::size_t Count = 0;
    Table.forEach([&](const Endpoint &E) {
      Count += E.Record.Stage == EngineStage::Prefill ? 1 : 0;
    });
    return Count;
  }

  /// Plans the changes that are due now and records them as ordered.
  std::vector<StageChange> planAndOrder() {
    auto Changes = Planner.plan(Service, Utilization, Now, Pressure);
    for (const StageChange &C : Changes)
      Planner.recordOrder(C, Service, Now);
    Pending.insert(Pending.end(), Changes.begin(), Changes.end());
    return Changes;
  }

  /// Registers the engine with its new stage.
  void completeChange(const StageChange &C) {
    EndpointRecord Record = Table.find(C.EndpointId)->Record;
    Record.Stage = C.To;
    ++Record.Sequence;
    Table.apply(Record);
  }

  TimePoint Now = Start;
  EndpointTable Table;
  ServicePolicy Service;
  EngineUtilization Utilization;
  StagePlanner Planner{Table};
  StagePressure Pressure;
  /// Ordered; completed by the next runTraffic().
  std::vector<StageChange> Pending;
};

} // namespace

// Replays a fleet in which most prefill engines are idle while bursts wait for
// decode memory.
TEST_CASE("idle prefill engines become decode engines in rounds") {
  PlannerFixture B(50, 50);
  B.runTraffic(7, 60, 42);
  REQUIRE(B.planAndOrder().empty()); // before the warm-up time has passed
  B.runTraffic(5, 60, 42);
  const auto First = B.planAndOrder();
  REQUIRE(First.size() ==
          15); // 20 of 100 are not needed, but a round is limited to 15
  for (const StageChange &C : First) {
    CHECK(C.To == EngineStage::Decode);
    CHECK(C.EndpointId.starts_with("p"));
    CHECK_FALSE(B.Table.mayStart(*B.Table.find(C.EndpointId), B.Now));
  }
  REQUIRE(B.planAndOrder().empty());
  B.runTraffic(9, 60, 42);
  CHECK(B.planAndOrder().size() == 15);
  B.runTraffic(9, 60, 42);
  CHECK(B.planAndOrder().empty());
}

// Guards against changes that interrupt service without any gain.
TEST_CASE("nothing changes while memory is free or the split is right") {
  PlannerFixture Idle(14, 26);
  Idle.runTraffic(20, 20, 10);
  CHECK(Idle.planAndOrder().empty());
  PlannerFixture Right(9, 31);
  Right.runTraffic(20, 40, 28);
  CHECK(Right.planAndOrder().empty());
  PlannerFixture Small(4, 8);
  Small.runTraffic(20, 20, 7);
  CHECK(Small.planAndOrder().empty());
}

// Replays traffic that shifts to long prompts: prefill engines cannot keep up.
TEST_CASE("decode engines become prefill engines when these are overloaded") {
  PlannerFixture B(4, 36);
  B.runTraffic(20, 40, 18);
  const auto Changes = B.planAndOrder();
  REQUIRE_FALSE(Changes.empty());
  for (const StageChange &C : Changes)
    CHECK(C.To == EngineStage::Prefill);
}

// Guards against engines that change back and forth, which serve no requests
// meanwhile.
TEST_CASE("a change is not reversed soon") {
  PlannerFixture B(14, 26);
  B.runTraffic(12, 40, 22);
  REQUIRE_FALSE(B.planAndOrder().empty());
  B.runTraffic(15, 400, 4);
  CHECK(B.planAndOrder().empty());
}

// Guards against a zone without prefill engines: all of its prompts would go to
// other zones.
TEST_CASE("the last prefill engine of a zone is kept") {
  PlannerFixture B(3, 37);
  B.runTraffic(20, 20, 200); // as if the prompts needed only half an engine
  const auto Changes = B.planAndOrder();
  REQUIRE(Changes.size() == 1);
  CHECK(B.Table.find(Changes[0].EndpointId)->Record.Zone == "zone-a");
  B.runTraffic(40, 20, 200);
  CHECK(B.planAndOrder().empty());
}

// Guards against work for an engine that was ordered to change, and against an
// engine that stays unused forever if the order was lost.
TEST_CASE("an engine that changes gets no work until it has changed") {
  PlannerFixture B(14, 26);
  B.runTraffic(12, 40, 22);
  const std::string Id = B.planAndOrder().at(0).EndpointId;
  Endpoint &E = *B.Table.find(Id);
  CHECK_FALSE(B.Table.mayStart(E, B.Now + milliseconds(100)));
  EndpointRecord Changed = E.Record;
  Changed.Stage = EngineStage::Decode;
  Changed.Sequence = 7;
  B.Table.apply(Changed);
  CHECK(B.Table.mayStart(E, B.Now + milliseconds(6'000)));
  const std::string Lost = Id == "p0" ? "p1" : "p0";
  StageChange Order{Lost, EngineStage::Decode};
  B.Planner.recordOrder(Order, B.Service, B.Now);
  CHECK(B.Table.mayStart(*B.Table.find(Lost), B.Now + milliseconds(11'000)));
}

// Guards against generations that wait for decode memory while prefill engines
// are idle: rounds of 15% every 8 s take half a minute to end it.
TEST_CASE(
    "under pressure idle prefill engines change sooner, in larger rounds") {
  const auto ChangedAfter = [](bool LeastCost) {
    PlannerFixture B(50, 50);
    B.runTraffic(20, 60, 10); // too little decode work for a change
    B.Pressure = {LeastCost, milliseconds(600), milliseconds(900), {}};
    return B.runWaiting(14, 60, 50);
  };
  const std::size_t Pressed = ChangedAfter(true);
  const std::size_t Usual = ChangedAfter(false);
  CHECK(Usual <= 30);
  CHECK(Pressed > Usual);
  CHECK(Pressed == 42); // 6 are busy with prompts, with the reserve that is 8
}

// Guards against a change in a deployment without the policy, whatever waits.
TEST_CASE("without the least-cost policy pressure changes nothing") {
  PlannerFixture A(50, 50);
  PlannerFixture B(50, 50);
  B.Pressure = {false, milliseconds(5'000), milliseconds(900),
                milliseconds(60'000)};
  for (int I = 0; I < 40; ++I) {
    A.runTraffic(1, 60, 42);
    B.runTraffic(1, 60, 42);
    REQUIRE(A.planAndOrder().size() == B.planAndOrder().size());
  }
}

// Guards against engines that change for a burst which ends before they serve.
TEST_CASE("pressure shorter than a change orders none") {
  PlannerFixture B(50, 50);
  B.runTraffic(20, 60, 10);
  B.Pressure = {true, milliseconds(600), milliseconds(900), milliseconds(500)};
  CHECK(B.runWaiting(4, 60, 20) == 0);
  B.Pressure.Wait = milliseconds(100);
  CHECK(B.runWaiting(4, 60, 20) == 0);
  // A queue that takes longer to drain than a change justifies it at once.
  B.Pressure.Wait = milliseconds(600);
  B.Pressure.DrainTime = milliseconds(8'000);
  CHECK(B.runWaiting(1, 60, 20) > 0);
}

// Guards against engines that change with every wave of demand and back, and so
// serve nothing for a large part of the time.
TEST_CASE("waves of demand do not make engines change back and forth") {
  PlannerFixture B(50, 50);
  B.runTraffic(20, 60, 20);
  std::size_t Changes = 0;
  std::size_t Reversals = 0;
  for (int Wave = 0; Wave < 6; ++Wave) {
    B.Pressure = {true, milliseconds(900), milliseconds(900), {}};
    for (int I = 0; I < 15; ++I) {
      B.runTraffic(1, 120, 80);
      for (const StageChange &C : B.planAndOrder())
        ++(C.To == EngineStage::Decode ? Changes : Reversals);
    }
    B.Pressure = {true, {}, milliseconds(900), {}};
    for (int I = 0; I < 15; ++I) {
      B.runTraffic(1, 60, 20);
      for (const StageChange &C : B.planAndOrder())
        ++(C.To == EngineStage::Decode ? Changes : Reversals);
    }
  }
  CHECK(Changes > 0);
  CHECK(Changes <= 40);
  CHECK(Reversals == 0);
  CHECK(B.prefillEngines() >= 12); // 120 prompts a second keep 12 busy
}

// Guards against prefill engines that are taken away although prompts need
// them: the wait would move from decode to prefill.
TEST_CASE("under pressure busy prefill engines stay") {
  PlannerFixture B(10, 30);
  B.runTraffic(20, 80, 28);
  B.Pressure = {true, milliseconds(2'000), milliseconds(900),
                milliseconds(20'000)};
  CHECK(B.runWaiting(20, 80, 30) == 0);
}

} // namespace hyssoprail::routing
