#include "hyssoprail/routing/request_version.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/routing/test_support.hpp"

namespace hyssoprail::routing {
namespace {

using namespace testing;
using rollout::RolloutDecision;
using rollout::RolloutPhase;

EndpointRecord versioned(EndpointRecord R, const std::string &Version) {
  R.Version = Version;
  return R;
}

/// An entry with endpoints of two versions of each service, and a gate.
struct RolloutFixture : FlowFixture {
  RolloutFixture() {
    add(versioned(service("o-1"), "v1"));
    add(versioned(service("o-2"), "v2"));
    add(versioned(engine("p-1", EngineStage::Prefill), "v1"));
    add(versioned(engine("p-2", EngineStage::Prefill), "v2"));
    add(versioned(engine("d-1", EngineStage::Decode), "v1"));
    add(versioned(engine("d-2", EngineStage::Decode), "v2"));
    Scheduler.setUnproven([this](auto Service, auto Version) {
      return Gate.isUnproven(Service, Version);
    });
  }

  void decide(const std::string &Service, RolloutPhase Phase,
              std::uint64_t Allowance) {
    RolloutDecision D;
    D.Service = Service;
    D.Target = "v2";
    D.Order = {1, 1};
    D.Phase = Phase;
    D.Allowance = Allowance;
    D.CompletesAt = Now + milliseconds(2'000);
    Gate.applyDecision(D);
  }

  SharedFlowState state() {
    SharedFlowState S = sharedState();
    S.Rollouts = &Gate;
    return S;
  }

  std::unique_ptr<Flow> call(RouteKind Kind) {
    auto F = makeCallFlow(state(), request(Kind), Io);
    F->start(Now);
    return F;
  }

  std::unique_ptr<Flow> stream(bool Resumable) {
    FlowRequest R = request(RouteKind::Stream);
    R.Route.Resumable = Resumable;
    auto F = makeStreamFlow(state(), std::move(R), Io);
    F->start(Now);
    poll(*F);
    return F;
  }

  const std::string &lastEndpoint() const { return Io.Legs.back().EndpointId; }

  std::uint64_t targetRequests() const {
    return Gate.evidence(Now).front().TargetRequests;
  }

  rollout::RolloutGate Gate;
};

} // namespace

// Guards against requests to a version without an allowance, and against an
// allowance that is exceeded.
TEST_CASE("calls go to the target only within the allowance") {
  RolloutFixture B;
  B.decide("orders", RolloutPhase::Canary, 1);
  const auto First = B.call(RouteKind::Call);
  CHECK(B.lastEndpoint() == "o-2");
  const auto Second = B.call(RouteKind::Call);
  CHECK(B.lastEndpoint() == "o-1");
  CHECK(B.targetRequests() == 1);
}

// Guards against callers that pay for a bad target: what it refuses or fails
// goes to the old version, and nothing more to the target.
TEST_CASE("a call that the target does not serve goes to the old version") {
  RolloutFixture B;
  B.decide("orders", RolloutPhase::Canary, 1);
  const auto F = B.call(RouteKind::IdempotentCall);
  REQUIRE(B.lastEndpoint() == "o-2");
  F->onLegResult(B.Io.lastLeg(), answered(500), B.Now);
  CHECK(B.lastEndpoint() == "o-1");
  CHECK(B.targetRequests() == 1);
  const auto Evidence = B.Gate.evidence(B.Now).front();
  CHECK(Evidence.Answers.Target.begin()->second.Failed == 1);
}

// Guards against a call that is lost because the old endpoints stop at the
// completion, while the gate has no allowance left.
TEST_CASE("a call that would outlast the completion is rejected as not run") {
  RolloutFixture B;
  B.decide("orders", RolloutPhase::Shift, 0);
  const auto F = B.call(RouteKind::Call);
  CHECK(F->done());
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter == milliseconds(2'000));
  CHECK_FALSE(F->mayHaveRun());
}

// Guards against requests to a version that was rolled back.
TEST_CASE("after a rollback nothing goes to the target") {
  RolloutFixture B;
  B.decide("orders", RolloutPhase::Canary, 9);
  B.decide("orders", RolloutPhase::RolledBack, 9);
  const auto F = B.call(RouteKind::Call);
  CHECK(B.lastEndpoint() == "o-1");
}

// Guards against requests to old endpoints, which stop at the completion.
TEST_CASE("after the completion all calls go to the target") {
  RolloutFixture B;
  B.decide("orders", RolloutPhase::Completed, 0);
  const auto F = B.call(RouteKind::Call);
  CHECK(B.lastEndpoint() == "o-2");
}

// Guards against a KV cache that an engine of another version cannot read.
TEST_CASE("prefill and decode of a generation use the same version") {
  RolloutFixture B;
  B.decide("assistant", RolloutPhase::Canary, 2);
  const auto Target = B.stream(true);
  REQUIRE(B.lastEndpoint() == "p-2");
  B.answer(*Target, B.Io.lastLeg(), answered(200, "h"));
  CHECK(B.lastEndpoint() == "d-2");
  const auto Old = B.stream(true);
  REQUIRE(B.lastEndpoint() == "p-1");
  B.answer(*Old, B.Io.lastLeg(), answered(200, "h"));
  CHECK(B.lastEndpoint() == "d-1");
}

// Guards against traffic to a version before its order is known: the order may
// still be on its way when its first endpoint registers.
TEST_CASE("an endpoint that is held gets no work") {
  RolloutFixture B;
  B.Table.noteSeen("o-1", B.Now, B.Now + milliseconds(2'000));
  CHECK_FALSE(B.Table.takesWork(*B.Table.find("o-1"), B.Now));
  CHECK(B.Table.takesWork(*B.Table.find("o-1"), B.Now + milliseconds(2'000)));
}

} // namespace hyssoprail::routing
