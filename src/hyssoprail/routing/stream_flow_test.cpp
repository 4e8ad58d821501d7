#include <catch2/catch.hpp>

#include "stream_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::engine;
using testing::FlowFixture;
using testing::head;
using testing::StreamFixture;

/// The head of a stream whose end is told by its chunks.
HttpResponse framedHead() {
  HttpResponse H = head();
  H.Headers.push_back({"Transfer-Encoding", "chunked"});
  return H;
}

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

// Guards against a broken answer instead of an error: an engine sends the head
// of its answer and breaks before the first event.
TEST_CASE("an answer without an event can still become an error") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onStreamHead(2, head(), B.Now);
  REQUIRE(B.Io.Status == 0);
  F->onStreamEnd(2, false, B.Now);
  REQUIRE_FALSE(B.Io.Aborted);
  REQUIRE(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
  REQUIRE(B.Io.FinalAnswers == 1);

  StreamFixture Silent;
  const auto G = Silent.startStream(Silent.stream(false));
  Silent.answer(*G, 1, answered(200, "handle-1"));
  G->onStreamHead(2, head(), Silent.Now);
  Silent.Now = G->nextDeadline();
  G->onTimer(Silent.Now);
  REQUIRE_FALSE(Silent.Io.Aborted);
  REQUIRE(Silent.Io.RejectedWith == RejectReason::TimedOut);
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

// Guards against a whole stream that ends as broken, and an engine that counts
// as crashed: the connection broke between the last event and the end, so the
// engine that continues has nothing left to send.
TEST_CASE("a stream that is resumed after its last event is complete") {
  StreamFixture B;
  const bool Repeats = GENERATE(false, true);
  const auto F = B.startedStream(true, {"first", "own"});
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  B.answer(*F, 3, answered(200, "handle-2"));
  F->onStreamHead(4, framedHead(), B.Now);
  if (Repeats)
    F->onStreamData(4, "id: 1\ndata: a\n\n", B.Now);
  F->onStreamEnd(4, true, B.Now);
  CHECK(B.Io.Forwarded == "id: 1\ndata: a\n\n");
  CHECK_FALSE(B.Io.Aborted);
  CHECK(B.Io.FinalAnswers == 1);
  CHECK(B.Crashes.Prompts.crashCount() == 1); // of the first engine
  CHECK(F->done());
}

// Guards against a 502 for a caller that resumes a stream of which it has
// received all events.
TEST_CASE("a caller that resumes after the last event gets an empty stream") {
  StreamFixture B;
  FlowRequest R = B.stream(true);
  R.Info.Resumes = true;
  R.Info.LastEventId = 7;
  const auto F = B.startStream(std::move(R));
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onStreamHead(2, framedHead(), B.Now);
  F->onStreamEnd(2, true, B.Now);
  CHECK(B.Io.Status == 200);
  CHECK(B.Io.Forwarded.empty());
  CHECK(B.Io.FinalAnswers == 1);
  CHECK(B.Crashes.Prompts.crashCount() == 0);
}

// Guards against a stream that looks complete before its last event: an engine
// that crashes after its head ends the connection, too, and a first engine
// without any event has not answered.
TEST_CASE("an empty stream is complete only if its end is certain") {
  StreamFixture B;
  const bool Resumed = GENERATE(true, false);
  FlowRequest R = B.stream(false);
  R.Info.Resumes = Resumed;
  R.Info.LastEventId = 7;
  const auto F = B.startStream(std::move(R));
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onStreamHead(2, Resumed ? head() : framedHead(), B.Now);
  F->onStreamEnd(2, true, B.Now);
  CHECK(B.Io.Status == 0);
  CHECK(B.Io.RejectedWith == RejectReason::OutcomeUnknown);
}

// Guards against a whole stream that is broken off for a line end behind its
// last event; the caller gets it, too, as the body is passed on unchanged.
TEST_CASE("a stream with a line end after its last event is complete") {
  StreamFixture B;
  const std::string Rest = GENERATE(as<std::string>{}, "\n", "\r\n");
  const auto F = B.startedStream(false);
  F->onStreamData(2, Rest, B.Now);
  F->onStreamEnd(2, true, B.Now);
  CHECK(B.Io.Forwarded == "id: 1\ndata: a\n\n" + Rest);
  CHECK_FALSE(B.Io.Aborted);
  CHECK(B.Io.FinalAnswers == 1);
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

// Guards against pieces of two runs in one response: without ids an engine
// cannot be told where the stream goes on, and begins anew.
TEST_CASE("a stream is not continued after events without ids") {
  for (const std::string Unnamed :
       {"data: b\n\n", "id: e-2\ndata: b\n\n", "id: 2-1\ndata: b\n\n",
        "id: -2\ndata: b\n\n", "id: 99999999999999999999\ndata: b\n\n"}) {
    CAPTURE(Unnamed);
    StreamFixture B;
    const auto F = B.startedStream(true);
    F->onStreamData(2, Unnamed, B.Now);
    F->onStreamEnd(2, false, B.Now);
    B.poll(*F);
    CHECK(B.Io.Legs.size() == 2);
    CHECK(B.Io.Aborted);
    CHECK(B.Io.Forwarded == "id: 1\ndata: a\n\n" + Unnamed);
  }
}

// Guards against streams that are broken off although nothing came twice:
// comments and fields without data are no pieces of a stream.
TEST_CASE("a stream is continued after comments and other fields") {
  StreamFixture B;
  const auto F = B.startedStream(true);
  F->onStreamData(2, ": alive\n\nretry: 100\n\nid: 2\n\n", B.Now);
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Legs.size() == 4);
  CHECK(B.leg(4).ResumeAfter == 2);
}

// Guards against a second run beside the first one of a stream that can only
// begin anew.
TEST_CASE("a silent engine is not replaced after events without ids") {
  StreamFixture B;
  const auto F = B.startedStream(true);
  F->onStreamData(2, "data: b\n\n", B.Now);
  for (int I = 0; I < 20 && !F->done() && B.Io.Legs.size() == 2; ++I) {
    B.Now = F->nextDeadline();
    F->onTimer(B.Now);
    B.poll(*F);
  }
  CHECK(B.Io.Legs.size() == 2);
}

// Guards against a missing piece: whole events before one that is too long
// count as received, so the caller must get them.
TEST_CASE("events before one that is too long are passed on") {
  StreamFixture B;
  const auto F = B.startedStream(true);
  F->onStreamData(2,
                  "id: 2\ndata: b\n\nid: 3\ndata: " +
                      std::string(std::size_t{300} * 1024, 'x'),
                  B.Now);
  B.poll(*F);
  CHECK(B.Io.Forwarded == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Legs.size() == 4);
  CHECK(B.leg(4).ResumeAfter == 2);
}

// Guards against a stream that ends before its last event: an encoding other
// than chunks has no last chunk, so the end of the connection is all that such
// a response has.
TEST_CASE("only chunks tell the end of a continued stream without events") {
  for (const std::string Encoding : {"identity", "gzip", "chunked, gzip"}) {
    CAPTURE(Encoding);
    StreamFixture B;
    const auto F = B.startedStream(true);
    F->onStreamEnd(2, false, B.Now);
    B.poll(*F);
    B.answer(*F, 3, answered(200, "handle-2"));
    HttpResponse Head = head();
    Head.Headers.push_back({"Transfer-Encoding", Encoding});
    F->onStreamHead(4, Head, B.Now);
    F->onStreamEnd(4, true, B.Now);
    CHECK(B.Io.Aborted);
  }
}

// Guards against a part of another run: a route that is not resumable runs a
// request anew, whatever event its caller names.
TEST_CASE("a stream that cannot be resumed is passed on as it is") {
  StreamFixture B;
  FlowRequest R = B.stream(false);
  R.Info.Resumes = true;
  R.Info.LastEventId = 2;
  const auto F = B.startStream(std::move(R));
  B.answer(*F, 1, answered(200, "handle-1"));
  const std::string Whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                            "id: 3\ndata: c\n\n";
  CHECK_FALSE(B.leg(2).ResumeAfter.has_value());
  F->onStreamHead(2, head(), B.Now);
  F->onStreamData(2, Whole, B.Now);
  F->onStreamEnd(2, true, B.Now);
  CHECK(B.Io.Forwarded == Whole);
  CHECK_FALSE(B.Io.Aborted);
}

} // namespace hyssoprail::routing
