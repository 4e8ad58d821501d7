#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::engine;
using testing::FlowFixture;
using testing::Start;

HttpResponse head() {
  HttpResponse H;
  H.Status = 200;
  return H;
}

struct StreamFixture : FlowFixture {
  StreamFixture() {
    add(engine("p1", EngineStage::Prefill));
    add(engine("p2", EngineStage::Prefill, "zone-b"));
    add(engine("d1", EngineStage::Decode));
    add(engine("d2", EngineStage::Decode, "zone-b"));
  }

  FlowRequest stream(bool Resumable) const {
    FlowRequest R = request(RouteKind::Stream);
    R.Route.Resumable = Resumable;
    return R;
  }

  /// Starts a stream whose first event has arrived.
  std::unique_ptr<Flow> startedStream(bool Resumable,
                                      const PromptParts &Parts = {}) {
    FlowRequest R = stream(Resumable);
    R.Info.PromptParts = Parts;
    auto F = startStream(std::move(R));
    answer(*F, 1, answered(200, "handle-1"));
    F->onStreamHead(2, head(), Now);
    F->onStreamData(2, "id: 1\ndata: a\n\n", Now);
    return F;
  }

  const LegRequest &leg(std::size_t Number) const {
    return Io.Legs.at(Number - 1);
  }
};

} // namespace

// Guards against a decode that does not fetch the KV cache of its prefill.
TEST_CASE("a stream is prefilled, decoded with the KV cache and delivered") {
  StreamFixture B;
  const auto F = B.startedStream(false);
  REQUIRE(B.leg(1).Kind == LegKind::Prefill);
  REQUIRE(B.leg(2).Kind == LegKind::Decode);
  REQUIRE(B.leg(2).Source->Handle == "handle-1");
  F->onStreamData(2, "id: 2\ndata: b\n\n", B.Now);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(B.Io.Forwarded == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE(F->done());
  REQUIRE(B.Table.ownLoads().empty());
  REQUIRE(B.Io.Dropped.empty());
}

// Guards against ending a stream as complete in the middle of an event.
TEST_CASE("a stream that ends inside an event is aborted") {
  StreamFixture B;
  const auto F = B.startedStream(false);
  F->onStreamData(2, "id: 2\ndata: ha", B.Now);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(B.Io.Aborted);
  REQUIRE(B.Io.Forwarded == "id: 1\ndata: a\n\n");
}

// Guards against a second run of a stream that may run only once.
TEST_CASE("a stream that is not resumable is not run again") {
  StreamFixture B;
  const auto F = B.startedStream(false);
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Aborted);

  StreamFixture Early;
  const auto G = Early.startStream(Early.stream(false));
  Early.answer(*G, 1, answered(200, "handle-1"));
  Early.answer(*G, 2, endedLeg(LegOutcome::Broken));
  REQUIRE(Early.Io.Legs.size() == 2);
  REQUIRE(Early.Io.RejectedWith == RejectReason::OutcomeUnknown);
}

// Guards against missing or duplicated events when a stream resumes at another
// engine.
TEST_CASE("a resumable stream continues after its last event") {
  StreamFixture B;
  const auto F = B.startedStream(true);
  F->onStreamData(2, "id: 2\nda", B.Now);
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  REQUIRE(B.leg(3).Kind == LegKind::Prefill);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).Kind == LegKind::Decode);
  REQUIRE(B.leg(4).ResumeAfter == 1);
  REQUIRE(B.leg(4).EndpointId != B.leg(2).EndpointId);
  F->onStreamHead(4, head(), B.Now);
  F->onStreamData(4, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", B.Now);
  F->onStreamEnd(4, true, B.Now);
  REQUIRE(B.Io.Forwarded == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE_FALSE(B.Io.Aborted);
}

// Guards against a stream that is broken off while its caller would still wait
// for it to go on: an engine gets free 2.2 s after the last event, and callers
// of the route wait 3.6 s.
TEST_CASE("a broken stream waits for an engine as long as its caller does") {
  FlowFixture B;
  B.add(engine("d1", EngineStage::Decode));
  FlowRequest R = B.request(RouteKind::Stream);
  R.Route.Resumable = true;
  const auto F = B.startStream(R);
  F->onStreamHead(1, head(), B.Now);
  F->onStreamData(1, "id: 1\ndata: a\n\n", B.Now);
  B.Table.remove("d1");
  F->onStreamEnd(1, false, B.Now);
  B.Now += milliseconds(2'200);
  B.poll(*F);
  REQUIRE_FALSE(F->done());
  B.add(engine("d2", EngineStage::Decode));
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Legs.back().ResumeAfter == 1);
}

// Reproduces an overloaded engine that pauses while no other one has room: the
// run must not be cancelled, since its answer may still arrive.
TEST_CASE("an unresponsive engine is replaced only if another has room") {
  FlowFixture B;
  B.add(engine("p1", EngineStage::Prefill));
  B.add(engine("d1", EngineStage::Decode));
  FlowRequest R = B.request(RouteKind::Stream);
  R.Route.Resumable = true;
  const auto F = B.startStream(R);
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onStreamHead(2, head(), B.Now);
  F->onStreamData(2, "id: 1\ndata: a\n\n", B.Now);
  B.Now += milliseconds(1'500);
  F->onTimer(B.Now);
  REQUIRE(B.Io.Cancelled.empty());
  REQUIRE_FALSE(F->done());
  B.add(engine("d2", EngineStage::Decode));
  B.Now += milliseconds(400);
  F->onTimer(B.Now);
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 3);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Cancelled.empty());
  F->onStreamHead(4, head(), B.Now);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{2});
}

