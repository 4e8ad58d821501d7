// Streams of an entry whose engines have asked it for pauses.
#include <catch2/catch.hpp>

#include "hyssoprail/routing/admission_client.hpp"

#include "stream_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::engine;
using testing::head;
using testing::StreamFixture;

/// A started stream; its decode engine is Own, the only other one is Other.
struct PausedStream : StreamFixture {
  explicit PausedStream(bool Resumable = true)
      : F(startedStream(Resumable)), Own(leg(2).EndpointId),
        Other(Own == "d1" ? "d2" : "d1") {}

  void pause(const std::string &Id, milliseconds Span) {
    REQUIRE(Table.recordPause(Id, 0, Now + Span));
  }

  void breakRun() {
    F->onStreamEnd(2, false, Now);
    poll(*F);
  }

  /// Lets \p Span pass. Timers are late by up to 10 ms.
  void pass(milliseconds Span) {
    for (const TimePoint End = Now + Span; Now < End && !F->done();) {
      Now += milliseconds(10);
      if (F->nextDeadline() <= Now)
        F->onTimer(Now);
      poll(*F);
    }
  }

  /// The run of the last leg gives the rest of the stream.
  void goOn() {
    const FlowIo::LegId Leg = Io.lastLeg();
    F->onStreamHead(Leg, head(), Now);
    F->onStreamData(Leg, "id: 2\ndata: b\n\n", Now);
    F->onStreamEnd(Leg, true, Now);
  }

  void requireWhole() const {
    REQUIRE(Io.Forwarded == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    requireEnded(false);
  }

  void requireEnded(bool Aborted) const {
    REQUIRE(F->done());
    REQUIRE(Io.FinalAnswers == 1);
    REQUIRE(Io.Aborted == Aborted);
    requireNothingHeld();
  }

  void requireNothingHeld() const {
    REQUIRE(Table.ownLoads().empty());
    REQUIRE(Scheduler.queued() == 0);
  }

  std::unique_ptr<Flow> F;
  std::string Own;
  std::string Other;
};

} // namespace

// Guards against a stream that is broken off because all engines are paused,
// although the shortest pause ends before its caller leaves.
TEST_CASE("a started stream waits for the end of the shortest pause") {
  PausedStream B;
  B.pause(B.Own, milliseconds(3'000));
  B.pause(B.Other, milliseconds(500));
  B.breakRun();
  B.pass(milliseconds(490));
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.Io.Legs.size() == 2);
  B.requireNothingHeld();
  B.pass(milliseconds(30));
  REQUIRE(B.Io.Legs.size() == 3);
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.Io.Legs.size() == 4);
  REQUIRE(B.leg(4).EndpointId == B.Other);
  REQUIRE(B.leg(4).ResumeAfter == 1);
  B.goOn();
  B.requireWhole();
}

