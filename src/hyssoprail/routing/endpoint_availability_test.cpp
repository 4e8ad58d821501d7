#include "hyssoprail/routing/endpoint_availability.hpp"
#include "hyssoprail/routing/leaving_exchange.hpp"

#include <catch2/catch.hpp>

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

} // namespace hyssoprail::routing
