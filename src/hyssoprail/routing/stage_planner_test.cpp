#include "hyssoprail/routing/stage_planner.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;

/// A service of engines in two zones under steady traffic.
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

  /// Traffic for \p Seconds: \p PerSecond prompts of 1,000 tokens, of which an
  /// engine reads ten a second, and generations that fill \p DecodeEngines.
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

  /// The changes that are planned now, taken as ordered.
  std::vector<StageChange> planAndOrder() {
    auto Changes = Planner.plan(Service, Utilization, Now);
    for (const StageChange &C : Changes)
      Planner.recordOrder(C, Service, Now);
    Pending.insert(Pending.end(), Changes.begin(), Changes.end());
    return Changes;
  }

  /// The engine registers with its new stage.
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
  std::vector<StageChange> Pending; ///< ordered, and finished by the next run
};

} // namespace

// Replays a fleet with a third of its engines for prompts, of which most idle
// while bursts wait for decode memory.
TEST_CASE("idle prefill engines become decode engines in rounds") {
  PlannerFixture B(50, 50);
  B.runTraffic(7, 60, 42);
  REQUIRE(B.planAndOrder().empty()); // too early
  B.runTraffic(5, 60, 42);
  const auto First = B.planAndOrder();
  REQUIRE(First.size() == 15); // 20 of 100 would do; a round is not larger
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

// Guards against changes that cost service and gain nothing.
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

// Replays traffic that shifts to long prompts: prefill engines fall behind.
TEST_CASE("decode engines read prompts when prefill engines are short") {
  PlannerFixture B(4, 36);
  B.runTraffic(20, 40, 18);
  const auto Changes = B.planAndOrder();
  REQUIRE_FALSE(Changes.empty());
  for (const StageChange &C : Changes)
    CHECK(C.To == EngineStage::Prefill);
}

// Guards against engines that change to and fro and serve nobody meanwhile.
TEST_CASE("a change is not taken back soon") {
  PlannerFixture B(14, 26);
  B.runTraffic(12, 40, 22);
  REQUIRE_FALSE(B.planAndOrder().empty());
  B.runTraffic(15, 400, 4);
  CHECK(B.planAndOrder().empty());
}

// Guards against a zone without prefill engines, whose prompts would all cross
// to other zones.
TEST_CASE("the last prefill engine of a zone stays") {
  PlannerFixture B(3, 37);
  B.runTraffic(20, 20, 200); // as if the prompts needed half an engine
  const auto Changes = B.planAndOrder();
  REQUIRE(Changes.size() == 1);
  CHECK(B.Table.find(Changes[0].EndpointId)->Record.Zone == "zone-a");
  B.runTraffic(40, 20, 200);
  CHECK(B.planAndOrder().empty());
}

// Guards against work for an engine that has been ordered to change, and
// against one that is never used again if the order was lost.
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

} // namespace hyssoprail::routing