namespace {

/// A stream whose engine sent one event and a half, and has been silent for so
/// long that another engine prefills the prompt (leg 3).
struct SilentStream : StreamFixture {
  explicit SilentStream(const PromptParts &Parts = {})
      : F(startedStream(true, Parts)) {
    F->onStreamData(2, "id: 2\nda", Now);
    Now += milliseconds(1'200);
    F->onTimer(Now);
    poll(*F);
  }

  /// The silent engine goes on to the end of the stream.
  void goOn() {
    F->onStreamData(2, "ta: b\n\n", Now);
    F->onStreamEnd(2, true, Now);
  }

  void requireWhole() const {
    REQUIRE(Io.Forwarded == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    REQUIRE(Io.FinalAnswers == 1);
    REQUIRE_FALSE(Io.Aborted);
  }

  std::unique_ptr<Flow> F;
};

} // namespace

// Guards against a stream that is ended at an engine which was silent for a
// second, before another engine has taken over.
TEST_CASE("a silent engine that goes on keeps its stream") {
  SilentStream B;
  REQUIRE(B.leg(3).Kind == LegKind::Prefill);
  REQUIRE(B.Io.Cancelled.empty());
  B.goOn();
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{3});
  B.requireWhole();
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a stream that ends although its silent engine goes on, because
// the engine that was to replace it refused, failed or broke the connection.
TEST_CASE("a stream returns to its silent engine if no other takes over") {
  const auto Outcome = GENERATE(LegOutcome::Answered, LegOutcome::NotRun,
                                LegOutcome::Broken, LegOutcome::TimedOut);
  SilentStream B;
  B.answer(*B.F, 3, answered(200, "handle-2"));
  LegResult R = endedLeg(Outcome);
  R.Response.Status = Outcome == LegOutcome::Answered ? 500 : 0;
  B.answer(*B.F, 4, R);
  B.Now += milliseconds(700);
  B.F->onTimer(B.Now);
  B.poll(*B.F);
  REQUIRE_FALSE(B.F->done());
  B.goOn();
  B.requireWhole();
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a stream that is broken off because the key that it was
// admitted with is revoked while its engine is silent.
TEST_CASE("a stream returns to its silent engine if its key was revoked") {
  SilentStream B;
  B.Io.Allowed = false;
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE_FALSE(B.F->done());
  B.goOn();
  B.requireWhole();
}

// Guards against two engines that generate one stream for long.
TEST_CASE("the run of a silent engine ends once another one has the request") {
  SilentStream B;
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Cancelled.empty());
  B.Now = B.F->nextDeadline();
  REQUIRE(B.Now <= Start + milliseconds(1'600));
  B.F->onTimer(B.Now);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{2});
  B.F->onStreamHead(4, head(), B.Now);
  B.F->onStreamData(4, "id: 2\ndata: b\n\n", B.Now);
  B.F->onStreamEnd(4, true, B.Now);
  B.requireWhole();
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a KV cache that is freed while the engine that is to fetch it
// is silent: the engine would refuse the request when it goes on.
TEST_CASE("the KV cache of a silent run is not freed") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(true));
  B.answer(*F, 1, answered(200, "handle-1"));
  B.Now += milliseconds(1'600);
  F->onTimer(B.Now);
  B.poll(*F);
  REQUIRE(B.leg(3).Kind == LegKind::Prefill);
  REQUIRE(B.Io.Dropped.empty());
  F->onStreamHead(2, head(), B.Now);
  F->onStreamData(2, "id: 1\ndata: a\n\n", B.Now);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE_FALSE(B.Io.Aborted);
}

// Guards against engine memory that stays reserved for the run of a silent
// engine after its connection broke or its caller left.
TEST_CASE("a silent run that breaks or is not wanted frees its engine") {
  SilentStream B;
  SECTION("its connection breaks") {
    B.F->onStreamEnd(2, false, B.Now);
    B.answer(*B.F, 3, answered(200, "handle-2"));
    B.F->onStreamHead(4, head(), B.Now);
    B.F->onStreamData(4, "id: 2\ndata: b\n\n", B.Now);
    B.F->onStreamEnd(4, true, B.Now);
    B.requireWhole();
  }
  SECTION("its caller leaves") {
    B.F->onCallerDisconnected(B.Now);
    REQUIRE(B.Io.Cancelled.size() == 2);
  }
  SECTION("the route's timeout is reached") {
    B.Now = Start + milliseconds(13'990);
    B.F->onTimer(B.Now);
    REQUIRE(B.Io.Aborted);
  }
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a stream that ends because its silent engine fails after all,
// although another engine has the request already.
TEST_CASE("a silent engine that fails does not end the run that replaces it") {
  SECTION("its stream ends inside an event") {
    SilentStream B;
    B.answer(*B.F, 3, answered(200, "handle-2"));
    REQUIRE(B.leg(4).Kind == LegKind::Decode);
    B.F->onStreamEnd(2, true, B.Now);
    REQUIRE(B.Io.Cancelled.empty());
    B.F->onStreamHead(4, head(), B.Now);
    B.F->onStreamData(4, "id: 2\ndata: b\n\n", B.Now);
    B.F->onStreamEnd(4, true, B.Now);
    B.requireWhole();
  }
  SECTION("it answers with a server error before its first event") {
    StreamFixture B;
    const auto F = B.startStream(B.stream(true));
    B.answer(*F, 1, answered(200, "handle-1"));
    B.Now += milliseconds(1'600);
    F->onTimer(B.Now);
    B.poll(*F);
    B.answer(*F, 3, answered(200, "handle-2"));
    REQUIRE(B.leg(4).Kind == LegKind::Decode);
    B.answer(*F, 2, answered(500));
    REQUIRE(B.Io.Cancelled.empty());
    REQUIRE(B.Io.FinalAnswers == 0);
  }
}

// Guards against a caller that leaves without an answer: the engine never
// answers, no other one gets free, and the route's callers wait 3.6 s for the
// first event.
TEST_CASE("a request whose engine stays silent is refused before its caller "
          "leaves") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(true));
  B.answer(*F, 1, answered(200, "handle-1"));
  const auto FillEngines = [&] {
    for (const char *Id : {"d1", "d2"})
      B.Table.reserve(Id, {1, 9'500, 0});
  };
  SECTION("others are found full only after the search has begun") {
    B.Now += milliseconds(1'600);
    F->onTimer(B.Now);
    FillEngines();
    B.poll(*F);
  }
  SECTION("others are full from the start") { FillEngines(); }
  REQUIRE(B.Io.Legs.size() == 2);
  while (!F->done() && B.Now < Start + milliseconds(3'600)) {
    B.Now += milliseconds(20);
    F->onTimer(B.Now);
    B.poll(*F);
  }
  REQUIRE(B.Io.FinalAnswers == 1);
}

// Guards against a stream that is broken off because the prefill engine with
// which it was to go on was silent for less than a second: its prefill and its
// decode engine are given up before others are certain. The first run needed no
// prefill engine, so the flow asks for a second one.
TEST_CASE("a silent prefill does not end a stream that goes on") {
  FlowFixture B;
  for (const char *Id : {"d1", "d2"})
    B.add(engine(Id, EngineStage::Decode));
  FlowRequest R = B.request(RouteKind::Stream);
  R.Route.Resumable = true;
  const auto F = B.startStream(R);
  F->onStreamHead(1, head(), B.Now);
  F->onStreamData(1, "id: 1\ndata: a\n\n", B.Now);
  B.add(engine("p1", EngineStage::Prefill));
  F->onStreamEnd(1, false, B.Now);
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Legs.back().Kind == LegKind::Prefill);
  for (const char *Id : {"d1", "d2"})
    B.Table.reserve(Id, {1, 9'500, 0});
  B.Now = F->nextDeadline();
  REQUIRE(B.Now < Start + milliseconds(1'000));
  F->onTimer(B.Now);
  B.poll(*F);
  B.Now = Start + milliseconds(1'000);
  B.answer(*F, 2, answered(200, "handle-1"));
  while (!F->done() && B.Now < Start + milliseconds(3'500)) {
    B.Now += milliseconds(100);
    B.poll(*F);
  }
  REQUIRE_FALSE(B.Io.Aborted);
  REQUIRE(B.Io.Legs.back().Kind == LegKind::Decode);
}

// Guards against a stream whose silent run has ended when it turns out that the
// other engine cannot be reached: connecting fails after 250 ms
// (EngineConnectTimeout in request_session.cpp), and until then the engine
// cannot have the request.
TEST_CASE("a stream returns to its silent engine if the other one cannot be "
          "reached") {
  SilentStream B;
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).Kind == LegKind::Decode);
  B.Now += milliseconds(250);
  B.F->onTimer(B.Now);
  B.Now += milliseconds(1);
  B.answer(*B.F, 4, endedLeg(LegOutcome::NotSent));
  B.goOn();
  B.requireWhole();
}

// Guards against a stream that may not go on elsewhere because an engine that
// refused it, and so has not run it, counted as one of its two runs.
TEST_CASE("an engine that refused a silent stream is no run of it") {
  SilentStream B;
  B.answer(*B.F, 3, answered(200, "handle-2"));
  B.answer(*B.F, 4, endedLeg(LegOutcome::NotRun));
  B.F->onStreamData(2, "ta: b\n\n", B.Now);
  B.F->onStreamEnd(2, false, B.Now);
  REQUIRE_FALSE(B.Io.Aborted);
  REQUIRE_FALSE(B.F->done());
}

// Guards against a crash that is not remembered because the engine had been
// silent before its connection broke.
TEST_CASE("a silent run that breaks before its second event counts as a "
          "crash") {
  SilentStream B({"first", "own"});
  B.F->onStreamEnd(2, false, B.Now);
  REQUIRE(B.Crashes.Prompts.crashCount() == 1);
}

// Guards against a request that ends a third engine: the second crash is that
// of a silent engine, seen while the prompt is prefilled for the next one.
TEST_CASE("a stream is not run again after the crash of a silent engine") {
  StreamFixture B;
  for (const char *Id : {"d3", "d4"})
    B.add(engine(Id, EngineStage::Decode));
  FlowRequest R = B.stream(true);
  R.Route.MaxAttempts = 5;
  R.Info.PromptParts = {"first", "own"};
  const auto F = B.startStream(std::move(R));
  LegResult Crash = endedLeg(LegOutcome::Broken);
  Crash.Response.Status = 0;
  B.answer(*F, 1, answered(200, "handle-1"));
  B.answer(*F, 2, Crash);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).Kind == LegKind::Decode);
  B.Now += milliseconds(1'600);
  F->onTimer(B.Now);
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 5);
  B.answer(*F, 4, Crash);
  REQUIRE(B.Crashes.Prompts.crashCount() == 2);
  if (B.leg(5).Kind == LegKind::Prefill)
    B.answer(*F, 5, answered(200, "handle-3"));
  REQUIRE(B.Io.Legs.size() == 5);
  REQUIRE(B.Io.FinalAnswers == 1);
}

// Reproduces a decode engine that is fuller than its known load: the KV cache
// is still held, so another decode engine fetches it without a second prefill.
TEST_CASE("a refused KV cache is offered to another engine first") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  B.answer(*F, 2, endedLeg(LegOutcome::NotRun));
  REQUIRE(B.leg(3).Kind == LegKind::Decode);
  REQUIRE(B.leg(3).Source->Handle == "handle-1");
  REQUIRE(B.leg(3).EndpointId != B.leg(2).EndpointId);
}

// Reproduces an engine whose KV caches expire at once: after two refusals the
// cache counts as lost, the prompt is prefilled at another engine, and the
// first one gets no more prefills.
TEST_CASE(
    "after two refusals of its KV cache a prompt is prefilled elsewhere") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  B.answer(*F, 2, endedLeg(LegOutcome::NotRun));
  B.answer(*F, 3, endedLeg(LegOutcome::NotRun));
  B.Now += milliseconds(200); // past the refusal backoff of both engines
  B.poll(*F);
  REQUIRE(B.Io.Dropped == std::vector<std::string>{"handle-1"});
  REQUIRE(B.leg(4).Kind == LegKind::Prefill);
  REQUIRE(B.leg(4).EndpointId != B.leg(1).EndpointId);
  REQUIRE(B.Table.find(B.leg(1).EndpointId)->CacheLossUntil > B.Now);
}

// Reproduces a fleet in which every leg fails: all legs but the first one and
// an accepted prefill must stay within the retry budget. It was once exceeded
// when zones were lost, and when zones were lost and engines were unresponsive,
// because the decode after a prefill that no engine accepted was free.
TEST_CASE("repeated legs are charged to the retry budget") {
  StreamFixture B;
  B.Retries = RetryLimiter({0, 1.3, milliseconds(10'000)});
  const auto F = B.startStream(B.stream(true));
  B.answer(*F, 1, endedLeg(LegOutcome::Broken));
  B.answer(*F, 2, endedLeg(LegOutcome::Broken));
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.RejectedWith == RejectReason::NotRun);
  REQUIRE(B.Io.SentRetryAfter > milliseconds(0));
}

// Guards against counting a leg that reached no engine as a retry.
TEST_CASE("a leg that reached no engine is not charged to the budget") {
  StreamFixture B;
  B.Retries = RetryLimiter({0, 0, milliseconds(10'000)});
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, endedLeg(LegOutcome::NotSent));
  REQUIRE(B.leg(2).Kind == LegKind::Prefill);
  B.answer(*F, 2, answered(200, "handle-1"));
  B.answer(*F, 3, endedLeg(LegOutcome::NotSent));
  REQUIRE(B.leg(4).Kind == LegKind::Decode);
  REQUIRE(B.leg(4).Source->Handle == "handle-1");
}

// Reproduces a lost zone: many engines refuse connections before their
// registrations expire. The flow used to give up after four of them although
// other engines had room, and the prefill was wasted.
TEST_CASE("engines that cannot be reached do not count against the leg limit") {
  StreamFixture B;
  for (int I = 3; I <= 9; ++I)
    B.add(engine("d" + std::to_string(I), EngineStage::Decode));
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  for (FlowIo::LegId Leg = 2; Leg <= 8; ++Leg)
    B.answer(*F, Leg, endedLeg(LegOutcome::NotSent));
  REQUIRE_FALSE(F->done());
  REQUIRE(B.leg(9).Kind == LegKind::Decode);
  REQUIRE(B.leg(9).Source->Handle == "handle-1");
}

// Guards against engine memory that stays reserved after the caller has
// disconnected.
TEST_CASE("a disconnect of the caller frees engines and KV cache at once") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onCallerDisconnected(B.Now);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{2});
  REQUIRE(B.Io.Dropped == std::vector<std::string>{"handle-1"});
  REQUIRE(B.Table.ownLoads().empty());
  REQUIRE(B.Io.FinalAnswers == 0);
}

// Guards against running a queued request after its API key was revoked.
TEST_CASE("a request is rejected if its key was revoked while it waited") {
  StreamFixture B;
  B.Io.Allowed = false;
  const auto F = B.startStream(B.stream(false));
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.RejectedWith == RejectReason::NoKey);
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a caller that waits for ever on a started stream whose key is
// revoked before the stream can resume at another engine.
TEST_CASE("a started stream is aborted if its key was revoked") {
  StreamFixture B;
  const auto F = B.startedStream(true);
  B.Io.Allowed = false;
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Aborted);
  REQUIRE(B.Io.AbortedWith == RejectReason::NoKey);
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE(F->done());
}

// Guards against requests without a final answer at their route's timeout.
TEST_CASE("a request that is still queued at its timeout gets an answer") {
  FlowFixture B;
  const auto F =
      makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
  F->start(B.Now);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Io.RejectedWith == RejectReason::NotRunInTime);
  REQUIRE(B.Scheduler.queued() == 0);
}

// Guards against a request that ends one engine after the other by itself, as
// its route allows more runs.
TEST_CASE("a stream that broke twice before its answer is not run again") {
  StreamFixture B;
  for (const char *Id : {"d3", "d4", "d5"})
    B.add(engine(Id, EngineStage::Decode));
  FlowRequest R = B.stream(true);
  R.Route.MaxAttempts = 5;
  R.Info.PromptParts = {"first", "own"};
  const auto F = B.startStream(std::move(R));
  unsigned Decodes = 0;
  while (!F->done() && Decodes < 5) {
    const FlowIo::LegId Leg = B.Io.lastLeg();
    if (B.leg(Leg).Kind == LegKind::Prefill) {
      B.answer(*F, Leg, answered(200, "handle"));
      continue;
    }
    ++Decodes;
    F->onStreamHead(Leg, head(), B.Now);
    F->onStreamEnd(Leg, false, B.Now);
    B.poll(*F);
  }
  REQUIRE(Decodes == 2);
  REQUIRE(B.Crashes.Prompts.crashCount() == 2);
  REQUIRE(B.Io.FinalAnswers == 1);
}

} // namespace hyssoprail::routing
