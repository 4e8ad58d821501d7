#include <algorithm>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::FlowFixture;
using testing::service;

struct CallFixture : FlowFixture {
  CallFixture() {
    add(service("a"));
    add(service("b", "zone-b"));
  }

  std::unique_ptr<Flow> startCall(RouteKind Kind) {
    auto F = makeCallFlow(sharedState(), request(Kind), Io);
    F->start(Now);
    return F;
  }
};

} // namespace

// Guards against running an order twice after its first answer was lost.
TEST_CASE("a call that may have run is not sent again") {
  for (const LegOutcome Lost : {LegOutcome::Broken, LegOutcome::TimedOut}) {
    CallFixture B;
    const auto F = B.startCall(RouteKind::Call);
    F->onLegResult(1, endedLeg(Lost), B.Now);
    REQUIRE(B.Io.Legs.size() == 1);
    REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
    REQUIRE(F->mayHaveRun());
  }
}

// Guards against rejecting orders that no endpoint has run while another
// endpoint could run them.
TEST_CASE("a call that was not run is sent to another endpoint") {
  for (const LegOutcome Refused : {LegOutcome::NotRun, LegOutcome::NotSent}) {
    CallFixture B;
    const auto F = B.startCall(RouteKind::Call);
    F->onLegResult(1, endedLeg(Refused), B.Now);
    REQUIRE(B.Io.Legs.size() == 2);
    REQUIRE(B.Io.Legs[0].EndpointId != B.Io.Legs[1].EndpointId);
    F->onLegResult(2, answered(200), B.Now);
    REQUIRE(B.Io.Status == 200);
    REQUIRE(B.Io.FinalAnswers == 1);
  }
}

// Guards against answering "not run" to a call that one endpoint refused and
// another may have run.
TEST_CASE("the final answer says not run only if that is certain") {
  CallFixture B;
  const auto F = B.startCall(RouteKind::Call);
  F->onLegResult(1, endedLeg(LegOutcome::NotRun), B.Now);
  F->onLegResult(2, endedLeg(LegOutcome::Broken), B.Now);
  REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);

  CallFixture Refused;
  const auto G = Refused.startCall(RouteKind::Call);
  G->onLegResult(1, endedLeg(LegOutcome::NotRun), Refused.Now);
  G->onLegResult(2, endedLeg(LegOutcome::NotRun), Refused.Now);
  REQUIRE(Refused.Io.RejectedWith == RejectReason::NotRun);
  REQUIRE(Refused.Io.SentRetryAfter > milliseconds(0));
  REQUIRE_FALSE(G->mayHaveRun());
}

// Guards against more runs than the route allows, and against losing the answer
// when the second endpoint fails too.
TEST_CASE("an idempotent call runs again, up to the route's attempts") {
  CallFixture B;
  const auto F = B.startCall(RouteKind::IdempotentCall);
  F->onLegResult(1, answered(500), B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  F->onLegResult(2, answered(500), B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Status == 500);
}

// Reproduces an endpoint that leaves requests unanswered: an idempotent call
// moves to another endpoint, and its first leg is cancelled once that one has
// answered.
TEST_CASE("an idempotent call moves away from an unresponsive endpoint") {
  CallFixture B;
  const auto F = B.startCall(RouteKind::IdempotentCall);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Cancelled.empty());
  F->onLegResult(2, answered(200), B.Now);
  REQUIRE(B.Io.Status == 200);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{1});

  CallFixture Once;
  const auto G = Once.startCall(RouteKind::Call);
  Once.Now = G->nextDeadline();
  G->onTimer(Once.Now);
  REQUIRE(Once.Io.Legs.size() == 1);
  REQUIRE(Once.Io.RejectedWith == RejectReason::TimedOut);
  REQUIRE(Once.Now < Once.request(RouteKind::Call).AnswerBy);
}

// Guards against a refund of quota for a call that an endpoint may have run
// when its caller left or its deadline passed.
TEST_CASE("a call that is cancelled at its endpoint may have run") {
  CallFixture Left;
  const auto F = Left.startCall(RouteKind::Call);
  F->onCallerDisconnected(Left.Now);
  CHECK(F->mayHaveRun());

  CallFixture Late;
  const auto G = Late.startCall(RouteKind::Call);
  Late.Now = G->nextDeadline();
  G->onTimer(Late.Now);
  REQUIRE(Late.Io.RejectedWith == RejectReason::TimedOut);
  CHECK(G->mayHaveRun());
}

// Guards against load that remains reserved on an endpoint after its call has
// ended.
TEST_CASE("a call that ends releases its load on the endpoint") {
  CallFixture B;
  const auto F = B.startCall(RouteKind::Call);
  REQUIRE(B.Table.ownLoads().size() == 1);
  F->onCallerDisconnected(B.Now);
  REQUIRE(B.Io.Cancelled.size() == 1);
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against trying endpoints of a fleet that is down until the deadline,
// and against callers that use up their retries before an endpoint is back.
TEST_CASE("without an endpoint the call is refused at once") {
  FlowFixture B;
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.RejectedWith == RejectReason::NoCapacity);
  REQUIRE(B.Io.SentRetryAfter >= milliseconds(300));

  // An endpoint that refused has a free slot much sooner.
  CallFixture Full;
  const auto G = Full.startCall(RouteKind::Call);
  G->onLegResult(1, endedLeg(LegOutcome::NotRun), Full.Now);
  G->onLegResult(2, endedLeg(LegOutcome::NotRun), Full.Now);
  REQUIRE(Full.Io.RejectedWith == RejectReason::NotRun);
  REQUIRE(Full.Io.SentRetryAfter < milliseconds(100));
}

// Guards against a call that is rejected although an endpoint can be granted,
// because the coordinator granted one that its entry does not know yet.
TEST_CASE("a call asks again if its entry cannot use the granted endpoint") {
  FlowFixture B;
  B.add(service("a"));
  B.Table.recordLimit("a", 4, B.Now);
  const auto F =
      makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  const auto Grant = [&](const std::string &Id) {
    wire::EntryReport Report;
    B.Calls.fillReport(Report, B.Now);
    REQUIRE(Report.call_wants_size() == 1);
    const auto &Excluded = Report.call_wants(0).avoid();
    REQUIRE(std::find(Excluded.begin(), Excluded.end(), Id) == Excluded.end());
    wire::CoordinatorUpdate Update;
    wire::CallGrant *G = Update.add_call_grants();
    G->set_key(Report.call_wants(0).key());
    G->set_endpoint(Id);
    for (const CallDecision &D : B.Calls.applyUpdate(Update, B.Now))
      F->onCallGranted(std::get<CallGrant>(D), B.Now);
  };
  SECTION("and gets one that it knows") {
    Grant("new-1");
    REQUIRE(B.Io.FinalAnswers == 0);
    Grant("new-2");
    Grant("a");
    REQUIRE(B.Io.Legs.at(0).EndpointId == "a");
    F->onLegResult(1, answered(200), B.Now);
    REQUIRE(B.Io.Status == 200);
  }
  SECTION("but not without end") {
    for (unsigned I = 0; I < 4; ++I)
      Grant("new-" + std::to_string(I));
    REQUIRE(B.Io.RejectedWith == RejectReason::NoCapacity);
  }
  REQUIRE(B.Io.FinalAnswers == 1);
}

} // namespace hyssoprail::routing