// Guards against an engine that stays excluded after the pause with which it
// refused the stream, as the only one that could continue it.
TEST_CASE("a stream continues at the engine that asked for the pause") {
  PausedStream B;
  B.pause(B.Own, milliseconds(30'000));
  B.breakRun();
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).EndpointId == B.Other);
  B.pause(B.Other, milliseconds(1'000));
  LegResult R = endedLeg(LegOutcome::NotRun);
  R.PausesSender = true;
  B.answer(*B.F, 4, R);
  B.pass(milliseconds(980));
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.Io.Legs.size() == 4);
  B.requireNothingHeld();
  // The engines keep a KV cache for 500 ms.
  REQUIRE(B.Io.Dropped == std::vector<std::string>{"handle-2"});
  B.pass(milliseconds(50));
  REQUIRE(B.Io.Legs.size() == 5);
  B.answer(*B.F, 5, answered(200, "handle-3"));
  REQUIRE(B.leg(6).EndpointId == B.Other);
  B.goOn();
  B.requireWhole();
}

// Guards against a second prefill after a pause that is shorter than the time
// for which the KV cache is kept.
TEST_CASE("a short pause does not cost a stream its KV cache") {
  PausedStream B;
  B.pause(B.Own, milliseconds(30'000));
  B.breakRun();
  B.answer(*B.F, 3, answered(200, "handle-2"));
  B.pause(B.Other, milliseconds(200));
  LegResult R = endedLeg(LegOutcome::NotRun);
  R.PausesSender = true;
  B.answer(*B.F, 4, R);
  B.pass(milliseconds(220));
  REQUIRE(B.Io.Legs.size() == 5);
  REQUIRE(B.leg(5).Kind == LegKind::Decode);
  REQUIRE(B.leg(5).Source->Handle == "handle-2");
  B.goOn();
  B.requireWhole();
}

// Guards against callers that wait for nothing: no pause ends while they stay.
TEST_CASE("a started stream ends at once if all pauses are too long") {
  PausedStream B;
  for (const std::string &Id : {B.Own, B.Other})
    B.pause(Id, milliseconds(3'500)); // callers leave after 3.6 s
  B.breakRun();
  B.requireEnded(true);
  REQUIRE(B.Io.AbortedWith == RejectReason::OutcomeUnknown);
  REQUIRE(B.Io.Legs.size() == 2);
}

// Guards against two answers, or work that is left, when a request ends while
// it waits for the end of a pause.
TEST_CASE("a stream that waits for the end of a pause ends once") {
  PausedStream B;
  for (const std::string &Id : {B.Own, B.Other})
    B.pause(Id, milliseconds(1'000));
  B.breakRun();
  REQUIRE_FALSE(B.F->done());
  B.pass(milliseconds(300));
  SECTION("its caller leaves") {
    B.F->onCallerDisconnected(B.Now);
    REQUIRE(B.Io.FinalAnswers == 0);
  }
  SECTION("the process stops") {
    B.F->endBy(B.Now + milliseconds(200));
    B.pass(milliseconds(200));
    REQUIRE(B.Io.FinalAnswers == 1);
    REQUIRE(B.Io.Aborted);
  }
  SECTION("the engines ask for longer pauses") {
    for (const std::string &Id : {B.Own, B.Other})
      B.pause(Id, milliseconds(10'000));
    B.pass(milliseconds(1'000));
    REQUIRE(B.Io.FinalAnswers == 1);
    REQUIRE(B.Io.Aborted);
  }
  REQUIRE(B.F->done());
  REQUIRE(B.Io.Legs.size() == 2);
  B.requireNothingHeld();
  const unsigned Answers = B.Io.FinalAnswers;
  B.pass(milliseconds(2'000));
  REQUIRE(B.Io.FinalAnswers == Answers);
  REQUIRE(B.Io.Legs.size() == 2);
}

// Guards against a stream that waits for the end of a pause although another
// engine has become ready.
TEST_CASE("a stream that waits for the end of a pause uses a new engine") {
  PausedStream B;
  for (const std::string &Id : {B.Own, B.Other})
    B.pause(Id, milliseconds(3'000));
  B.breakRun();
  B.pass(milliseconds(200));
  B.add(engine("d3", EngineStage::Decode));
  B.pass(milliseconds(150));
  REQUIRE(B.Io.Legs.size() == 3);
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).EndpointId == "d3");
  B.goOn();
  B.requireWhole();
}

// Guards against a stream that is broken off because the last engine asks for a
// pause while the stream is queued: AdmissionClient then refuses it.
TEST_CASE("a queued stream waits for the end of a pause") {
  PausedStream B;
  B.F->onStreamEnd(2, false, B.Now);
  for (const std::string &Id : {B.Own, B.Other})
    B.pause(Id, milliseconds(500));
  B.Scheduler.cancel("1/0");
  StreamRefusal R;
  R.Id = "1/0";
  SECTION("refused because of the pauses") {
    R.Reason = StreamRefusalReason::QueueTooLong;
    B.F->onRefused(R, B.Now);
    REQUIRE(B.Io.FinalAnswers == 0);
    B.pass(milliseconds(520));
    REQUIRE(B.Io.Legs.size() == 3);
    B.answer(*B.F, 3, answered(200, "handle-2"));
    B.goOn();
    B.requireWhole();
  }
  SECTION("refused for another reason") {
    R.Reason = StreamRefusalReason::TooLarge;
    B.F->onRefused(R, B.Now);
    B.requireEnded(true);
  }
}

// Guards against a silent engine that is left for engines to which this entry
// may not send: they have room, but are paused or leave.
TEST_CASE("a silent engine is not left for engines that refuse this entry") {
  PausedStream B;
  SECTION("they are paused") { B.pause(B.Other, milliseconds(5'000)); }
  SECTION("they leave") { B.Table.recordLeaving(B.Other, 0); }
  SECTION("one is paused, one is full") {
    B.pause(B.Other, milliseconds(5'000));
    B.add(engine("d4", EngineStage::Decode));
    B.Table.reserve("d4", {1, 9'500, 0});
  }
  B.pass(milliseconds(1'500));
  REQUIRE(B.Table.find(B.Own)->Health.usable(B.Now));
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Io.Cancelled.empty());
  REQUIRE(B.Scheduler.queued() == 0);
  B.add(engine("d3", EngineStage::Decode));
  B.pass(milliseconds(350));
  REQUIRE(B.Io.Legs.size() == 3);
  B.answer(*B.F, 3, answered(200, "handle-2"));
  REQUIRE(B.leg(4).EndpointId == "d3");
  B.goOn();
  B.Table.release("d4", {1, 9'500, 0});
  B.requireWhole();
}

// Guards against room that the coordinator tells of at an engine that refuses
// this entry, when it tells of no other one with enough.
TEST_CASE("room at an engine that refuses this entry does not count") {
  AdmissionClient Client;
  wire::CoordinatorUpdate Update;
  wire::ServiceRoom &Room = *Update.add_rooms();
  Room.set_service("assistant");
  Room.set_endpoint("d1");
  Room.set_largest_free(9'000);
  Room.set_second_largest_free(2'000);
  Client.applyUpdate(Update, testing::Start);
  const auto HasRoom = [&](std::int64_t Tokens, const std::string &Refusing) {
    return Client.hasRoom(
        "assistant", Tokens,
        [&](const std::string &Id) { return Id != Refusing; }, testing::Start);
  };
  REQUIRE(HasRoom(9'000, "d2"));
  REQUIRE_FALSE(HasRoom(9'000, "d1"));
  REQUIRE(HasRoom(2'000, "d1"));
}

// Guards against the same at an entry that is not the coordinator: of two
// engines, the second most room is that of the silent one itself.
TEST_CASE("a silent engine is not left for its own room") {
  StreamFixture B;
  AdmissionClient Client;
  SharedFlowState State{B.Table, B.EngineSignals, B.Crashes, Client,
                        B.Calls, B.Retries,       B.Lengths, "zone-a"};
  const auto F = makeStreamFlow(State, B.stream(true), B.Io);
  F->start(B.Now);
  wire::CoordinatorUpdate Update;
  wire::StreamGrant &Grant = *Update.add_grants();
  Grant.set_key(1);
  Grant.set_decode("d1");
  wire::ServiceRoom &Room = *Update.add_rooms();
  Room.set_service("assistant");
  Room.set_endpoint("d2");
  Room.set_largest_free(9'000);
  Room.set_second_largest_free(8'000);
  const auto Decisions = Client.applyUpdate(Update, B.Now);
  F->onPlaced(std::get<StreamPlacement>(Decisions.at(0)), B.Now);
  F->onStreamHead(1, head(), B.Now);
  F->onStreamData(1, "id: 1\ndata: a\n\n", B.Now);
  REQUIRE(B.Table.recordPause("d2", 0, B.Now + milliseconds(5'000)));
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  REQUIRE(B.Table.find("d1")->Health.usable(B.Now));
  REQUIRE(Client.pendingCount() == 0);
}

// Guards against requests that free a KV cache at an engine that has asked this
// entry for a pause or leaves, or that may do so: its registration was removed.
TEST_CASE("an engine that refuses this entry is not told to free a KV cache") {
  StreamFixture B;
  const auto F = B.startStream(B.stream(true));
  B.answer(*F, 1, answered(200, "handle-1"));
  REQUIRE(B.leg(2).Kind == LegKind::Decode);
  const std::string Prefill = B.leg(1).EndpointId;
  std::vector<std::string> Expected;
  SECTION("it is paused") {
    B.Table.recordPause(Prefill, 0, B.Now + milliseconds(100));
  }
  SECTION("its pause has ended") {
    B.Table.recordPause(Prefill, 0, B.Now + milliseconds(100));
    B.Now += milliseconds(100);
    Expected = {"handle-1"};
  }
  SECTION("it leaves") { B.Table.recordLeaving(Prefill, 0); }
  SECTION("it left and its registration was removed") {
    B.Table.recordLeaving(Prefill, 0);
    B.Table.remove(Prefill);
  }
  SECTION("it takes work") { Expected = {"handle-1"}; }
  F->onCallerDisconnected(B.Now);
  REQUIRE(B.Io.Dropped == Expected);
}

} // namespace hyssoprail::routing
