// Calls that crash plain endpoints.
#include <catch2/catch.hpp>

#include "stream_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::FlowFixture;
using testing::service;

/// The connection broke before the head of an answer arrived.
LegResult brokenConnection() {
  LegResult R = endedLeg(LegOutcome::Broken);
  R.Response.Status = 0;
  return R;
}

/// An entry before four plain endpoints, each of which comes back under a new
/// id after a crash.
struct CrashingCalls : FlowFixture {
  CrashingCalls() {
    for (unsigned I = 0; I < 4; ++I)
      add(service("e-" + std::to_string(I)));
  }

  std::unique_ptr<Flow> startCall(RouteKind Kind,
                                  const std::string &Fingerprint) {
    FlowRequest R = request(Kind, std::to_string(++LastCall));
    R.Info.Fingerprint = Fingerprint;
    auto F = makeCallFlow(sharedState(), std::move(R), Io);
    F->start(Now);
    return F;
  }

  /// The endpoint of the last leg crashes under \p F.
  void crash(Flow &F) {
    const std::string Crashed = Io.Legs.back().EndpointId;
    F.onLegResult(Io.lastLeg(), brokenConnection(), Now);
    Table.remove(Crashed);
    add(service(Crashed + "'"));
    Now += milliseconds(1'000);
  }

  /// A call with \p Fingerprint is sent once and crashes its endpoint.
  void crashUnder(const std::string &Fingerprint) {
    const auto F = startCall(RouteKind::Call, Fingerprint);
    crash(*F);
  }

  bool blames(const std::string &Fingerprint) {
    return Crashes.Requests.isQuarantined({Fingerprint}, Now);
  }

  unsigned LastCall = 0;
};

} // namespace

// Guards against two calls that crash endpoints and are in progress together:
// the newest crash under one released the other, so that each went on to crash
// endpoints in turn (soak, seed 5002).
TEST_CASE("two calls that crash endpoints together are both refused") {
  CrashLedger Ledger{1, CallLedgerBounds};
  TimePoint Now = testing::Start;
  unsigned Crashes = 0;
  const auto Refused = [&](const char *Call) {
    return Ledger.isQuarantined({Call}, Now);
  };
  for (unsigned Round = 0; Round < 20; ++Round) {
    Now += milliseconds(700);
    const bool SendA = !Refused("a");
    const bool SendB = !Refused("b");
    if (!SendA && !SendB)
      continue;
    const EndpointRecord E = service("e-" + std::to_string(++Crashes));
    if (SendA)
      Ledger.recordCrash(E, {"a"}, Now);
    if (SendB)
      Ledger.recordCrash(E, {"b"}, Now);
  }
  // Five under both, and three under the one that was blamed later.
  CHECK(Crashes == 8);
  CHECK(Refused("a"));
  CHECK(Refused("b"));
}

