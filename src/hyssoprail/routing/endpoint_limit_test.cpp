#include <vector>

#include <catch2/catch.hpp>

#include "hyssoprail/routing/stream_request.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::FlowFixture;
using testing::service;
using testing::Start;

EndpointLimit statedLimit(double PerSecond, double Share) {
  EndpointLimit L;
  L.setShare(Share, Start);
  L.recordStated(PerSecond, Start);
  return L;
}

/// Number of requests that \p L grants from \p From for \p Span.
unsigned grantsWithin(EndpointLimit &L, TimePoint From, milliseconds Span) {
  unsigned Count = 0;
  for (milliseconds At{0}; At < Span; At += milliseconds(10))
    if (L.allows(From + At)) {
      L.take(From + At);
      ++Count;
    }
  return Count;
}

/// A fixture of a coordinator, which has the whole share of all limits.
struct CoordinatorFixture : FlowFixture {
  CoordinatorFixture() { Table.setLimitShare(1, Now); }

  /// Records that \p Id has stated \p PerSecond, and lets its grants build up.
  void limit(const std::string &Id, double PerSecond) {
    Table.recordLimit(Id, PerSecond, Now);
    Now += std::chrono::seconds(1);
  }
};

} // namespace

// Guards against grants beyond the limit after a pause, or below it in the long
// run.
TEST_CASE("grants follow the stated limit and the share of it") {
  EndpointLimit All = statedLimit(4, 1);
  const unsigned OfAll = grantsWithin(All, Start, milliseconds(10'000));
  CHECK(OfAll <= 40);
  CHECK(OfAll >= 39);
  CHECK(grantsWithin(All, Start + std::chrono::hours(1), milliseconds(1'000)) <=
        6);
  EndpointLimit Most = statedLimit(4, 0.75);
  const unsigned OfMost = grantsWithin(Most, Start, milliseconds(10'000));
  CHECK(OfMost <= 30);
  CHECK(OfMost >= 29);
  EndpointLimit None = statedLimit(4, 0);
  CHECK(grantsWithin(None, Start, milliseconds(10'000)) == 0);
  CHECK(None.waitTime(Start) == Duration::max());
  CHECK(EndpointLimit().allows(Start));
}

// Guards against a fleet that has fallen apart into single entries, each of
// which rounds its share up to one request.
TEST_CASE("parts of a fleet do not exceed a limit together") {
  constexpr milliseconds Window{4'000};
  for (const double PerSecond : {0.5, 4.0, 40.0})
    for (const unsigned Parts : {2U, 3U, 30U, 300U}) {
      unsigned Total = 0;
      for (unsigned I = 0; I < Parts; ++I) {
        EndpointLimit L = statedLimit(PerSecond, 1.0 / Parts);
        Total += grantsWithin(L, Start + std::chrono::hours(1), Window);
      }
      CHECK(Total <= PerSecond * 4 * 1.5 + 5);
    }
}

// Guards against grants that build up while an entry is not the coordinator,
// and against requests that it sent under the grants of another one and then
// owes.
TEST_CASE("a new coordinator begins without grants") {
  EndpointLimit L = statedLimit(4, 0);
  for (int I = 0; I < 50; ++I)
    L.take(Start + std::chrono::seconds(I));
  const TimePoint Later = Start + std::chrono::seconds(60);
  L.setShare(1, Later);
  CHECK_FALSE(L.allows(Later));
  CHECK(L.waitTime(Later) == milliseconds(250));
}

// Guards against responses that were made before the limit but arrive after it,
// and against reports that arrive after its end.
TEST_CASE("an old response neither ends nor revives a limit") {
  EndpointLimit L = statedLimit(4, 1);
  L.recordNone(Start + milliseconds(100));
  REQUIRE(L.perSecond() == 4);
  L.recordStated(2, Start - milliseconds(100));
  REQUIRE(L.perSecond() == 4);
  L.recordStated(3, Start + milliseconds(100));
  REQUIRE(L.perSecond() == 3);
  L.recordNone(Start + milliseconds(700));
  REQUIRE_FALSE(L.perSecond());
  L.recordStated(3, Start + milliseconds(200));
  REQUIRE_FALSE(L.perSecond());
  L.recordStated(5, Start + milliseconds(800));
  REQUIRE(L.perSecond() == 5);
}

// Guards against an endpoint whose restart does not end the limit of its
// earlier process.
TEST_CASE("the limit of an endpoint ends with its process") {
  EndpointTable Table;
  EndpointRecord Record = service("a");
  Table.apply(Record);
  Table.recordLimit("a", 4, Start);
  CHECK(Table.usable("orders", Start).empty());
  Record.StartedAtMs += 1;
  Table.apply(Record);
  CHECK(Table.usable("orders", Start).size() == 1);
}

// Guards against an entry that sends to a limited endpoint without a grant, or
// that waits for a grant although another endpoint is free.
TEST_CASE("a call to a limited endpoint needs a grant") {
  FlowFixture B;
  B.add(service("a"));
  B.add(service("b", "zone-b"));
  B.Table.recordLimit("a", 4, B.Now);
  const auto F =
      makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.Legs.empty());
  SECTION("granted") {
    F->onCallGranted({"1", "a"}, B.Now);
    REQUIRE(B.Io.Legs.at(0).EndpointId == "a");
  }
  SECTION("denied") {
    F->onCallDenied({"1", milliseconds(300)}, B.Now);
    REQUIRE(B.Io.Legs.at(0).EndpointId == "b");
  }
  SECTION("not decided in time") {
    B.Now = F->nextDeadline();
    REQUIRE(B.Now - Start <= milliseconds(100));
    F->onTimer(B.Now);
    REQUIRE(B.Io.Legs.at(0).EndpointId == "b");
    F->onCallGranted({"1", "a"}, B.Now);
  }
  REQUIRE(B.Io.Legs.size() == 1);
}

// Guards against callers who are kept waiting, or are not told when to return,
// if no endpoint can take their calls.
TEST_CASE("a call without a grant or another endpoint is rejected at once") {
  FlowFixture B;
  B.add(service("a"));
  B.Table.recordLimit("a", 4, B.Now);
  const auto F =
      makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  F->onCallDenied({"1", milliseconds(300)}, B.Now);
  REQUIRE(B.Io.RejectedWith == RejectReason::NoCapacity);
  REQUIRE(B.Io.SentRetryAfter == milliseconds(300));
  REQUIRE_FALSE(F->mayHaveRun());
}

// Guards against retries that are charged but never sent, which would use up
// the budget of the other calls.
TEST_CASE("a retry that gets no grant is not charged") {
  FlowFixture B;
  B.Retries.setBudget(0, 1.5);
  B.add(service("a"));
  B.add(service("b"));
  const auto F =
      makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  const std::string Other = B.Io.Legs.at(0).EndpointId == "a" ? "b" : "a";
  B.Table.recordLimit(Other, 4, B.Now);
  F->onLegResult(1, testing::endedLeg(LegOutcome::NotRun), B.Now);
  REQUIRE_FALSE(B.Retries.available("orders", B.Now));
  F->onCallDenied({"1", milliseconds(300)}, B.Now);
  REQUIRE(B.Io.RejectedWith == RejectReason::NotRun);
  REQUIRE(B.Io.SentRetryAfter == milliseconds(300));
  REQUIRE(B.Retries.available("orders", B.Now));
}

// Guards against generations placed on an engine beyond its stated limit.
TEST_CASE("generations keep to the limit of an engine") {
  CoordinatorFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.limit("d1", 2);
  unsigned Placed = 0;
  for (int I = 0; I < 200; ++I, B.Now += milliseconds(20)) {
    const std::string Id = std::to_string(I);
    B.Scheduler.submit(
        makeStreamRequest(B.request(RouteKind::Stream, Id), B.Lengths, B.Now));
    for (const StreamDecision &D : B.Scheduler.poll(B.Now))
      if (const auto *Place = std::get_if<StreamPlacement>(&D)) {
        ++Placed;
        B.Scheduler.release(Place->Id, B.Now);
      }
  }
  CHECK(Placed >= 8);
  CHECK(Placed <= 10);
}

// Guards against all waiting generations being placed at once on an engine that
// restarts, before its first response states the limit again. The bound is that
// of the platform: 1.5 times the limit in 4 s, and 5 more.
TEST_CASE("generations keep to the limit of an engine that restarts") {
  constexpr double PerSecond = 4;
  constexpr milliseconds Window{4'000};
  constexpr milliseconds ResponseTime{100};
  CoordinatorFixture B;
  EndpointRecord Engine = engine("d1", EngineStage::Decode);
  B.add(Engine);
  B.limit("d1", PerSecond);
  const TimePoint From = B.Now;
  std::vector<TimePoint> Placed;
  std::size_t Answered = 0;
  for (int I = 0; B.Now < From + Window; ++I, B.Now += milliseconds(20)) {
    if (B.Now - From == milliseconds(1'000)) {
      ++Engine.StartedAtMs;
      B.Table.apply(Engine);
    }
    for (; Answered < Placed.size() && Placed[Answered] + ResponseTime <= B.Now;
         ++Answered)
      B.Table.recordLimit("d1", PerSecond, B.Now);
    const std::string Id = std::to_string(I);
    FlowRequest R = B.request(RouteKind::Stream, Id);
    R.Info.Tokens = TokenCounts{100, 40};
    R.Info.OutputHint = 20;
    B.Scheduler.submit(makeStreamRequest(R, B.Lengths, B.Now));
    for (const StreamDecision &D : B.Scheduler.poll(B.Now))
      if (const auto *Place = std::get_if<StreamPlacement>(&D)) {
        Placed.push_back(B.Now);
        B.Scheduler.release(Place->Id, B.Now);
      }
  }
  CHECK(Placed.size() >= 12);
  CHECK(Placed.size() <= 29);
}

// Guards against a restarted endpoint that stays limited although its new
// process states no limit, and against a limit that the first responses of the
// new process do not keep in force.
TEST_CASE("the first response after a restart decides on the limit") {
  EndpointLimit L = statedLimit(4, 1);
  L.take(Start + milliseconds(100));
  L.restart();
  const TimePoint At = Start + milliseconds(150);
  CHECK(L.allows(At));
  L.take(At);
  CHECK_FALSE(L.allows(At));
  SECTION("it states none") {
    L.recordNone(Start - milliseconds(10));
    CHECK(L.perSecond() == 4);
    L.recordNone(At);
    CHECK_FALSE(L.perSecond());
    CHECK(L.allows(At));
  }
  SECTION("it states one") {
    L.recordStated(2, At);
    L.recordNone(At + milliseconds(100));
    CHECK(L.perSecond() == 2);
    CHECK_FALSE(L.allows(At));
  }
  SECTION("none arrives, and requests go on at the former rate") {
    CHECK(L.allows(At + milliseconds(250)));
  }
}

// Guards against an entry without a share that keeps sending without grants, or
// sends nothing, until it hears from a restarted endpoint.
TEST_CASE("an entry without a share sends one request after a restart") {
  EndpointLimit L = statedLimit(4, 0);
  L.restart();
  CHECK(L.waitTime(Start) == Duration{0});
  L.take(Start);
  CHECK_FALSE(L.allows(Start + std::chrono::hours(1)));
  EndpointLimit Confirmed = statedLimit(4, 0);
  Confirmed.restart();
  Confirmed.recordStated(4, Start + milliseconds(100));
  CHECK_FALSE(Confirmed.allows(Start + milliseconds(100)));
  EndpointLimit Unlimited;
  Unlimited.restart();
  CHECK_FALSE(Unlimited.perSecond());
}

// Guards against generations that wait until their callers give up, although
// the limits of all engines admit only some of them in time.
TEST_CASE(
    "generations that limits will not admit in time are refused at once") {
  CoordinatorFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.limit("d1", 1);
  unsigned Refused = 0;
  for (int I = 0; I < 30; ++I)
    B.Scheduler.submit(makeStreamRequest(
        B.request(RouteKind::Stream, std::to_string(I)), B.Lengths, B.Now));
  for (const StreamDecision &D : B.Scheduler.poll(B.Now))
    if (const auto *Refusal = std::get_if<StreamRefusal>(&D)) {
      ++Refused;
      CHECK(Refusal->RetryAfter > milliseconds(0));
    }
  CHECK(Refused >= 10);
  CHECK(B.Scheduler.queued() > 0);
}

} // namespace hyssoprail::routing
