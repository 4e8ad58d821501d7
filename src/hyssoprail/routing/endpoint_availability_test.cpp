#include "hyssoprail/routing/endpoint_availability.hpp"
#include "hyssoprail/routing/leaving_exchange.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/routing/admission_client.hpp"
#include "hyssoprail/routing/endpoint_choice.hpp"
#include "hyssoprail/routing/stream_request.hpp"

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::engine;
using testing::FlowFixture;
using testing::service;
using testing::Start;

EndpointRecord started(EndpointRecord R, std::int64_t StartedAtMs,
                       std::int64_t Sequence = 1) {
  R.StartedAtMs = StartedAtMs;
  R.Sequence = Sequence;
  return R;
}

/// An entry's table with its side of the exchange.
struct Entry {
  explicit Entry(std::string Name) : Name(std::move(Name)) {}

  wire::EntryReport report() {
    wire::EntryReport R;
    R.set_sender(Name);
    Exchange.fill("coordinator", R);
    return R;
  }

  wire::CoordinatorUpdate updateFor(const Entry &To) {
    wire::CoordinatorUpdate U;
    Exchange.fill(To.Name, U);
    return U;
  }

  void add(const std::string &Id, std::int64_t StartedAtMs = 1) {
    Table.apply(started(service(Id), StartedAtMs));
  }

  bool inService(std::string_view Id) {
    return Table.inService(*Table.find(Id));
  }

  std::string Name;
  EndpointTable Table;
  LeavingExchange Exchange{Table};
};

/// One report and one update.
void exchange(Entry &From, Entry &Coordinator) {
  Coordinator.Exchange.take(From.Name, From.report());
  From.Exchange.take("coordinator", Coordinator.updateFor(From));
}

} // namespace

// Guards against work for an endpoint that leaves, also as a last resort and by
// a grant of the coordinator.
TEST_CASE("a leaving endpoint gets no work of any kind",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(started(service("a"), 5));
  Table.setStartRateLimit("orders", {10, true});
  REQUIRE(Table.usable("orders", Start).size() == 1);
  REQUIRE(Table.grantable("orders", Start).size() == 1);
  REQUIRE(Table.recordLeaving("a", 5));
  CHECK_FALSE(Table.recordLeaving("a", 5));
  CHECK(Table.usable("orders", Start).empty());
  CHECK(Table.grantable("orders", Start).empty());
  CHECK_FALSE(Table.mayReceive(*Table.find("a"), Start));
  for (int I = 0; I < 10; ++I)
    Table.record("a", HealthSignal::Broken, Start);
  CHECK(Table.avoided("orders", Start).empty());
  CHECK(chooseForCall(Table, "orders", "zone-a", {}, Start) == nullptr);
}

// Guards against a registration that says ready, sent before or after the
// endpoint stated that it leaves, which brings the work back.
TEST_CASE("only a newer incarnation of a leaving endpoint gets work",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(started(service("a"), 5));
  Table.recordLeaving("a", 5);
  Table.apply(started(service("a"), 5, 7));
  CHECK(Table.usable("orders", Start).empty());
  // The registration lapses and returns.
  Table.remove("a");
  CHECK(Table.find("a") == nullptr);
  CHECK(Table.leaving().digest() == 0);
  Table.apply(started(service("a"), 5, 8));
  CHECK(Table.usable("orders", Start).empty());
  Table.apply(started(service("a"), 6));
  CHECK(Table.usable("orders", Start).size() == 1);
  CHECK(Table.leaving().all().empty());
  // A late response of the incarnation that has ended.
  CHECK_FALSE(Table.recordLeaving("a", 5));
  CHECK(Table.usable("orders", Start).size() == 1);
}

// Guards against endpoints without a start time that stay out of service for
// ever.
TEST_CASE("a leaving endpoint of unknown start time is forgotten with its id",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.recordLeaving("a", 0);
  Table.apply(service("a"));
  CHECK(Table.usable("orders", Start).empty());
  Table.remove("a");
  Table.apply(service("a"));
  CHECK(Table.usable("orders", Start).size() == 1);
}

