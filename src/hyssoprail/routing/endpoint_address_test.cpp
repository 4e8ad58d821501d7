// Tests of registrations whose address another process has taken.
#include "hyssoprail/routing/endpoint_table.hpp"

#include <algorithm>
#include <chrono>

#include <catch2/catch.hpp>

#include "hyssoprail/routing/endpoint_choice.hpp"

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::FlowFixture;
using testing::service;
using testing::Start;

constexpr const char *Shared = "10.0.0.9:80";

EndpointRecord at(EndpointRecord R, const std::string &Address,
                  std::int64_t StartedAtMs, std::int64_t Sequence = 1) {
  R.Address = Address;
  R.StartedAtMs = StartedAtMs;
  R.Sequence = Sequence;
  return R;
}

EndpointRecord worker(const std::string &Id, std::int64_t StartedAtMs,
                      const std::string &Address = Shared) {
  return at(service(Id), Address, StartedAtMs);
}

bool inService(EndpointTable &Table, std::string_view Id) {
  const Endpoint *E = Table.find(Id);
  return E && Table.inService(*E);
}

} // namespace

// Replays soak seed 9502: a worker had crashed and come back under another id
// at its address, its earlier registration was still listed, and a call was
// sent there although the new worker had stated that it leaves.
TEST_CASE("a worker whose address another one has taken gets no work",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("w", 1));
  Table.apply(worker("w*", 2));
  Table.setStartRateLimit("orders", {10, true});
  REQUIRE(Table.usable("orders", Start).size() == 1);
  Table.recordLeaving("w*", 2);
  CHECK(Table.usable("orders", Start).empty());
  CHECK(Table.grantable("orders", Start).empty());
  CHECK_FALSE(Table.mayReceive(*Table.find("w"), Start));
  for (int I = 0; I < 10; ++I)
    Table.record("w", HealthSignal::Broken, Start);
  CHECK(Table.avoided("orders", Start).empty());
  CHECK(chooseForCall(Table, "orders", "zone-a", {}, Start) == nullptr);
}

// Guards against a result that depends on the order in which the registrations
// are read, as in a full list.
TEST_CASE("of several workers at an address only the newest gets work",
          "[endpoint_address]") {
  std::vector<EndpointRecord> Records{worker("a", 1), worker("b", 2),
                                      worker("c", 3)};
  do {
    EndpointTable Table;
    for (const EndpointRecord &R : Records)
      Table.apply(R);
    CAPTURE(Records[0].Id, Records[1].Id, Records[2].Id);
    CHECK_FALSE(inService(Table, "a"));
    CHECK_FALSE(inService(Table, "b"));
    CHECK(inService(Table, "c"));
  } while (std::next_permutation(
      Records.begin(), Records.end(),
      [](const auto &A, const auto &B) { return A.Id < B.Id; }));
}

// Guards against an earlier worker that gets work again because the newer one
// is no longer listed, or because its own registration is repeated or lapses
// and returns: nobody answers at the address.
TEST_CASE("a replaced worker stays out after the newer one is removed",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("w", 1));
  Table.apply(worker("w*", 2));
  Table.remove("w*");
  CHECK_FALSE(inService(Table, "w"));
  Table.apply(at(service("w"), Shared, 1, 2));
  CHECK_FALSE(inService(Table, "w"));
  Table.remove("w");
  Table.apply(at(service("w"), Shared, 1, 3));
  CHECK_FALSE(inService(Table, "w"));
  SECTION("a newer start ends it") {
    Table.apply(worker("w", 3));
    CHECK(inService(Table, "w"));
  }
  SECTION("another address ends it") {
    Table.apply(at(service("w"), "10.0.0.10:80", 1, 4));
    CHECK(inService(Table, "w"));
  }
  SECTION("another address ends it, also after the registration lapsed") {
    Table.remove("w");
    Table.apply(at(service("w"), "10.0.0.10:80", 1, 4));
    CHECK(inService(Table, "w"));
  }
}

// Guards against a worker that stays out although it took its address back, and
// against the other one that then still gets work.
TEST_CASE("a worker that starts again at its address replaces the other one",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("w", 1));
  Table.apply(worker("w*", 2));
  Table.apply(worker("w", 3));
  CHECK(inService(Table, "w"));
  CHECK_FALSE(inService(Table, "w*"));
}

