// What the planner of stages is told about a service that lacks decode memory.
#include <catch2/catch.hpp>

#include "hyssoprail/routing/overload_scope.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;
using testing::testConfig;

StreamRequest waiting(const std::string &Id, Duration Objective) {
  StreamRequest N;
  N.Id = Id;
  N.Service = "assistant";
  N.PromptTokens = 3'000;
  N.OutputTokens = 1'000;
  N.Arrival = Start;
  N.ObjectiveDeadline = Start + Objective;
  N.GiveUpAt = Start + milliseconds(3'600);
  return N;
}

RoutePolicy route(int Priority, const std::string &Service) {
  RoutePolicy R;
  R.Priority = Priority;
  R.Services = {{Service, 1}};
  return R;
}

} // namespace

// Guards against pressure taken from a request with a long objective, from one
// beyond its quota, or from another service, while an urgent one waits unseen.
TEST_CASE("pressure is that of the request nearest to its objective") {
  EndpointTable Table;
  Table.apply(engine("d0", EngineStage::Decode));
  StreamScheduler Scheduler({}, Table);
  Scheduler.configure(testConfig());
  CHECK(Scheduler.pressure("assistant", Start).Objective == Duration{});
  Scheduler.submit(waiting("long", milliseconds(5'000)));
  Scheduler.submit(waiting("urgent", milliseconds(500)));
  StreamRequest Beyond = waiting("beyond", milliseconds(10));
  Beyond.BeyondQuota = true;
  Scheduler.submit(Beyond);
  const TimePoint Now = Start + milliseconds(400);
  const StagePressure P = Scheduler.pressure("assistant", Now);
  CHECK(P.Wait == milliseconds(400));
  CHECK(P.Objective == milliseconds(500));
  CHECK(P.DrainTime > Duration{});
  CHECK_FALSE(P.LeastCost);
  CHECK(Scheduler.pressure("other", Now).Objective == Duration{});
  Table.find("d0")->SpeedFactor = 0.5;
  CHECK(Scheduler.pressure("assistant", Now).DrainTime > P.DrainTime);
}

// Guards against the policy in a deployment or for a service that does not call
// for it.
TEST_CASE("the least-cost policy is in force only where it is called for") {
  EndpointTable Table;
  Table.apply(engine("d0", EngineStage::Decode));
  const auto Config = testConfig();
  const auto InForce = [&](OverloadMode Mode) {
    return isLeastCostInForce(Mode, *Config, Table, "assistant");
  };
  Config->Routes = {route(1, "assistant"), route(1, "assistant"),
                    route(0, "orders")};
  CHECK(InForce(OverloadMode::LeastCost));
  CHECK_FALSE(InForce(OverloadMode::Auto));
  Config->Routes.add(route(2, "assistant"));
  CHECK(InForce(OverloadMode::Auto));
  CHECK_FALSE(InForce(OverloadMode::Arrival));
  Config->Routes = {route(1, "assistant"), route(1, "assistant"),
                    route(0, "orders")};
  Table.find("d0")->SpeedFactor = 1.6;
  CHECK(InForce(OverloadMode::Auto));
  CHECK_FALSE(InForce(OverloadMode::Arrival));
}

} // namespace hyssoprail::routing
