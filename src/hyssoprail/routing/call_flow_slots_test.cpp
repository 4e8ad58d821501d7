#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::endedLeg;
using testing::FakeIo;
using testing::FlowFixture;
using testing::service;

constexpr milliseconds RunTime{50};
constexpr milliseconds Objective{300};

/// Calls of one entry to three endpoints of 6 slots, which refuse what exceeds
/// them.
struct SlotFixture : FlowFixture {
  explicit SlotFixture(bool Enabled) {
    for (const char *Id : {"a", "b", "c"})
      add(service(Id));
    Slots.configure(testing::testConfig(), Enabled);
  }

  struct Call {
    FakeIo Io;
    std::unique_ptr<Flow> F;
    TimePoint Arrival;
    std::size_t LegsSeen = 0;
    unsigned Runs = 0;
  };

  struct Answer {
    TimePoint At;
    Call *Of;
    FlowIo::LegId Leg;
    bool Ran;
  };

  Call &start(RouteKind Kind = RouteKind::Call) {
    Call &C = *Calls.emplace_back(std::make_unique<Call>());
    FlowRequest R = request(Kind, std::to_string(Calls.size()));
    R.Route.LatencyObjective = Objective;
    SharedFlowState State = sharedState();
    State.Slots = &Slots;
    C.Arrival = Now;
    C.F = makeCallFlow(State, std::move(R), C.Io);
    C.F->start(Now);
    pump();
    return C;
  }

  /// Delivers the decisions of the queue and serves new legs.
  void pump() {
    for (const CallQueueDecision &D : Slots.poll(Now))
      std::visit([&](const auto &Any) { deliver(Any); }, D);
    for (const auto &C : Calls)
      for (; C->LegsSeen < C->Io.Legs.size(); ++C->LegsSeen) {
        const bool Runs = Running[C->Io.Legs[C->LegsSeen].EndpointId] < 6;
        Refusals += Runs ? 0 : 1;
        C->Runs += Runs ? 1 : 0;
        Running[C->Io.Legs[C->LegsSeen].EndpointId] += Runs ? 1 : 0;
        Answers.push_back({Now + (Runs ? RunTime : milliseconds(2)), C.get(),
                           static_cast<FlowIo::LegId>(C->LegsSeen + 1), Runs});
      }
  }

  void deliver(const CallRelease &R) {
    Calls[std::stoul(R.Id) - 1]->F->onCallReleased(R, Now);
  }
  void deliver(const CallRefusal &R) {
    Calls[std::stoul(R.Id) - 1]->F->onCallRefused(R, Now);
  }

  void step() {
    Now += milliseconds(1);
    for (std::size_t I = 0; I < Answers.size();) {
      if (Answers[I].At > Now) {
        ++I;
        continue;
      }
      const Answer A = Answers[I];
      Answers.erase(Answers.begin() + static_cast<std::ptrdiff_t>(I));
      if (A.Ran)
        --Running[A.Of->Io.Legs[A.Leg - 1].EndpointId];
      A.Of->F->onLegResult(
          A.Leg, A.Ran ? answered(200) : endedLeg(LegOutcome::NotRun), Now);
      if (A.Of->F->done() && A.Of->Io.Status == 200 &&
          Now - A.Of->Arrival <= Objective)
        ++OnTime;
    }
    for (const auto &C : Calls)
      if (!C->F->done() && Now >= C->F->nextDeadline())
        C->F->onTimer(Now);
    pump();
  }

  void run(milliseconds Span) {
    for (milliseconds Ms{0}; Ms < Span; ++Ms)
      step();
  }

  CallSlots Slots{Table};
  std::deque<std::unique_ptr<Call>> Calls;
  std::vector<Answer> Answers;
  std::map<std::string, unsigned> Running;
  unsigned Refusals = 0, OnTime = 0;
};

/// Twenty waves of 40 calls, one every 200 ms: 0.56 of what the slots serve.
void runWaves(SlotFixture &F) {
  for (int Wave = 0; Wave < 20; ++Wave) {
    for (int I = 0; I < 40; ++I)
      F.start();
    F.run(milliseconds(200));
  }
  F.run(milliseconds(500));
}

/// 1 s at twice what the slots serve, between two at half of it.
void runSurge(SlotFixture &F) {
  std::mt19937 Random{1};
  for (const double PerMs : {0.18, 0.72, 0.18}) {
    std::poisson_distribution<int> Arrivals(PerMs);
    for (int Ms = 0; Ms < 1'000; ++Ms) {
      for (int I = Arrivals(Random); I > 0; --I)
        F.start();
      F.step();
    }
  }
  F.run(milliseconds(500));
}

void checkAnswers(const SlotFixture &F) {
  for (const auto &C : F.Calls) {
    REQUIRE(C->Io.FinalAnswers == 1);
    REQUIRE(C->Runs <= 1);
    REQUIRE((C->Io.Status == 200) == (C->Runs == 1));
  }
}

} // namespace