// Guards against an endpoint that is replaced by its own earlier registration,
// as after the store came back from a copy.
TEST_CASE("a worker is not replaced by itself", "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("w", 1));
  Table.apply(worker("w", 2));
  CHECK(inService(Table, "w"));
  Table.remove("w");
  Table.apply(worker("w", 1));
  CHECK(inService(Table, "w"));
}

// Guards against the loss of endpoints whose start times tell nothing.
TEST_CASE("unknown and equal start times replace nobody",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("unknown", 0));
  Table.apply(worker("a", 5));
  Table.apply(worker("b", 5));
  Table.apply(worker("unknown-too", 0));
  for (const char *Id : {"unknown", "unknown-too", "a", "b"})
    CHECK(inService(Table, Id));
  for (const char *Id : {"d", "c"})
    Table.apply(worker(Id, 6));
  for (const char *Id : {"unknown", "unknown-too", "c", "d"})
    CHECK(inService(Table, Id));
  for (const char *Id : {"a", "b"})
    CHECK_FALSE(inService(Table, Id));
}

// Guards against workers that lose their work to a process at another address
// or to one that moved away.
TEST_CASE("only a worker at the same address is replaced",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("a", 1, "10.0.0.1:80"));
  Table.apply(worker("b", 2, "10.0.0.1:81"));
  CHECK(inService(Table, "a"));
  // It moves away before the address is used again.
  Table.apply(at(service("b"), "10.0.0.2:80", 2, 2));
  Table.apply(worker("c", 1, "10.0.0.1:81"));
  CHECK(inService(Table, "c"));
  // It comes to the address of another one.
  Table.apply(at(service("b"), "10.0.0.1:80", 2, 3));
  CHECK_FALSE(inService(Table, "a"));
  CHECK(inService(Table, "b"));
}

// Guards against a request that is sent to an endpoint which was replaced after
// the request had been granted or placed there.
TEST_CASE("work placed at a replaced endpoint goes elsewhere",
          "[endpoint_address]") {
  FlowFixture B;
  B.add(worker("a", 1));
  B.add(at(service("b", "zone-b"), "10.0.0.2:80", 1));
  B.Table.setStartRateLimit("orders", {0, true});
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.Legs.empty());
  B.Table.setStartRateLimit("orders", {10, false});
  B.add(at(engine("a*", EngineStage::Prefill), Shared, 2));
  F->onCallGranted({"1", "a"}, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.Io.Legs[0].EndpointId == "b");
}

// Guards against load that is lost or kept for ever when the endpoint is
// replaced while work of this entry runs there.
TEST_CASE("a replaced endpoint is kept until its work has ended",
          "[endpoint_address]") {
  EndpointTable Table;
  Table.apply(worker("w", 1));
  Table.reserve("w", {2, 100, 0});
  Table.apply(worker("w*", 2));
  CHECK(Table.find("w")->totalLoad().Runs == 2);
  Table.release("w", {1, 50, 0});
  Table.remove("w");
  REQUIRE(Table.find("w") != nullptr);
  CHECK(Table.ownLoads().at("w") == EndpointLoad{1, 50, 0});
  Table.release("w", {1, 50, 0});
  CHECK(Table.find("w") == nullptr);
}

// Guards against memory that grows with every worker that was ever replaced.
TEST_CASE("replaced endpoints that have gone are kept within a bound",
          "[endpoint_address]") {
  EndpointTable Table;
  constexpr int Count = 5'000;
  for (int I = 1; I <= Count; ++I) {
    Table.apply(worker("w-" + std::to_string(I), I));
    Table.apply(
        worker("v-" + std::to_string(I), 1, "10.0.0.1:" + std::to_string(I)));
    Table.remove("v-" + std::to_string(I));
    if (I > 1)
      Table.remove("w-" + std::to_string(I - 1));
  }
  CHECK(Table.size() == 1);
  CHECK(Table.addressCount() == 1);
  CHECK(Table.unregisteredCount() <= 1'024);
  // The last ones are still known.
  Table.remove("w-" + std::to_string(Count));
  Table.apply(worker("w-" + std::to_string(Count - 1), Count - 1));
  CHECK_FALSE(inService(Table, "w-" + std::to_string(Count - 1)));
}

} // namespace hyssoprail::routing
