// Idempotent calls whose endpoint falls silent.
#include <algorithm>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::FlowFixture;
using testing::service;
using testing::Start;

/// An idempotent call whose first endpoint has been silent for so long that the
/// call was sent to a second one of \p Endpoints.
struct SilentCall : FlowFixture {
  explicit SilentCall(unsigned Endpoints = 2, unsigned MaxAttempts = 2) {
    for (unsigned I = 1; I <= Endpoints; ++I)
      add(service("w" + std::to_string(I)));
    FlowRequest R = request(RouteKind::IdempotentCall);
    R.Route.MaxAttempts = MaxAttempts;
    R.Info.Fingerprint = "call";
    F = makeCallFlow(sharedState(), std::move(R), Io);
    F->start(Now);
    waitForTimer();
    REQUIRE(Io.Legs.size() == 2);
    REQUIRE(Io.Legs[0].EndpointId != Io.Legs[1].EndpointId);
  }

  void waitForTimer() {
    Now = F->nextDeadline();
    F->onTimer(Now);
  }

  void end(FlowIo::LegId Leg, LegResult R) {
    F->onLegResult(Leg, std::move(R), Now);
  }

  /// One final answer, and nothing stays reserved on an endpoint.
  void requireEnded() {
    REQUIRE(F->done());
    REQUIRE(Io.FinalAnswers == 1);
    REQUIRE(Table.ownLoads().empty());
  }

  void requireAnswer(unsigned Status) {
    requireEnded();
    REQUIRE(Io.Status == Status);
    REQUIRE_FALSE(Io.RejectedWith);
  }

  std::unique_ptr<Flow> F;
};

LegResult crash() {
  LegResult R = endedLeg(LegOutcome::Broken);
  R.Response.Status = 0;
  return R;
}

} // namespace

// Guards against a call that ends with 504 because both endpoints fell silent
// for a second, although the first one went on in time: its leg had been
// cancelled before the second one answered.
TEST_CASE("a silent endpoint that goes on keeps its call") {
  SilentCall B;
  REQUIRE(B.Io.Cancelled.empty());
  REQUIRE(B.Table.ownLoads().size() == 2);
  B.Now += milliseconds(800);
  B.F->onTimer(B.Now);
  REQUIRE(B.Io.Cancelled.empty());
  B.end(1, answered(200));
  B.requireAnswer(200);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{2});
  B.end(2, answered(200));
  REQUIRE(B.Io.FinalAnswers == 1);
}

// Guards against two runs of one call after it has been answered.
TEST_CASE("the leg to a silent endpoint ends once another one has answered") {
  SilentCall B;
  B.end(2, answered(200));
  B.requireAnswer(200);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{1});
}

// Guards against a call that ends although its silent endpoint goes on, because
// the one that was to replace it failed, refused or could not be reached.
TEST_CASE("a call waits for its silent endpoint if no other takes over") {
  const auto Outcome =
      GENERATE(LegOutcome::Answered, LegOutcome::NotSent, LegOutcome::NotRun,
               LegOutcome::Broken, LegOutcome::TimedOut);
  SilentCall B;
  LegResult R = endedLeg(Outcome);
  R.Response.Status = Outcome == LegOutcome::Answered ? 500 : 0;
  B.end(2, R);
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.Io.Cancelled.empty());
  REQUIRE(B.F->mayHaveRun());
  B.Now += milliseconds(700);
  B.F->onTimer(B.Now);
  B.end(1, answered(200));
  B.requireAnswer(200);
}

// Guards against a silent endpoint that ends the call although another one runs
// it, and against an answer that is lost when both fail.
TEST_CASE("a silent endpoint that fails leaves the call to the other one") {
  const auto Outcome =
      GENERATE(LegOutcome::Answered, LegOutcome::NotSent, LegOutcome::NotRun,
               LegOutcome::Broken, LegOutcome::TimedOut);
  LegResult R = endedLeg(Outcome);
  R.Response.Status = Outcome == LegOutcome::Answered ? 500 : 0;
  SECTION("the other one answers") {
    SilentCall B;
    B.end(1, R);
    REQUIRE(B.Io.FinalAnswers == 0);
    REQUIRE(B.Io.Cancelled.empty());
    B.end(2, answered(200));
    B.requireAnswer(200);
  }
  SECTION("the other one fails, too") {
    SilentCall B;
    B.end(1, R);
    B.end(2, crash());
    B.requireEnded();
    if (Outcome == LegOutcome::Answered)
      REQUIRE(B.Io.Status == 500);
    else
      REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
  }
}