// Guards against memory that grows with every endpoint that has ever left.
TEST_CASE("statements of endpoints that have gone are kept within a bound",
          "[endpoint_statements]") {
  EndpointTable Table;
  for (int I = 0; I < 5'000; ++I) {
    const std::string Id = "w-" + std::to_string(I);
    Table.apply(started(service(Id), 1));
    Table.recordLeaving(Id, 1);
    Table.remove(Id);
    Table.recordLeaving("unknown-" + std::to_string(I), 1);
  }
  CHECK(Table.size() == 0);
  CHECK(Table.leaving().all().empty());
  CHECK(Table.unregisteredCount() <= 1'024);
  // The newest ones are still known.
  Table.apply(started(service("w-4999"), 1));
  CHECK(Table.usable("orders", Start).empty());
}

// Guards against entries that keep to themselves which endpoints leave, and
// against lists that are sent again and again.
TEST_CASE("leaving endpoints are told through the coordinator until known",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Entry B("b");
  for (Entry *E : {&Coordinator, &A, &B})
    for (const char *Id : {"w1", "w2"})
      E->add(Id);
  A.Table.recordLeaving("w1", 1);
  CHECK(A.Exchange.hasUnreportedChange());
  exchange(A, Coordinator);
  CHECK_FALSE(A.Exchange.hasUnreportedChange());
  CHECK_FALSE(Coordinator.inService("w1"));
  exchange(B, Coordinator);
  CHECK_FALSE(B.inService("w1"));
  CHECK(B.inService("w2"));
  exchange(A, Coordinator);
  exchange(B, Coordinator);
  CHECK(A.report().leaving_endpoints().empty());
  CHECK(Coordinator.updateFor(B).leaving_endpoints().empty());
  // The next coordinator learns it from the reports.
  Entry Next("coordinator");
  Next.add("w1");
  A.Exchange.forgetPeers();
  exchange(A, Next);
  CHECK_FALSE(Next.inService("w1"));
}

// Guards against messages of entries that know an older incarnation.
TEST_CASE("what is told of an earlier incarnation does not end a later one",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Coordinator.add("w", 2);
  A.add("w", 1);
  A.Table.recordLeaving("w", 1);
  exchange(A, Coordinator);
  CHECK(Coordinator.inService("w"));
  // The other way round: an entry that has not read the registration yet.
  Coordinator.Table.recordLeaving("w", 2);
  exchange(A, Coordinator);
  CHECK_FALSE(A.inService("w"));
  A.add("w", 2);
  CHECK_FALSE(A.inService("w"));
  A.add("w", 3);
  CHECK(A.inService("w"));
}

// Guards against an entry that hears of an endpoint before it has read its
// registration, as after its start.
TEST_CASE("an endpoint that is not registered yet is known to leave",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Coordinator.add("w");
  Coordinator.Table.recordLeaving("w", 1);
  exchange(A, Coordinator);
  A.add("w");
  CHECK_FALSE(A.inService("w"));
}

// Guards against datagrams that are too large when a zone leaves, and against
// endpoints that are never told because others come first.
TEST_CASE("many leaving endpoints are told in parts that fit",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  constexpr int Count = 1'700;
  for (Entry *E : {&Coordinator, &A})
    for (int I = 0; I < Count; ++I)
      E->add("i-e3db90eab7-" + std::to_string(I), 1'700'000'000'000);
  for (int I = 0; I < Count; ++I)
    A.Table.recordLeaving("i-e3db90eab7-" + std::to_string(I),
                          1'700'000'000'000);
  Coordinator.Exchange.take("a", wire::EntryReport{});
  A.Exchange.take("coordinator", wire::CoordinatorUpdate{});
  for (int I = 0; I < 4; ++I) {
    const wire::EntryReport Report = A.report();
    CHECK(Report.ByteSizeLong() < 32'000);
    Coordinator.Exchange.take("a", Report);
  }
  CHECK(Coordinator.Table.leaving().digest() == A.Table.leaving().digest());
}

// Guards against a request that is sent to an engine which stated that it
// leaves after the request was placed there.
TEST_CASE("a placed stream goes elsewhere if its engine leaves",
          "[endpoint_statements]") {
  for (const EngineStage Left : {EngineStage::Prefill, EngineStage::Decode}) {
    FlowFixture B;
    for (const char *Id : {"p1", "p2"})
      B.add(engine(Id, EngineStage::Prefill));
    for (const char *Id : {"d1", "d2"})
      B.add(engine(Id, EngineStage::Decode));
    auto F =
        makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
    F->start(B.Now);
    const auto Decisions = B.Scheduler.poll(B.Now);
    REQUIRE(Decisions.size() == 1);
    const auto &Place = std::get<StreamPlacement>(Decisions[0]);
    const std::string Id =
        Left == EngineStage::Prefill ? Place.Prefill : Place.Decode;
    B.Table.recordLeaving(Id, 0);
    F->onPlaced(Place, B.Now);
    CHECK(B.Io.Legs.empty());
    B.poll(*F);
    REQUIRE(B.Io.Legs.size() == 1);
    CHECK(B.Io.Legs[0].EndpointId != Id);
    B.answer(*F, 1, answered(200, "h"));
    REQUIRE(B.Io.Legs.size() == 2);
    CHECK(B.Io.Legs[1].EndpointId != Id);
  }
}

// Guards against a KV cache that is offered to an engine which stated that it
// leaves during the prefill.
TEST_CASE("a prefilled stream is not decoded by an engine that leaves",
          "[endpoint_statements]") {
  FlowFixture B;
  B.add(engine("p1", EngineStage::Prefill));
  for (const char *Id : {"d1", "d2"})
    B.add(engine(Id, EngineStage::Decode));
  auto F = makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
  F->start(B.Now);
  const auto Decisions = B.Scheduler.poll(B.Now);
  const auto &Place = std::get<StreamPlacement>(Decisions.at(0));
  F->onPlaced(Place, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  B.Table.recordLeaving(Place.Decode, 0);
  B.answer(*F, 1, answered(200, "h"));
  REQUIRE(B.Io.Legs.size() == 2);
  CHECK(B.Io.Legs[1].EndpointId != Place.Decode);
  CHECK(B.Io.Legs[1].Source.has_value());
}

// Guards against a call that is sent under a grant which the coordinator made
// before it knew that the endpoint leaves.
TEST_CASE("a call granted at a leaving endpoint goes elsewhere",
          "[endpoint_statements]") {
  FlowFixture B;
  B.add(service("a"));
  B.add(service("b", "zone-b"));
  B.Table.setStartRateLimit("orders", {0, true});
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.Legs.empty());
  B.Table.setStartRateLimit("orders", {10, false});
  B.Table.recordLeaving("a", 0);
  F->onCallGranted({"1", "a"}, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.Io.Legs[0].EndpointId == "b");
}

// Guards against work for an endpoint during the pause that it asked for, also
// as a last resort and by a grant of the coordinator.
TEST_CASE("a paused endpoint gets no work of this entry",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(started(service("a"), 5));
  Table.setStartRateLimit("orders", {10, true});
  const TimePoint End = Start + milliseconds(2'000);
  REQUIRE(Table.recordPause("a", 5, End));
  for (int I = 0; I < 10; ++I)
    Table.record("a", HealthSignal::Broken, Start);
  for (const TimePoint Now : {Start, End - milliseconds(1)}) {
    CHECK(Table.usable("orders", Now).empty());
    CHECK(Table.avoided("orders", Now).empty());
    CHECK(Table.grantable("orders", Now).empty());
    CHECK_FALSE(Table.mayReceive(*Table.find("a"), Now));
    CHECK(chooseForCall(Table, "orders", "zone-a", {}, Now) == nullptr);
  }
  CHECK(chooseForCall(Table, "orders", "zone-a", {}, End) != nullptr);
}

// Guards against a short pause that ends a longer one, and against a pause that
// outlasts the incarnation that asked for it.
TEST_CASE("the latest end of a pause counts until the endpoint restarts",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(started(service("a"), 5));
  REQUIRE(Table.recordPause("a", 5, Start + milliseconds(3'000)));
  CHECK_FALSE(Table.recordPause("a", 5, Start + milliseconds(1'000)));
  CHECK(Table.usable("orders", Start + milliseconds(2'900)).empty());
  CHECK(Table.recordPause("a", 5, Start + milliseconds(4'000)));
  CHECK(Table.usable("orders", Start + milliseconds(3'900)).empty());
  // Its registration is repeated, lapses and returns.
  Table.apply(started(service("a"), 5, 2));
  Table.remove("a");
  Table.apply(started(service("a"), 5, 3));
  CHECK(Table.usable("orders", Start).empty());
  Table.apply(started(service("a"), 6));
  CHECK(Table.usable("orders", Start).size() == 1);
  CHECK_FALSE(Table.recordPause("a", 5, Start + milliseconds(9'000)));
}

// Guards against a coordinator that keeps an engine from all entries because it
// was itself asked for a pause.
TEST_CASE("a pause of the coordinator does not keep others from the endpoint",
          "[endpoint_statements]") {
  FlowFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(service("a"));
  B.Table.setStartRateLimit("orders", {10, true});
  const TimePoint End = B.Now + milliseconds(2'000);
  REQUIRE(B.Table.recordPause("d1", 0, End));
  REQUIRE(B.Table.recordPause("a", 0, End));
  B.Scheduler.submit(
      makeStreamRequest(B.request(RouteKind::Stream), B.Lengths, B.Now));
  const auto Decisions = B.Scheduler.poll(B.Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(std::get<StreamPlacement>(Decisions[0]).Decode == "d1");
  CHECK(chooseGrantable(B.Table, "orders", "zone-a", {}, B.Now) != nullptr);
}

// Guards against callers that wait, or return too early, while every endpoint
// has asked for a pause.
TEST_CASE("requests are rejected until the first pause ends",
          "[endpoint_statements]") {
  FlowFixture B;
  for (const char *Id : {"a", "b"})
    B.add(service(Id));
  for (const char *Id : {"d1", "d2"})
    B.add(engine(Id, EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  for (const char *Id : {"a", "d1"})
    B.Table.recordPause(Id, 0, B.Now + milliseconds(3'000));
  CHECK_FALSE(B.Table.pauseWait("orders", B.Now));
  CHECK_FALSE(B.Table.pauseWait("assistant", B.Now));
  for (const char *Id : {"b", "d2"})
    B.Table.recordPause(Id, 0, B.Now + milliseconds(1'500));
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter == milliseconds(1'500));
  auto G = makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
  G->start(B.Now);
  CHECK(B.Io.FinalAnswers == 2);
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter == milliseconds(1'500));
  CHECK(B.Io.Legs.empty());
  CHECK_FALSE(B.Table.pauseWait("orders", B.Now + milliseconds(1'500)));
  // One that leaves does not count as usable.
  B.Table.recordLeaving("b", 0);
  CHECK(B.Table.pauseWait("orders", B.Now) == milliseconds(3'000));
}

// Guards against a stream that is sent to a paused engine because it was placed
// there, or that is placed there again and again.
TEST_CASE("a stream placed at a paused engine goes elsewhere",
          "[endpoint_statements]") {
  for (const EngineStage Paused : {EngineStage::Prefill, EngineStage::Decode}) {
    FlowFixture B;
    for (const char *Id : {"p1", "p2"})
      B.add(engine(Id, EngineStage::Prefill));
    for (const char *Id : {"d1", "d2"})
      B.add(engine(Id, EngineStage::Decode));
    auto F =
        makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
    F->start(B.Now);
    const auto Decisions = B.Scheduler.poll(B.Now);
    const auto &Place = std::get<StreamPlacement>(Decisions.at(0));
    const std::string Id =
        Paused == EngineStage::Prefill ? Place.Prefill : Place.Decode;
    B.Table.recordPause(Id, 0, B.Now + milliseconds(2'000));
    F->onPlaced(Place, B.Now);
    CHECK(B.Io.Legs.empty());
    B.poll(*F);
    REQUIRE(B.Io.Legs.size() == 1);
    CHECK(B.Io.Legs[0].EndpointId != Id);
    B.answer(*F, 1, answered(200, "h"));
    REQUIRE(B.Io.Legs.size() == 2);
    CHECK(B.Io.Legs[1].EndpointId != Id);
  }
}

// Guards against a request that waits until its deadline because the last
// engine asked for a pause after the request had been queued.
TEST_CASE("queued streams are refused when all engines are paused",
          "[endpoint_statements]") {
  AdmissionClient Client;
  for (const char *Id : {"1", "2"}) {
    StreamRequest R;
    R.Id = Id;
    R.Service = Id == std::string("1") ? "assistant" : "other";
    Client.submit(R);
  }
  const auto Refused = Client.refusePaused(
      [](const std::string &Service) -> std::optional<milliseconds> {
        if (Service == "assistant")
          return milliseconds(700);
        return std::nullopt;
      });
  REQUIRE(Refused.size() == 1);
  CHECK(std::get<StreamRefusal>(Refused[0]).Id == "1");
  CHECK(std::get<StreamRefusal>(Refused[0]).RetryAfter == milliseconds(700));
  CHECK(Client.pendingCount() == 1);
}

// Guards against stage orders to engines that leave or asked for a pause.
TEST_CASE("paused and leaving engines may not receive stage orders",
          "[endpoint_statements]") {
  EndpointTable Table;
  Table.apply(engine("p1", EngineStage::Prefill));
  Table.apply(engine("p2", EngineStage::Prefill));
  Table.recordPause("p1", 0, Start + milliseconds(500));
  Table.recordLeaving("p2", 0);
  CHECK_FALSE(Table.mayReceive(*Table.find("p1"), Start));
  CHECK_FALSE(Table.mayReceive(*Table.find("p2"), Start));
}

// Guards against names of refusing endpoints that fill the datagrams.
TEST_CASE("a request names a bounded number of refusing endpoints",
          "[endpoint_statements]") {
  EndpointTable Table;
  for (int I = 0; I < 100; ++I) {
    Table.apply(service("w" + std::to_string(I)));
    Table.recordPause("w" + std::to_string(I), 0, Start + milliseconds(500));
  }
  CHECK(Table.refusing("orders", Start).size() == 16);
  CHECK(Table.refusing("assistant", Start).empty());
  CHECK(Table.refusing("orders", Start + milliseconds(500)).empty());
}

} // namespace hyssoprail::routing