// Guards against blaming a call for the crash of an endpoint that was down
// already when the call was sent there.
TEST_CASE("a call that is sent to a crashed endpoint is no suspect") {
  CrashLedger Ledger{1, CallLedgerBounds};
  TimePoint Now = testing::Start;
  for (unsigned I = 0; I < 6; ++I) {
    Now += milliseconds(1'000);
    const EndpointRecord E = service("e-" + std::to_string(I));
    Ledger.recordCrash(E, {"bad"}, Now, Now - milliseconds(30));
    const TimePoint SentAt = Now + milliseconds(100);
    Ledger.recordCrash(E, {"a sound one"}, SentAt + milliseconds(1), SentAt);
  }
  CHECK(Ledger.isQuarantined({"bad"}, Now));
  CHECK_FALSE(Ledger.isQuarantined({"a sound one"}, Now));
  CHECK(Ledger.quarantined(Now).size() == 1);
}

// Guards against a call that crashes one plain endpoint after the other, and
// against refusing other calls of the same account with it.
TEST_CASE("a call that crashed three plain endpoints is not sent again") {
  CrashingCalls B;
  for (unsigned I = 0; I < 3; ++I) {
    REQUIRE_FALSE(B.blames("bad"));
    B.crashUnder("bad");
  }
  const std::size_t Sent = B.Io.Legs.size();
  const auto F = B.startCall(RouteKind::Call, "bad");
  REQUIRE(B.Io.Legs.size() == Sent);
  REQUIRE(B.Io.RejectedWith == RejectReason::Quarantined);
  REQUIRE(B.Io.SentRetryAfter == QuarantineRetryAfter);
  REQUIRE_FALSE(F->mayHaveRun());
  B.startCall(RouteKind::Call, "sound");
  REQUIRE(B.Io.Legs.size() == Sent + 1);
  // The parts of prompts are watched apart.
  REQUIRE(B.Crashes.Prompts.crashCount() == 0);
}

// Guards against an entry that crashes endpoints by its own repeats.
TEST_CASE("a call is not repeated after two crashes") {
  CrashingCalls B;
  FlowRequest R = B.request(RouteKind::IdempotentCall);
  R.Info.Fingerprint = "bad";
  R.Route.MaxAttempts = 4;
  const auto F = makeCallFlow(B.sharedState(), std::move(R), B.Io);
  F->start(B.Now);
  B.crash(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  B.crash(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
}

// Guards against a repeat that is sent although other entries have seen the
// third crash meanwhile, and against a false "not run".
TEST_CASE("a call that is blamed while it runs is not repeated") {
  CrashingCalls B;
  B.crashUnder("bad");
  B.crashUnder("bad");
  const auto F = B.startCall(RouteKind::IdempotentCall, "bad");
  const std::size_t Sent = B.Io.Legs.size();
  B.crash(*F);
  REQUIRE(B.Io.Legs.size() == Sent);
  REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
}

// Guards against blaming a request that every caller sends, as some of them are
// in the queue of each endpoint that crashes.
TEST_CASE("a call that is answered between crashes is not blamed") {
  CrashingCalls B;
  for (unsigned I = 0; I < 8; ++I) {
    B.crashUnder("frequent");
    const auto F = B.startCall(RouteKind::Call, "frequent");
    F->onLegResult(B.Io.lastLeg(), answered(I % 2 == 0 ? 200 : 500), B.Now);
  }
  REQUIRE_FALSE(B.blames("frequent"));
}

// Guards against missing the guilty call among all that break in the slots and
// in the queue of an endpoint.
TEST_CASE("the guilty call is found among all that were in the queue") {
  CrashingCalls B;
  for (unsigned I = 0; I < 3; ++I) {
    const EndpointRecord Endpoint = service("q-" + std::to_string(I));
    for (unsigned K = 0; K < 30; ++K)
      B.Crashes.Requests.recordCrash(
          Endpoint, {K == 29 ? "bad" : "queued-" + std::to_string(I * 100 + K)},
          B.Now);
    B.Now += milliseconds(1'000);
  }
  REQUIRE(B.blames("bad"));
  REQUIRE(B.Crashes.Requests.quarantined(B.Now).size() == 1);
}

// Guards against taking broken answers and broken connections of running
// endpoints for crashes.
TEST_CASE("a broken connection is no crash if the endpoint runs on") {
  const bool AnswerBegan = GENERATE(true, false);
  CrashingCalls B;
  for (unsigned I = 0; I < 4; ++I) {
    B.Now += milliseconds(1'000);
    const TimePoint Connected = B.Now;
    const auto F = B.startCall(RouteKind::Call, "call");
    const std::string Id = B.Io.Legs.back().EndpointId;
    const auto Leg = B.Io.lastLeg();
    const auto Other = B.startCall(RouteKind::Call, "other");
    LegResult Broken = brokenConnection();
    Broken.AnswerBegan = AnswerBegan;
    F->onLegResult(Leg, Broken, B.Now);
    B.Now += milliseconds(400);
    B.Crashes.Requests.recordAlive(Id, Connected - milliseconds(10), B.Now);
    B.Table.remove(Id);
    B.add(service(Id + "'"));
    LegResult Refused = endedLeg(LegOutcome::NotRun);
    Refused.ConnectedAt = Connected;
    Other->onLegResult(B.Io.lastLeg(), Refused, B.Now);
    Other->onCallerDisconnected(B.Now);
  }
  REQUIRE_FALSE(B.blames("call"));
}

// Guards against calls that crash one endpoint after the other once the head of
// the answer is out: the head is no sign that the endpoint survived.
TEST_CASE("a call that crashes endpoints in its answer is not sent again") {
  CrashingCalls B;
  for (unsigned I = 0; I < 3; ++I) {
    const auto F = B.startCall(RouteKind::Call, "bad");
    LegResult Broken = brokenConnection();
    Broken.AnswerBegan = true;
    F->onLegResult(B.Io.lastLeg(), Broken, B.Now);
    B.Now += milliseconds(1'000);
  }
  REQUIRE(B.blames("bad"));
}

// Guards against a prompt that counts as answered once some events have come,
// and against an answer that another engine ended: it says nothing of the
// events before, under which the first engine crashed.
TEST_CASE("only the end of a whole run shows that its engine survived") {
  CrashLedger Ledger{1};
  TimePoint Now = testing::Start;
  const auto Run = [&](unsigned Engine, bool Resumed, auto End) {
    RunCrashWatch Watch(Ledger, {"first", "bad", std::to_string(Engine)});
    Watch.begin(
        testing::engine("d-" + std::to_string(Engine), EngineStage::Decode),
        Now, Resumed);
    Now += milliseconds(1'000);
    Watch.received(40, Now);
    (Watch.*End)(Now);
  };
  for (unsigned I = 0; I < 2; ++I)
    Run(I, false, &RunCrashWatch::broke);
  Run(2, true, &RunCrashWatch::completed);
  REQUIRE_FALSE(Ledger.isQuarantined({"bad"}, Now));
  const bool AnsweredWhole = GENERATE(false, true);
  if (AnsweredWhole)
    Run(3, false, &RunCrashWatch::completed);
  Run(4, false, &RunCrashWatch::broke);
  REQUIRE(Ledger.isQuarantined({"bad"}, Now) != AnsweredWhole);
}

// Guards against data of an engine that has started again under its id, which
// speaks for the process before it: the run began before the crash, but its
// connection after it.
TEST_CASE("data on a connection from after a crash does not disprove it") {
  const bool ConnectedBefore = GENERATE(true, false);
  CrashLedger Ledger{1};
  TimePoint Now = testing::Start;
  for (unsigned I = 0; I < 3; ++I) {
    const auto Engine =
        testing::engine("d-" + std::to_string(I), EngineStage::Decode);
    RunCrashWatch Other(Ledger, {"other"});
    Other.begin(Engine, Now);
    RunCrashWatch Bad(Ledger, {"bad", std::to_string(I)});
    Bad.begin(Engine, Now);
    Other.connected(Now + milliseconds(ConnectedBefore ? 10 : 60));
    Now += milliseconds(50);
    Bad.broke(Now);
    Now += milliseconds(1'000);
    Other.received(1, Now);
  }
  REQUIRE(Ledger.isQuarantined({"bad"}, Now) != ConnectedBefore);
}

// Guards against streams without prompt parts that crash one engine after the
// other.
TEST_CASE("a stream without prompt parts is watched as a whole") {
  FlowFixture B;
  for (unsigned I = 0; I < 3; ++I)
    B.add(testing::engine("d-" + std::to_string(I), EngineStage::Decode));
  for (unsigned I = 0; I < 2; ++I) {
    FlowRequest R = B.request(RouteKind::Stream, std::to_string(I));
    R.Info.Fingerprint = "bad";
    R.Route.MaxAttempts = 1;
    const auto F = B.startStream(std::move(R));
    REQUIRE(B.Io.Legs.back().Kind == LegKind::Decode);
    B.Table.remove(B.Io.Legs.back().EndpointId);
    B.answer(*F, B.Io.lastLeg(), brokenConnection());
    B.Now += milliseconds(1'000);
  }
  REQUIRE(B.Crashes.Requests.crashCount() == 2);
  REQUIRE(B.Crashes.Prompts.crashCount() == 0);
}

// Guards against a record whose requests are taken for parts of prompts, and
// against losing either when all processes end. A record of an older build has
// no requests.
TEST_CASE("a record in the store has both ledgers") {
  const TimePoint Now = testing::Start;
  CrashLedgers Written{1};
  CrashLedgers Old{2};
  for (unsigned I = 0; I < 3; ++I) {
    const EndpointRecord Endpoint = service("e-" + std::to_string(I));
    Written.Prompts.recordCrash(Endpoint, {"part"}, Now);
    Written.Requests.recordCrash(Endpoint, {"call"}, Now);
    Old.Prompts.recordCrash(Endpoint, {"old"}, Now);
  }
  CrashLedgers Read{3};
  Read.merge(Written.encode(Now, 0), Now, 0);
  REQUIRE(Read.Prompts.isQuarantined({"part"}, Now));
  REQUIRE(Read.Requests.isQuarantined({"call"}, Now));
  REQUIRE_FALSE(Read.Requests.isQuarantined({"part"}, Now));
  CrashLedgers Newer{4};
  Newer.merge(Old.Prompts.encode(Now, 0), Now, 0);
  REQUIRE(Newer.Prompts.isQuarantined({"old"}, Now));
  // An older build reads what a newer one has written.
  CrashLedger Older{5};
  Older.merge(Written.encode(Now, 0), Now, 0);
  REQUIRE(Older.isQuarantined({"part"}, Now));
  REQUIRE_FALSE(Older.isQuarantined({"call"}, Now));
}

// Guards against a prompt that crashes one prefill engine after the other: the
// connections of prefill legs that broke were counted for nobody.
TEST_CASE("a stream that crashed three prefill engines is not sent again") {
  FlowFixture B;
  B.add(testing::engine("d1", EngineStage::Decode));
  const bool HasParts = GENERATE(true, false);
  unsigned Crashes = 0;
  const auto Send = [&](const std::string &Key) {
    B.add(testing::engine("p" + std::to_string(Crashes), EngineStage::Prefill));
    FlowRequest R = B.request(RouteKind::Stream, Key);
    R.Route.MaxAttempts = 1;
    if (HasParts)
      R.Info.PromptParts = {"bad"};
    else
      R.Info.Fingerprint = "bad";
    return B.startStream(std::move(R));
  };
  for (unsigned I = 0; I < 12; ++I) {
    const std::size_t Before = B.Io.Legs.size();
    const auto F = Send(std::to_string(I));
    while (B.Io.Legs.size() > Before &&
           B.Io.Legs.back().Kind == LegKind::Prefill && !F->done()) {
      ++Crashes;
      const auto Leg = B.Io.lastLeg();
      B.Table.remove(B.Io.Legs.back().EndpointId);
      B.add(
          testing::engine("p" + std::to_string(Crashes), EngineStage::Prefill));
      B.answer(*F, Leg, brokenConnection());
      if (B.Io.lastLeg() == Leg)
        break;
    }
    if (!F->done())
      F->onCallerDisconnected(B.Now);
    B.Now += milliseconds(1'000);
  }
  CHECK(Crashes >= 3);
  CHECK(Crashes <= 4);
  CHECK(B.Io.RejectedWith == RejectReason::Quarantined);
}

// Guards against blaming a prompt for the crashes of prefill engines which load
// has caused, if the prompt is answered in between.
TEST_CASE("an answered stream is not blamed for a crashed prefill engine") {
  testing::StreamFixture B;
  for (unsigned I = 0; I < 6; ++I) {
    FlowRequest R = B.request(RouteKind::Stream, std::to_string(I));
    R.Info.Fingerprint = "sound";
    const auto F = B.startStream(std::move(R));
    REQUIRE(B.Io.Legs.back().Kind == LegKind::Prefill);
    const std::string Crashed = B.Io.Legs.back().EndpointId;
    B.Table.remove(Crashed);
    B.add(testing::engine("p" + std::to_string(3 + I), EngineStage::Prefill));
    B.answer(*F, B.Io.lastLeg(), brokenConnection());
    while (B.Io.Legs.back().Kind == LegKind::Prefill)
      B.answer(*F, B.Io.lastLeg(), answered(200, "handle"));
    F->onStreamHead(B.Io.lastLeg(), testing::head(), B.Now);
    F->onStreamData(B.Io.lastLeg(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                    B.Now);
    F->onStreamEnd(B.Io.lastLeg(), true, B.Now);
    REQUIRE(F->done());
    B.Now += milliseconds(1'000);
  }
  CHECK(B.Crashes.Requests.crashCount() == 6);
  CHECK(B.Crashes.Requests.quarantined(B.Now).empty());
}

// Guards against taking the broken connection of a prefill engine that runs on
// for a crash.
TEST_CASE("a prefill engine that answers on an older connection runs on") {
  FlowFixture B;
  B.add(testing::engine("d1", EngineStage::Decode));
  const auto Send = [&](unsigned Number, const char *Fingerprint) {
    FlowRequest R = B.request(RouteKind::Stream, std::to_string(Number));
    R.Info.Fingerprint = Fingerprint;
    return B.startStream(std::move(R));
  };
  for (unsigned I = 0; I < 4; ++I) {
    const std::string Id = "p" + std::to_string(I);
    B.add(testing::engine(Id, EngineStage::Prefill));
    const TimePoint Connected = B.Now;
    B.Now += milliseconds(1'000);
    const auto Other = Send(2 * I, "other");
    const auto OtherLeg = B.Io.lastLeg();
    const auto F = Send(2 * I + 1, "broken");
    const auto Leg = B.Io.lastLeg();
    REQUIRE(B.Io.Legs.at(OtherLeg - 1).EndpointId == Id);
    REQUIRE(B.Io.Legs.at(Leg - 1).EndpointId == Id);
    B.Table.remove(Id);
    B.answer(*F, Leg, brokenConnection());
    F->onCallerDisconnected(B.Now);
    B.Now += milliseconds(400);
    LegResult R = answered(200, "handle");
    R.ConnectedAt = Connected;
    B.answer(*Other, OtherLeg, R);
    Other->onCallerDisconnected(B.Now);
  }
  CHECK(B.Crashes.Requests.crashCount() == 4);
  CHECK(B.Crashes.Requests.quarantined(B.Now).empty());
}

} // namespace hyssoprail::routing