// Load: demand in waves. Guards against calls of a wave that are refused
// although the slots are idle for half of the time.
TEST_CASE("calls that come in waves wait instead of being refused") {
  SlotFixture Without(false);
  SlotFixture With(true);
  runWaves(Without);
  runWaves(With);
  checkAnswers(Without);
  checkAnswers(With);
  INFO("on time " << Without.OnTime << " without, " << With.OnTime << " with");
  CHECK(With.Refusals == 0);
  CHECK(With.OnTime == With.Calls.size());
  CHECK(With.OnTime > Without.OnTime);
  CHECK(Without.Refusals > 0);
}

// Load: a surge of all calls above what the slots serve.
TEST_CASE("in a surge no endpoint refuses a call and more are on time") {
  SlotFixture Without(false);
  SlotFixture With(true);
  runSurge(Without);
  runSurge(With);
  checkAnswers(Without);
  checkAnswers(With);
  INFO("of " << With.Calls.size() << " on time " << Without.OnTime
             << " without, " << With.OnTime << " with; refusals "
             << Without.Refusals << " and " << With.Refusals);
  CHECK(With.Refusals == 0);
  CHECK(With.OnTime > Without.OnTime);
  for (const auto &C : With.Calls)
    if (C->Io.RejectedWith) {
      CHECK(C->Io.RejectedWith == RejectReason::NoCapacity);
      CHECK(C->Io.SentRetryAfter > milliseconds(0));
      CHECK_FALSE(C->F->mayHaveRun());
    }
}

// Guards against a change for deployments that do not ask for it.
TEST_CASE("no call waits if the queue of calls is not enabled") {
  SlotFixture F(false);
  for (int I = 0; I < 30; ++I)
    REQUIRE(F.start().Io.Legs.size() == 1);
  CHECK(F.Slots.queue().services().empty());
}

// Guards against a place in the queue, or a slot, that a caller leaves behind.
TEST_CASE("a caller that leaves while its call waits takes nothing along") {
  SlotFixture F(true);
  for (int I = 0; I < 18; ++I)
    F.start();
  auto &Left = F.start();
  auto &Next = F.start();
  REQUIRE(Left.Io.Legs.empty());
  Left.F->onCallerDisconnected(F.Now);
  F.run(RunTime);
  CHECK(Left.Io.Legs.empty());
  CHECK(Next.Io.Legs.size() == 1);
  F.run(RunTime);
  CHECK(F.Slots.queue().state("orders").InUse == 0);
  CHECK(F.Slots.queue().state("orders").Waiting == 0);
}

// Guards against calls with a key that was withdrawn while they waited.
TEST_CASE("a call whose key is withdrawn while it waits is rejected") {
  SlotFixture F(true);
  for (int I = 0; I < 18; ++I)
    F.start();
  auto &Waits = F.start();
  Waits.Io.Allowed = false;
  F.run(RunTime);
  CHECK(Waits.Io.RejectedWith == RejectReason::NoKey);
  CHECK(Waits.Io.Legs.empty());
  CHECK(F.Slots.queue().state("orders").InUse == 0);
}

// Guards against a process that ends before it has answered a waiting call.
TEST_CASE("a waiting call is answered by the end of the process") {
  SlotFixture F(true);
  for (int I = 0; I < 18; ++I)
    F.start();
  auto &Waits = F.start();
  Waits.F->endBy(F.Now + milliseconds(30));
  F.run(milliseconds(30));
  CHECK(Waits.Io.RejectedWith == RejectReason::NotRunInTime);
  CHECK(F.Slots.queue().state("orders").Waiting == 0);
}

// Load: an endpoint falls silent. The second leg of an idempotent call, like
// every other, must not exceed the slots.
TEST_CASE("the second leg of an idempotent call takes a slot") {
  SlotFixture F(true);
  auto &C = F.start(RouteKind::IdempotentCall);
  F.Answers.clear(); // the endpoint does not answer
  F.run(Objective * 2);
  REQUIRE(C.Io.Legs.size() == 2);
  CHECK(F.Slots.queue().state("orders").InUse == 2);
  F.run(RunTime);
  CHECK(C.Io.Status == 200);
  CHECK(F.Slots.queue().state("orders").InUse == 0);
}

// Load: an endpoint is lost under load. Its slots no longer count.
TEST_CASE("calls wait for the slots of the endpoints that are left") {
  SlotFixture F(true);
  for (int I = 0; I < 12; ++I)
    F.start();
  F.run(RunTime);
  F.Table.remove("a");
  for (int I = 0; I < 20; ++I)
    F.start();
  CHECK(F.Slots.queue().state("orders").InUse == 12);
  CHECK(F.Slots.queue().state("orders").Waiting == 8);
  F.run(RunTime * 2);
  CHECK(F.Refusals == 0);
  CHECK(F.OnTime == 32);
}

} // namespace hyssoprail::routing