// Guards against answering "may have run" to a call that both endpoints refused
// after a silence, and against the opposite.
TEST_CASE("a call that a silent endpoint refuses has not run") {
  SilentCall B;
  B.end(2, endedLeg(LegOutcome::NotRun));
  B.end(1, endedLeg(LegOutcome::NotRun));
  B.requireEnded();
  REQUIRE(B.Io.RejectedWith == RejectReason::NotRun);
  REQUIRE_FALSE(B.F->mayHaveRun());

  SilentCall Lost;
  Lost.end(2, endedLeg(LegOutcome::NotRun));
  Lost.end(1, endedLeg(LegOutcome::Broken));
  Lost.requireEnded();
  REQUIRE(Lost.Io.RejectedWith == RejectReason::OutcomeUnknown);
  REQUIRE(Lost.F->mayHaveRun());
}

// Guards against a call that is not sent to a free endpoint after its silent
// one has failed, because a refusal counted as one of its runs.
TEST_CASE("a call moves on if its silent endpoint fails and another refused") {
  SilentCall B(3);
  for (const char *Id : {"w1", "w2", "w3"})
    if (Id != B.Io.Legs[0].EndpointId && Id != B.Io.Legs[1].EndpointId)
      B.Table.remove(Id);
  B.end(2, endedLeg(LegOutcome::NotRun));
  B.add(service("w4"));
  B.end(1, crash());
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE(B.Io.Legs.back().EndpointId == "w4");
  B.end(3, answered(200));
  B.requireAnswer(200);
}

