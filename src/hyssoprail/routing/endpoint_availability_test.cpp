#include "hyssoprail/routing/endpoint_availability.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/routing/endpoint_choice.hpp"

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::service;
using testing::Start;
using testing::started;

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
