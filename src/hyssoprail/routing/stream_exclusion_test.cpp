// Streams whose entry cannot use the engines that the coordinator chooses.
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
using testing::testConfig;

/// An entry and a coordinator on another VM that knows the same engines.
struct RemoteCoordinator : StreamFixture {
  RemoteCoordinator() {
    Coordinator.configure(testConfig());
    Table.forEach([&](Endpoint &E) { CoordinatorTable.apply(E.Record); });
  }

  std::unique_ptr<Flow> start() {
    SharedFlowState State{Table, EngineSignals, Crashes, Coordinator,
                          Calls, Retries,       Lengths, "zone-a"};
    auto F = makeStreamFlow(State, stream(true), Io);
    F->start(Now);
    decide(*F);
    return F;
  }

  /// Delivers decisions until there are no more.
  void decide(Flow &F) {
    for (auto Decisions = Coordinator.poll(Now); !Decisions.empty();
         Decisions = Coordinator.poll(Now))
      for (const StreamDecision &D : Decisions) {
        if (const auto *Place = std::get_if<StreamPlacement>(&D))
          F.onPlaced(*Place, Now);
        else
          F.onRefused(std::get<StreamRefusal>(D), Now);
      }
  }

  /// Lets \p Span pass. Timers are late by up to 10 ms.
  void pass(Flow &F, milliseconds Span) {
    for (const TimePoint End = Now + Span; Now < End && !F.done();) {
      Now += milliseconds(10);
      if (F.nextDeadline() <= Now)
        F.onTimer(Now);
      decide(F);
    }
  }