// Guards against a request that is held back, and against load that stays
// reserved, if both endpoints stay silent or the caller leaves.
TEST_CASE("a call at silent endpoints ends at its deadline or with its "
          "caller") {
  SilentCall B;
  SECTION("both stay silent") {
    const TimePoint AnswerBy = B.request(RouteKind::IdempotentCall).AnswerBy;
    while (!B.F->done())
      B.waitForTimer();
    REQUIRE(B.Now < AnswerBy);
    REQUIRE(B.Now < Start + milliseconds(14'000));
    REQUIRE(B.Io.RejectedWith == RejectReason::TimedOut);
    B.requireEnded();
  }
  SECTION("only the first is left") {
    B.end(2, answered(500));
    while (!B.F->done())
      B.waitForTimer();
    REQUIRE(B.Now < Start + milliseconds(14'000));
    B.requireAnswer(500);
  }
  SECTION("the caller leaves") {
    B.F->onCallerDisconnected(B.Now);
    REQUIRE(B.F->done());
    REQUIRE(B.Io.Cancelled.size() == 2);
    REQUIRE(B.Io.FinalAnswers == 0);
    REQUIRE(B.Table.ownLoads().empty());
  }
  REQUIRE(B.F->mayHaveRun());
}

// Guards against more runs than the route allows, as the silent ones go on.
TEST_CASE("silent endpoints count as runs of a call") {
  SilentCall B(6, 3);
  B.waitForTimer();
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE(B.Io.Cancelled.empty());
  REQUIRE(B.Table.ownLoads().size() == 3);
  B.end(1, answered(500));
  B.end(2, crash());
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE(B.Io.FinalAnswers == 0);
  B.end(3, answered(200));
  B.requireAnswer(200);
}

// Guards against a crash that is not remembered, or held against the wrong
// endpoint, because the endpoint had been silent before its connection broke.
TEST_CASE("a silent call whose connection breaks counts as a crash") {
  SilentCall B(4, 4);
  B.end(1, crash());
  REQUIRE(B.Crashes.Requests.crashCount() == 1);
  B.end(2, crash());
  REQUIRE(B.Crashes.Requests.crashCount() == 2);
  REQUIRE(B.Io.Legs.size() == 2);
  B.requireEnded();
}

// Guards against a key that was revoked while the endpoint was silent: the call
// was admitted, so its endpoint may answer it, but no other one gets it.
TEST_CASE("a call waits for its silent endpoint if its key was revoked") {
  SilentCall B(3);
  B.Io.Allowed = false;
  B.end(2, endedLeg(LegOutcome::NotRun));
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.FinalAnswers == 0);
  B.end(1, answered(200));
  B.requireAnswer(200);
}

// Guards against a wish for a grant, or a charged retry, that outlives its
// call, and against a grant that sends an answered call once more.
TEST_CASE("a silent endpoint that goes on ends the wait for a grant") {
  FlowFixture B;
  B.add(service("w1"));
  B.add(service("w2"));
  B.Retries = RetryLimiter({0, 2, milliseconds(10'000)}); // one retry
  const auto F =
      makeCallFlow(B.sharedState(), B.request(RouteKind::IdempotentCall), B.Io);
  F->start(B.Now);
  // The other endpoint is limited, and only the coordinator may grant its
  // requests; a third one, in another zone, can be used without a grant.
  B.add(service("w3", "zone-b"));
  const std::string Other = B.Io.Legs[0].EndpointId == "w1" ? "w2" : "w1";
  B.Table.recordLimit(Other, 4.0, B.Now);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  const auto Wants = [&] {
    wire::EntryReport Report;
    B.Calls.fillReport(Report, B.Now);
    return Report.call_wants_size();
  };
  REQUIRE(Wants() == 1);
  REQUIRE_FALSE(B.Retries.available("orders", B.Now));
  F->onLegResult(1, answered(200), B.Now);
  REQUIRE(B.Io.Status == 200);
  REQUIRE(Wants() == 0);
  REQUIRE(B.Retries.available("orders", B.Now));
  F->onCallGranted({"1", Other}, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE(B.Table.ownLoads().empty());
  REQUIRE(B.Retries.take("orders", B.Now));
  REQUIRE_FALSE(B.Retries.available("orders", B.Now));
}

// Guards against retries that are charged although they reached no endpoint:
// while endpoints are down, they would use up the budget of the other calls.
TEST_CASE("a retry that reaches no endpoint is not charged") {
  FlowFixture B;
  B.Retries = RetryLimiter({0, 2, milliseconds(10'000)}); // one retry
  for (const char *Id : {"w1", "w2", "w3"})
    B.add(service(Id));
  FlowRequest R = B.request(RouteKind::IdempotentCall);
  R.Route.MaxAttempts = 4;
  const auto F = makeCallFlow(B.sharedState(), std::move(R), B.Io);
  F->start(B.Now);
  const auto End = [&](FlowIo::LegId Leg, LegOutcome Outcome) {
    F->onLegResult(Leg, endedLeg(Outcome), B.Now);
  };
  SECTION("no endpoint is left") {
    End(1, LegOutcome::NotRun);
    REQUIRE(B.Io.Legs.size() == 2);
    REQUIRE_FALSE(B.Retries.available("orders", B.Now));
    End(2, LegOutcome::NotSent);
    REQUIRE(B.Io.Legs.size() == 3);
    REQUIRE_FALSE(B.Retries.available("orders", B.Now));
    End(3, LegOutcome::NotSent);
    REQUIRE(B.Io.RejectedWith == RejectReason::NotRun);
  }
  SECTION("a later leg uses the charge") {
    End(1, LegOutcome::NotRun);
    End(2, LegOutcome::NotSent);
    F->onLegResult(3, answered(200), B.Now);
    REQUIRE_FALSE(B.Retries.available("orders", B.Now));
    return;
  }
  SECTION("the leg that was silent had reached none") {
    B.Now = F->nextDeadline();
    F->onTimer(B.Now);
    REQUIRE(B.Io.Legs.size() == 2);
    REQUIRE_FALSE(B.Retries.available("orders", B.Now));
    End(1, LegOutcome::NotSent);
    F->onLegResult(2, answered(200), B.Now);
  }
  SECTION("the silent endpoint goes on") {
    B.Now = F->nextDeadline();
    F->onTimer(B.Now);
    B.Table.remove("w1");
    B.Table.remove("w2");
    B.Table.remove("w3");
    End(2, LegOutcome::NotSent);
    REQUIRE(B.Io.FinalAnswers == 0);
    REQUIRE(B.Retries.available("orders", B.Now));
    F->onLegResult(1, answered(200), B.Now);
  }
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE(B.Retries.take("orders", B.Now));
  REQUIRE_FALSE(B.Retries.available("orders", B.Now));
}

} // namespace hyssoprail::routing
