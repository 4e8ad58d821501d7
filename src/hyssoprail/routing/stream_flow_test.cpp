#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::ended;
using testing::engine;
using testing::FlowBench;

HttpResponse head() {
  HttpResponse H;
  H.Status = 200;
  return H;
}

struct StreamBench : FlowBench {
  StreamBench() {
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
  std::unique_ptr<Flow> startedStream(bool Resumable) {
    auto F = startStream(stream(Resumable));
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

// Guards against a path in which prefill, transfer and decode do not meet.
TEST_CASE("a stream is prefilled, fetched and delivered") {
  StreamBench B;
  const auto F = B.startedStream(false);
  REQUIRE(B.leg(1).Kind == LegKind::Prefill);
  REQUIRE(B.leg(2).Kind == LegKind::Decode);
  REQUIRE(B.leg(2).Source->Handle == "handle-1");
  F->onStreamData(2, "id: 2\ndata: b\n\n", B.Now);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(B.Io.Sent == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(B.Io.Answers == 1);
  REQUIRE(F->done());
  REQUIRE(B.Table.ownLoads().empty());
  REQUIRE(B.Io.Dropped.empty());
}

// Guards against a stream that ends as complete in the middle of an event.
TEST_CASE("a stream that ends inside an event is broken off") {
  StreamBench B;
  const auto F = B.startedStream(false);
  F->onStreamData(2, "id: 2\ndata: ha", B.Now);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(B.Io.Aborted);
  REQUIRE(B.Io.Sent == "id: 1\ndata: a\n\n");
}

// Guards against a second run of a stream that may run once only.
TEST_CASE("a stream that may not be resumed is not run again") {
  StreamBench B;
  const auto F = B.startedStream(false);
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Aborted);

  StreamBench Early;
  const auto G = Early.startStream(Early.stream(false));
  Early.answer(*G, 1, answered(200, "handle-1"));
  Early.answer(*G, 2, ended(LegOutcome::Broken));
  REQUIRE(Early.Io.Legs.size() == 2);
  REQUIRE(Early.Io.Rejected == RejectReason::OutcomeUnknown);
}

// Guards against events that are missing or come twice when a stream goes on at
// another engine.
TEST_CASE("a stream that may be resumed goes on after its last event") {
  StreamBench B;
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
  REQUIRE(B.Io.Sent == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(B.Io.Answers == 1);
  REQUIRE_FALSE(B.Io.Aborted);
}

// Replays a crowded engine that pauses while no other has room: the run must
// not be ended, since its answer may still come.
TEST_CASE("a silent engine is given up only if another can go on") {
  FlowBench B;
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
  REQUIRE(B.Io.Cancelled.size() == 1);
  REQUIRE(B.Io.Legs.size() == 3);
}

// Replays a decode engine that is fuller than its known load: the KV cache
// still lives, so it goes to another engine and the prompt is not read again.
TEST_CASE("a refused KV cache is offered to another engine first") {
  StreamBench B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  B.answer(*F, 2, ended(LegOutcome::NotRun));
  REQUIRE(B.leg(3).Kind == LegKind::Decode);
  REQUIRE(B.leg(3).Source->Handle == "handle-1");
  REQUIRE(B.leg(3).EndpointId != B.leg(2).EndpointId);
}

// Replays an engine whose handles lapse at once: after two refusals the cache
// is lost, the prompt is read at another engine, and that engine reads no more.
TEST_CASE("a KV cache that two engines refuse is read anew elsewhere") {
  StreamBench B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  B.answer(*F, 2, ended(LegOutcome::NotRun));
  B.answer(*F, 3, ended(LegOutcome::NotRun));
  B.Now += milliseconds(200); // both engines rest after their refusals
  B.poll(*F);
  REQUIRE(B.Io.Dropped == std::vector<std::string>{"handle-1"});
  REQUIRE(B.leg(4).Kind == LegKind::Prefill);
  REQUIRE(B.leg(4).EndpointId != B.leg(1).EndpointId);
  REQUIRE(B.Table.find(B.leg(1).EndpointId)->HandlesLostUntil > B.Now);
}

// Replays a fleet in which every send is refused: sends beyond the first and
// the accepted prefill stay within the retry budget. A day of lost zones broke
// it before, and one of lost zones and silent engines, as the decode after a
// prefill that no engine accepted was free.
TEST_CASE("repeated sends draw on the retry budget") {
  StreamBench B;
  B.Retries = RetryLimiter({0, 1.3, milliseconds(10'000)});
  const auto F = B.startStream(B.stream(true));
  B.answer(*F, 1, ended(LegOutcome::Broken));
  B.answer(*F, 2, ended(LegOutcome::Broken));
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Rejected == RejectReason::NotRun);
  REQUIRE(B.Io.Return > milliseconds(0));
}

// Guards against a send that reached nobody and still counts as a repeat.
TEST_CASE("a send that reached no engine draws on no budget") {
  StreamBench B;
  B.Retries = RetryLimiter({0, 0, milliseconds(10'000)});
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, ended(LegOutcome::NotSent));
  REQUIRE(B.leg(2).Kind == LegKind::Prefill);
  B.answer(*F, 2, answered(200, "handle-1"));
  B.answer(*F, 3, ended(LegOutcome::NotSent));
  REQUIRE(B.leg(4).Kind == LegKind::Decode);
  REQUIRE(B.leg(4).Source->Handle == "handle-1");
}

// Replays a lost zone: many engines refuse connections before their
// registrations lapse. The flow used to give up after four of them although
// others had room, and the prompt had been read in vain.
TEST_CASE("engines that cannot be reached do not use up the sends") {
  StreamBench B;
  for (int I = 3; I <= 9; ++I)
    B.add(engine("d" + std::to_string(I), EngineStage::Decode));
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  for (FlowIo::LegId Leg = 2; Leg <= 8; ++Leg)
    B.answer(*F, Leg, ended(LegOutcome::NotSent));
  REQUIRE_FALSE(F->done());
  REQUIRE(B.leg(9).Kind == LegKind::Decode);
  REQUIRE(B.leg(9).Source->Handle == "handle-1");
}

// Guards against engine memory that stays held after the caller has left.
TEST_CASE("a caller that leaves frees engines and KV cache at once") {
  StreamBench B;
  const auto F = B.startStream(B.stream(false));
  B.answer(*F, 1, answered(200, "handle-1"));
  F->onCallerDisconnected(B.Now);
  REQUIRE(B.Io.Cancelled == std::vector<FlowIo::LegId>{2});
  REQUIRE(B.Io.Dropped == std::vector<std::string>{"handle-1"});
  REQUIRE(B.Table.ownLoads().empty());
  REQUIRE(B.Io.Answers == 0);
}

// Guards against a request that waits and runs although its key was withdrawn.
TEST_CASE("a key that was withdrawn while the request waited is refused") {
  StreamBench B;
  B.Io.Allowed = false;
  const auto F = B.startStream(B.stream(false));
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.Rejected == RejectReason::NoKey);
  REQUIRE(B.Table.ownLoads().empty());
}

// Guards against a caller that waits for ever on a stream that has begun, when
// its key is withdrawn before it can go on elsewhere.
TEST_CASE("a begun stream whose key was withdrawn is broken off") {
  StreamBench B;
  const auto F = B.startedStream(true);
  B.Io.Allowed = false;
  F->onStreamEnd(2, false, B.Now);
  B.poll(*F);
  B.answer(*F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Aborted);
  REQUIRE(B.Io.Answers == 1);
  REQUIRE(F->done());
}

// Guards against requests without a final answer at their route's timeout.
TEST_CASE("a request that still waits at its timeout gets its answer") {
  FlowBench B;
  const auto F = makeStreamFlow(B.shared(), B.request(RouteKind::Stream), B.Io);
  F->start(B.Now);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Io.Rejected == RejectReason::NotRunInTime);
  REQUIRE(B.Scheduler.queued() == 0);
}

} // namespace hyssoprail::routing
