// Tests of limits that endpoints have stated whose registrations lapse.
#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::service;
using testing::Start;

} // namespace

// Guards against an endpoint whose limit is forgotten because its registration
// lapses and returns while its process goes on: all calls of the time until its
// next response would reach it. The bound is that of the platform.
TEST_CASE("the limit of an endpoint holds while its registration lapses") {
  constexpr double PerSecond = 4;
  constexpr milliseconds Window{4'000};
  constexpr milliseconds ResponseTime{100};
  constexpr milliseconds Step{5};
  EndpointTable Table;
  Table.setLimitShare(1, Start);
  EndpointRecord Record = service("a");
  Record.StartedAtMs = 1;
  Table.apply(Record);
  Table.recordLimit("a", PerSecond, Start);
  std::vector<TimePoint> Sent;
  std::size_t Answered = 0;
  for (TimePoint Now = Start; Now < Start + Window; Now += Step) {
    if (Now - Start == milliseconds(2'000))
      Table.remove("a");
    if (Now - Start == milliseconds(2'100))
      Table.apply(Record);
    for (; Answered < Sent.size() && Sent[Answered] + ResponseTime <= Now;
         ++Answered)
      Table.recordLimit("a", PerSecond, Now);
    if (!Table.usable("orders", Now).empty()) {
      Table.recordSend("a", Now);
      Sent.push_back(Now);
    }
  }
  CHECK(Sent.size() >= 12);
  CHECK(Sent.size() <= 29);
  CHECK_FALSE(Table.grantable("orders", Start + Window).empty());
}

// Guards against an entry that sends to such an endpoint without a grant, and
// against a limit that outlasts the process that stated it.
TEST_CASE("the limit of a lapsed registration belongs to its incarnation") {
  EndpointTable Table;
  EndpointRecord Record = service("a");
  Record.StartedAtMs = 5;
  Table.apply(Record);
  Table.recordLimit("a", 4, Start);
  Table.remove("a");
  CHECK(Table.grantable("orders", Start).empty());
  SECTION("the same one is limited") {
    Table.apply(Record);
    CHECK(Table.usable("orders", Start + std::chrono::hours(1)).empty());
    CHECK(Table.grantable("orders", Start).size() == 1);
    Table.recordLimit("a", std::nullopt, Start + milliseconds(500));
    CHECK(Table.usable("orders", Start + milliseconds(500)).size() == 1);
  }
  SECTION("a later one gets one request") {
    Record.StartedAtMs = 6;
    Table.apply(Record);
    REQUIRE(Table.usable("orders", Start).size() == 1);
    Table.recordSend("a", Start);
    CHECK(Table.usable("orders", Start).empty());
  }
  SECTION("one of unknown start time is not limited") {
    Record.StartedAtMs = 0;
    Table.apply(Record);
    Table.recordSend("a", Start);
    CHECK(Table.usable("orders", Start).size() == 1);
  }
}

// Guards against grants that build up for an endpoint whose registration has
// lapsed when the entry gets a share of its limit.
TEST_CASE("a new coordinator begins without grants of lapsed registrations") {
  EndpointTable Table;
  EndpointRecord Record = service("a");
  Record.StartedAtMs = 1;
  Table.apply(Record);
  Table.recordLimit("a", 4, Start);
  Table.remove("a");
  const TimePoint Later = Start + std::chrono::seconds(60);
  Table.setLimitShare(1, Later);
  Table.apply(Record);
  CHECK(Table.usable("orders", Later).empty());
  CHECK(Table.usable("orders", Later + milliseconds(250)).size() == 1);
}

// Guards against memory that grows with every endpoint that ever had a limit.
TEST_CASE("limits of endpoints that have gone are kept within a bound") {
  EndpointTable Table;
  for (int I = 0; I < 5'000; ++I) {
    EndpointRecord Record = service("w-" + std::to_string(I));
    Record.StartedAtMs = 1;
    Table.apply(Record);
    Table.recordLimit(Record.Id, 4, Start);
    Table.remove(Record.Id);
  }
  CHECK(Table.size() == 0);
  CHECK(Table.unregisteredCount() <= 1'024);
}

} // namespace hyssoprail::routing