  /// Fills \p Id, so that the coordinator chooses other engines.
  void fill(const std::string &Id) {
    CoordinatorTable.reserve(Id, {1, 11'000, 0});
  }

  /// The coordinator learns of a decode engine before this entry does.
  void registerAtCoordinator(const std::string &Id) {
    CoordinatorTable.apply(engine(Id, EngineStage::Decode));
  }

  void complete(Flow &F, FlowIo::LegId Leg) {
    F.onStreamHead(Leg, head(), Now);
    F.onStreamData(Leg, "id: 1\ndata: a\n\n", Now);
    F.onStreamEnd(Leg, true, Now);
    REQUIRE(F.done());
    REQUIRE(Io.FinalAnswers == 1);
    REQUIRE_FALSE(Io.Aborted);
    REQUIRE(Coordinator.queued() == 0);
    REQUIRE_FALSE(Coordinator.isRunning("1/0"));
  }

  EndpointTable CoordinatorTable;
  StreamScheduler Coordinator{{}, CoordinatorTable};
};

} // namespace

// Guards against a request that goes back and forth between engines that have
// just registered and are not known to its entry yet until it is rejected.
TEST_CASE("a stream avoids all engines that its entry does not know yet") {
  RemoteCoordinator B;
  B.CoordinatorTable.reserve("d1", {1, 4'000, 0});
  B.CoordinatorTable.reserve("d2", {1, 4'000, 0});
  for (const std::string Id : {"d3", "d4", "d5"})
    B.registerAtCoordinator(Id);
  const auto F = B.start();
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.leg(1).Kind == LegKind::Prefill);
  B.answer(*F, 1, answered(200, "handle-1"));
  B.decide(*F);
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.leg(2).EndpointId == "d1");
  REQUIRE(B.leg(2).Source->Handle == "handle-1");
  B.complete(*F, 2);
}

// Guards against a request that stays excluded from an engine although its
// entry has learned of it, or its pause has ended.
TEST_CASE("a queued stream uses an engine as soon as its entry can") {
  RemoteCoordinator B;
  B.fill("d2");
  SECTION("its entry learns of the engine") {
    B.fill("d1");
    B.registerAtCoordinator("d3");
    const auto F = B.start();
    B.answer(*F, 1, answered(200, "handle-1"));
    B.pass(*F, milliseconds(200));
    REQUIRE(B.Io.FinalAnswers == 0);
    REQUIRE(B.Io.Legs.size() == 1);
    REQUIRE(B.Coordinator.queued() == 1);
    B.add(engine("d3", EngineStage::Decode));
    B.pass(*F, milliseconds(110));
    REQUIRE(B.leg(2).EndpointId == "d3");
    REQUIRE(B.leg(2).Source->Handle == "handle-1");
    B.complete(*F, 2);
  }
  SECTION("the engine's pause ends") {
    B.add(engine("d4", EngineStage::Decode)); // takes work, as far as is known
    REQUIRE(B.Table.recordPause("d1", 0, B.Now + milliseconds(300)));
    const auto F = B.start();
    B.pass(*F, milliseconds(290));
    REQUIRE(B.Io.Legs.empty());
    REQUIRE(B.Coordinator.queued() == 1);
    B.pass(*F, milliseconds(120));
    B.answer(*F, 1, answered(200, "handle-1"));
    REQUIRE(B.leg(2).EndpointId == "d1");
    B.complete(*F, 2);
  }
}

// Guards against a request that stays excluded from the engine which refused it
// with a pause until it is given up, although the pause has ended.
TEST_CASE("a stream returns to the engine that paused it") {
  RemoteCoordinator B;
  B.fill("d2");
  const auto F = B.start();
  B.answer(*F, 1, answered(200, "handle-1"));
  REQUIRE(B.leg(2).EndpointId == "d1");
  REQUIRE(B.Table.recordPause("d1", 0, B.Now + milliseconds(300)));
  LegResult Refusal = endedLeg(LegOutcome::NotRun);
  Refusal.PausesSender = true;
  B.answer(*F, 2, Refusal);
  B.pass(*F, milliseconds(290));
  REQUIRE(B.Io.Legs.size() == 2);
  REQUIRE(B.Coordinator.queued() == 1);
  B.pass(*F, milliseconds(120));
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE(B.leg(3).EndpointId == "d1");
  B.complete(*F, 3);
}

// Guards against a request that goes back and forth between prefill engines
// that its entry cannot use until it is rejected, and against a prompt that its
// decode engine reads although a prefill engine is free.
TEST_CASE("a stream avoids all prefill engines that its entry cannot use") {
  RemoteCoordinator B;
  SECTION("the entry does not know them yet") {
    for (const std::string Id : {"p3", "p4"})
      B.CoordinatorTable.apply(engine(Id, EngineStage::Prefill));
    B.CoordinatorTable.reserve("p1", {1, 0, 2'000});
  }
  SECTION("the coordinator does not know yet that they are draining") {
    for (const std::string Id : {"p3", "p4"}) {
      EndpointRecord E = engine(Id, EngineStage::Prefill);
      B.CoordinatorTable.apply(E);
      E.Draining = true;
      ++E.Sequence;
      B.Table.apply(E);
    }
    B.CoordinatorTable.reserve("p1", {1, 0, 2'000});
  }
  const auto F = B.start();
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.leg(1).Kind == LegKind::Prefill);
  REQUIRE(B.leg(1).EndpointId == "p1");
  B.answer(*F, 1, answered(200, "handle-1"));
  B.complete(*F, 2);
}

// Guards against a request that is rejected because it was placed at too many
// prefill engines which its entry does not know.
TEST_CASE("a decode engine reads the prompt if many prefill engines are new") {
  RemoteCoordinator B;
  B.CoordinatorTable.reserve("p1", {1, 0, 4'000});
  B.CoordinatorTable.reserve("p2", {1, 0, 4'000});
  for (unsigned I = 0; I < 40; ++I)
    B.CoordinatorTable.apply(
        engine("new-" + std::to_string(I), EngineStage::Prefill));
  const auto F = B.start();
  REQUIRE(B.Io.FinalAnswers == 0);
  REQUIRE(B.leg(1).Kind == LegKind::Decode);
  B.complete(*F, 1);
}

// Guards against requests that are rejected while engines are free, because a
// zone of engines has just registered and their entry does not know them yet.
TEST_CASE("a stream waits while its entry learns of many engines") {
  RemoteCoordinator B;
  B.CoordinatorTable.reserve("d1", {1, 4'000, 0});
  B.CoordinatorTable.reserve("d2", {1, 4'000, 0});
  for (unsigned I = 0; I < 40; ++I)
    B.registerAtCoordinator("new-" + std::to_string(I));
  const auto F = B.start();
  B.answer(*F, 1, answered(200, "handle-1"));
  B.pass(*F, milliseconds(50));
  REQUIRE(B.Io.FinalAnswers == 0);
  SECTION("until it has found one that its entry knows") {
    B.pass(*F, milliseconds(600));
    REQUIRE(B.Io.Legs.size() == 2);
    REQUIRE(B.leg(2).EndpointId == "d1");
    B.complete(*F, 2);
  }
  SECTION("until its entry knows them") {
    for (unsigned I = 0; I < 40; ++I)
      B.add(engine("new-" + std::to_string(I), EngineStage::Decode));
    B.pass(*F, milliseconds(110));
    REQUIRE(B.Io.Legs.size() == 2);
    B.complete(*F, 2);
  }
  SECTION("until its caller leaves") {
    F->onCallerDisconnected(B.Now);
    REQUIRE(F->done());
    REQUIRE(B.Coordinator.queued() == 0);
    REQUIRE_FALSE(B.Coordinator.isRunning("1/0"));
  }
}

// Guards against a stream that is resumed at another engine although its silent
// one goes on while the request waits for engines that its entry knows.
TEST_CASE("a silent engine that goes on ends the wait for known engines") {
  RemoteCoordinator B;
  const auto F = B.start();
  B.answer(*F, 1, answered(200, "handle-1"));
  REQUIRE(B.leg(2).EndpointId == "d1");
  F->onStreamHead(2, head(), B.Now);
  F->onStreamData(2, "id: 1\ndata: a\n\n", B.Now);
  B.CoordinatorTable.reserve("d2", {1, 4'000, 0});
  for (unsigned I = 0; I < 20; ++I)
    B.registerAtCoordinator("new-" + std::to_string(I));
  B.add(engine("d3", EngineStage::Decode));
  B.pass(*F, milliseconds(1'110));
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE(B.leg(3).Kind == LegKind::Prefill);
  B.answer(*F, 3, answered(200, "handle-2"));
  B.pass(*F, milliseconds(50));
  REQUIRE(B.Io.FinalAnswers == 0);
  F->onStreamData(2, "id: 2\ndata: b\n\n", B.Now);
  B.pass(*F, milliseconds(300));
  REQUIRE(B.Io.Legs.size() == 3);
  REQUIRE_FALSE(B.Coordinator.isRunning("1/1"));
  REQUIRE(B.Coordinator.queued() == 0);
  F->onStreamEnd(2, true, B.Now);
  REQUIRE(F->done());
  REQUIRE(B.Io.FinalAnswers == 1);
  REQUIRE_FALSE(B.Io.Aborted);
}

// Guards against all queued requests being sent to the coordinator anew, and
// against the loss of a decision that is on its way, when an engine that they
// exclude has ended.
TEST_CASE("a queued stream keeps its request when an excluded engine ends") {
  RemoteCoordinator B;
  B.fill("d2");
  REQUIRE(B.Table.recordPause("d1", 0, B.Now + milliseconds(2'000)));
  B.add(engine("d4", EngineStage::Decode)); // takes work, as far as is known
  AdmissionClient Client;
  SharedFlowState State{B.Table, B.EngineSignals, B.Crashes, Client,
                        B.Calls, B.Retries,       B.Lengths, "zone-a"};
  const auto F = makeStreamFlow(State, B.stream(true), B.Io);
  F->start(B.Now);
  const auto Key = [&] {
    wire::EntryReport Report;
    Client.fillReport(Report, B.Now);
    REQUIRE(Report.wants_size() == 1);
    return Report.wants(0).key();
  };
  const std::uint64_t Before = Key();
  B.Table.remove("d1");
  B.pass(*F, milliseconds(250));
  REQUIRE(Key() == Before);
}

// Guards against work that is left in the queue when a request ends while it
// waits for an engine that its entry does not know.
TEST_CASE("a stream that waits for an unknown engine ends once") {
  RemoteCoordinator B;
  B.fill("d1");
  B.fill("d2");
  B.registerAtCoordinator("d3");
  const auto F = B.start();
  B.answer(*F, 1, answered(200, "handle-1"));
  SECTION("its caller leaves") {
    F->onCallerDisconnected(B.Now);
    REQUIRE(B.Io.FinalAnswers == 0);
  }
  SECTION("its time ends") {
    B.pass(*F, milliseconds(14'000));
    REQUIRE(B.Io.FinalAnswers == 1);
    REQUIRE(B.Io.RejectedWith);
  }
  REQUIRE(F->done());
  REQUIRE(B.Coordinator.queued() == 0);
  REQUIRE_FALSE(B.Coordinator.isRunning("1/0"));
}

} // namespace hyssoprail::routing
