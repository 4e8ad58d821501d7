#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::ended;
using testing::FlowBench;
using testing::service;

struct CallBench : FlowBench {
  CallBench() {
    add(service("a"));
    add(service("b", "zone-b"));
  }

  std::unique_ptr<Flow> startCall(RouteKind Kind) {
    auto F = makeCallFlow(shared(), request(Kind), Io);
    F->start(Now);
    return F;
  }
};

} // namespace

// Guards against a second run of an order whose first answer was lost.
TEST_CASE("a call that may have run is not sent again") {
  for (const LegOutcome Lost : {LegOutcome::Broken, LegOutcome::TimedOut}) {
    CallBench B;
    const auto F = B.startCall(RouteKind::Call);
    F->onLegResult(1, ended(Lost), B.Now);
    REQUIRE(B.Io.Legs.size() == 1);
    REQUIRE(B.Io.Rejected == RejectReason::OutcomeUnknown);
    REQUIRE(F->mayHaveRun());
  }
}

// Guards against orders that are given up although nobody ran them.
TEST_CASE("a call that was not run is sent to another endpoint") {
  for (const LegOutcome Refused : {LegOutcome::NotRun, LegOutcome::NotSent}) {
    CallBench B;
    const auto F = B.startCall(RouteKind::Call);
    F->onLegResult(1, ended(Refused), B.Now);
    REQUIRE(B.Io.Legs.size() == 2);
    REQUIRE(B.Io.Legs[0].EndpointId != B.Io.Legs[1].EndpointId);
    F->onLegResult(2, answered(200), B.Now);
    REQUIRE(B.Io.Status == 200);
    REQUIRE(B.Io.Answers == 1);
  }
}

// Guards against "not run" for a call that one endpoint refused and another may
// have run.
TEST_CASE("the final answer says not run only if that is certain") {
  CallBench B;
  const auto F = B.startCall(RouteKind::Call);
  F->onLegResult(1, ended(LegOutcome::NotRun), B.Now);
  F->onLegResult(2, ended(LegOutcome::Broken), B.Now);
  REQUIRE(B.Io.Rejected == RejectReason::OutcomeUnknown);

  CallBench Refused;
  const auto G = Refused.startCall(RouteKind::Call);
  G->onLegResult(1, ended(LegOutcome::NotRun), Refused.Now);
  G->onLegResult(2, ended(LegOutcome::NotRun), Refused.Now);
  REQUIRE(Refused.Io.Rejected == RejectReason::NotRun);
  REQUIRE(Refused.Io.Return > milliseconds(0));
  REQUIRE_FALSE(G->mayHaveRun());
}

// Guards against more runs than the route allows, and against a lost answer
// when the second endpoint fails too.
TEST_CASE("an idempotent call runs again, within the route's attempts") {
  CallBench B;
  const auto F = B.startCall(RouteKind::IdempotentCall);
  F->onLegResult(1, answered(500), B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  F->onLegResult(2, answered(500), B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Status == 500);
}

// Replays an endpoint that leaves requests unanswered: an idempotent call moves
// on, and its first send is cancelled.
TEST_CASE("an idempotent call leaves a silent endpoint") {
  CallBench B;
  const auto F = B.startCall(RouteKind::IdempotentCall);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Cancelled.size() == 1);

  CallBench Once;
  const auto G = Once.startCall(RouteKind::Call);
  Once.Now = G->nextDeadline();
  G->onTimer(Once.Now);
  REQUIRE(Once.Io.Legs.size() == 1);
  REQUIRE(Once.Io.Rejected == RejectReason::TimedOut);
  REQUIRE(Once.Now < Once.request(RouteKind::Call).AnswerBy);
}

// Guards against load that stays on an endpoint after its call has ended.
TEST_CASE("every end of a call frees its endpoint") {
  CallBench B;
  const auto F = B.startCall(RouteKind::Call);
  REQUIRE(B.Table.ownLoads().size() == 1);
  F->onCallerDisconnected(B.Now);
  REQUIRE(B.Io.Cancelled.size() == 1);
  REQUIRE(B.Io.Answers == 0);
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a fleet that is down and searched until the deadline, and
// against callers that use up their retries before an endpoint is back.
TEST_CASE("without an endpoint the call is refused at once") {
  FlowBench B;
  auto F = makeCallFlow(B.shared(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.Rejected == RejectReason::NoCapacity);
  REQUIRE(B.Io.Return >= milliseconds(300));

  // A slot of an endpoint that refused is free much sooner.
  CallBench Full;
  const auto G = Full.startCall(RouteKind::Call);
  G->onLegResult(1, ended(LegOutcome::NotRun), Full.Now);
  G->onLegResult(2, ended(LegOutcome::NotRun), Full.Now);
  REQUIRE(Full.Io.Rejected == RejectReason::NotRun);
  REQUIRE(Full.Io.Return < milliseconds(100));
}

} // namespace hyssoprail::routing
