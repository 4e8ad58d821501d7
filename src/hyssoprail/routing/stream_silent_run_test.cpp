// Streams whose engine falls silent.
#include <catch2/catch.hpp>

#include "stream_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::engine;
using testing::FlowFixture;
using testing::head;
using testing::Start;
using testing::StreamFixture;

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

} // namespace hyssoprail::routing
