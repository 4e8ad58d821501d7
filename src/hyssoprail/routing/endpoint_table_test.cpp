#include "hyssoprail/routing/endpoint_table.hpp"

#include <limits>

#include <catch2/catch.hpp>

#include "hyssoprail/routing/endpoint_choice.hpp"

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::service;
using testing::Start;

} // namespace

// Guards against a delayed registration that makes a draining endpoint usable
// again.
TEST_CASE("an older report does not replace a newer one") {
  EndpointTable Table;
  EndpointRecord R = service("s1");
  R.StartedAtMs = 100;
  R.Sequence = 5;
  R.Draining = true;
  Table.apply(R);
  EndpointRecord Old = R;
  Old.Sequence = 4;
  Old.Draining = false;
  REQUIRE_FALSE(Table.apply(Old));
  REQUIRE(Table.usable("orders", Start).empty());
  EndpointRecord Restarted = R;
  Restarted.StartedAtMs = 200;
  Restarted.Sequence = 0;
  Restarted.Draining = false;
  REQUIRE(Table.apply(Restarted));
  REQUIRE(Table.usable("orders", Start).size() == 1);
}

// Guards against new work for endpoints that are draining, were removed or are
// in an excluded zone.
TEST_CASE("removed endpoints and excluded zones are not usable") {
  EndpointTable Table;
  Table.apply(service("a", "zone-a"));
  Table.apply(service("b", "zone-b"));
  Table.setExcludedZones({"zone-b"});
  REQUIRE(Table.usable("orders", Start).size() == 1);
  Table.remove("a");
  REQUIRE(Table.usable("orders", Start).empty());
  Table.setExcludedZones({});
  REQUIRE(Table.usable("orders", Start).size() == 1);
}

// Guards against numbers of a peer that overflow: the sum became negative, so a
// full endpoint looked empty to all others.
TEST_CASE("huge loads of peers do not make an endpoint look empty") {
  constexpr std::int32_t Most = std::numeric_limits<std::int32_t>::max();
  EndpointTable Table;
  Table.apply(service("a"));
  for (const char *Peer : {"p", "q"})
    Table.setPeerLoad(Peer, {{"a", {Most, 0, 0}}});
  CHECK(Table.find("a")->totalLoad().Runs > 1'000);
  Table.setPeerLoad("s", {{"a", {-5, 0, 0}}});
  CHECK(Table.find("a")->totalLoad().Runs > 1'000);
  for (const char *Peer : {"p", "q", "s"})
    Table.setPeerLoad(Peer, {});
  CHECK(Table.find("a")->totalLoad() == EndpointLoad{});
}

// Guards against load that is lost or counted twice as peer reports change.
TEST_CASE("a peer's report replaces its earlier one") {
  EndpointTable Table;
  Table.setPeerLoad("p", {{"a", {1, 100, 0}}});
  Table.apply(service("a"));
  REQUIRE(Table.find("a")->totalLoad().Tokens == 100);
  Table.setPeerLoad("p", {{"a", {2, 300, 0}}});
  REQUIRE(Table.find("a")->totalLoad() == EndpointLoad{2, 300, 0});
  Table.setPeerLoad("p", {});
  REQUIRE(Table.find("a")->totalLoad() == EndpointLoad{});
}

// Guards against an endpoint that is erased while its work still runs: the
// release of that work would then be lost.
TEST_CASE("a removed endpoint is kept until its work has ended") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.reserve("a", {1, 0, 0});
  Table.remove("a");
  REQUIRE(Table.find("a") != nullptr);
  Table.release("a", {1, 0, 0});
  REQUIRE(Table.find("a") == nullptr);
}

// Replays a burst at an endpoint that may turn cold at any moment: in no second
// may it receive more than this entry's share of what it can take.
TEST_CASE("starts in any second stay within the limit") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.setStartRateLimit("orders", {4});
  std::vector<TimePoint> Sent;
  for (int Ms = 0; Ms < 5'000; Ms += 20) {
    const TimePoint Now = Start + milliseconds(Ms);
    if (!Table.usable("orders", Now).empty()) {
      Table.recordSend("a", Now);
      Sent.push_back(Now);
    }
  }
  for (std::size_t I = 4; I < Sent.size(); ++I)
    REQUIRE(Sent[I] - Sent[I - 4] >= std::chrono::seconds(1));
  REQUIRE(Sent.size() >= 16);
}

// Replays the loss of a zone: every entry used to discover each dead engine by
// itself while the registrations still looked healthy.
TEST_CASE(
    "an endpoint that another entry cannot reach is a suspect for a time") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.apply(service("b"));
  Table.recordFromPeer("entry-1", "a", HealthSignal::Unreachable, Start);
  CHECK(Table.find("a")->isSuspect(Start + milliseconds(500)));
  CHECK(Table.find("a")->Health.usable(Start));
  CHECK_FALSE(Table.find("b")->isSuspect(Start));
  CHECK_FALSE(Table.find("a")->isSuspect(Start + milliseconds(1'300)));
}

// Guards against prompts that are prefilled for decode engines which no entry
// can reach, when all others are full.
TEST_CASE("an endpoint that two entries cannot reach gets no work") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.recordFromPeer("entry-1", "a", HealthSignal::Unreachable, Start);
  Table.recordFromPeer("entry-1", "a", HealthSignal::Unreachable, Start);
  REQUIRE(Table.usable("orders", Start).size() == 1);
  Table.recordFromPeer("entry-2", "a", HealthSignal::Unreachable, Start);
  REQUIRE(Table.usable("orders", Start).empty());
}

// Guards against calls that leave the zone without need or overload one
// endpoint.
TEST_CASE("calls go to the least loaded endpoint, in the own zone first") {
  EndpointTable Table;
  Table.apply(service("far", "zone-b"));
  Table.apply(service("home", "zone-a"));
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {}, Start)->Record.Id ==
          "home");
  Table.reserve("home", {3, 0, 0});
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {}, Start)->Record.Id ==
          "far");
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {"far", "home"}, Start) ==
          nullptr);
}

// Replays an incident: a series of failed calls made all endpoints of a service
// unusable, and 29 callers were rejected within 2 s.
TEST_CASE("calls are not refused while an endpoint might still answer") {
  EndpointTable Table;
  Table.apply(service("a"));
  Table.apply(service("b"));
  for (const char *Id : {"a", "b"})
    for (int I = 0; I < 10; ++I) {
      Table.find(Id)->Health.record(HealthSignal::AppError, Start);
      Table.find(Id)->Health.record(HealthSignal::Broken, Start);
    }
  REQUIRE(Table.usable("orders", Start).empty());
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {}, Start) != nullptr);
  Table.find("a")->Health.record(HealthSignal::Unreachable, Start);
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {}, Start)->Record.Id ==
          "b");
  Table.find("b")->Health.record(HealthSignal::Unreachable, Start);
  REQUIRE(chooseForCall(Table, "orders", "zone-a", {}, Start) == nullptr);
}

} // namespace hyssoprail::routing
