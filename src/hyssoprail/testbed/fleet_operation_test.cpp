#include <algorithm>
#include <csignal>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "hyssoprail/testbed/background_stream.hpp"
#include "hyssoprail/testbed/started_fleet.hpp"

namespace hyssoprail::testbed {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Stated times: a change in force, and recovery after a fault.
constexpr seconds InForce{2};
constexpr seconds RecoveryTarget{5};

unsigned stockStatus(FleetProbe &Probe, unsigned Entry) {
  auto Answer = Probe.call("GET", "/stock/item-1", "", {}, Entry);
  return errorOf(Answer) != nullptr ? 0 : valueOf(Answer).Status;
}

/// Sends stock checks through \p Entry for \p Time and counts the answers.
struct Served {
  unsigned Complete = 0;
  unsigned Other = 0;
};

Served serveFor(FleetProbe &Probe, seconds Time, unsigned Entries) {
  Served Out;
  const auto End = steady_clock::now() + Time;
  for (unsigned I = 0; steady_clock::now() < End; ++I)
    ++(stockStatus(Probe, I % Entries) == 200 ? Out.Complete : Out.Other);
  return Out;
}

} // namespace

// Guards against a withdrawn key that goes on working, also for a caller that
// stays connected.
TEST_CASE("a withdrawn key stops working at every entry") {
  StartedFleet Site(testFleet("key_withdrawn"));
  CHECK(stockStatus(Site.Probe, 0) == 200);
  CHECK(stockStatus(Site.Probe, 1) == 200);
  auto Version = Site.F.change("key", "key-of-acme", json::object(), true);
  REQUIRE(errorOf(Version) == nullptr);
  for (unsigned Entry : {0U, 1U})
    CHECK(Fleet::waitUntil(
        [&] { return stockStatus(Site.Probe, Entry) == 401; }, InForce));
}

// Guards against new work in a zone that was taken out.
TEST_CASE("a zone that was taken out gets no new work") {
  FleetOptions Options = testFleet("zone_out");
  Options.Services = 3;
  StartedFleet Site(Options);
  auto Version = Site.F.change(
      "zone", "zone-1",
      {{"name", "zone-1"}, {"region", "region-0"}, {"out", true}});
  REQUIRE(errorOf(Version) == nullptr);
  REQUIRE(Site.F.waitInForce(valueOf(Version), InForce));
  const auto OutZoneCalls = [&] {
    auto Answer =
        Site.F.http().fetch(Site.F.httpAddress("service-1"), "/executions");
    return json::parse(valueOf(Answer).Body).at("executions").size();
  };
  const auto Before = OutZoneCalls();
  const Served Result = serveFor(Site.Probe, seconds(2), Options.Entries);
  CHECK(Result.Other == 0);
  CHECK(OutZoneCalls() == Before);
  auto Back = Site.F.change(
      "zone", "zone-1",
      {{"name", "zone-1"}, {"region", "region-0"}, {"out", false}});
  REQUIRE(errorOf(Back) == nullptr);
  CHECK(Fleet::waitUntil(
      [&] {
        stockStatus(Site.Probe, 0);
        return OutZoneCalls() > Before;
      },
      RecoveryTarget));
}

// Guards against a refusal of within-rate requests in an outage of the log
// that outlasts the limit leases.
TEST_CASE("requests are served while the platform's log is down") {
  StartedFleet Site(testFleet("log_down"));
  REQUIRE(succeeded(Site.F.faults({{"down", true}})));
  const Served Result = serveFor(Site.Probe, seconds(8), 2);
  CHECK(Result.Complete > 0);
  CHECK(Result.Other == 0);
  auto Refused = Site.F.change("zone", "zone-9",
                               {{"name", "zone-9"}, {"region", "region-0"}});
  CHECK(errorOf(Refused) != nullptr);
  Site.F.faults({{"down", false}});
  const bool Accepted = Fleet::waitUntil(
      [&] {
        auto R = Site.F.change("zone", "zone-8",
                               {{"name", "zone-8"}, {"region", "region-0"}});
        return errorOf(R) == nullptr;
      },
      RecoveryTarget);
  CHECK(Accepted);
}

// Guards against a change that takes effect twice or is lost when the log
// loses its answers.
TEST_CASE("a change takes effect once although the log loses answers") {
  StartedFleet Site(testFleet("log_loses"));
  Site.F.faults({{"lose_answers", 0.7}});
  for (unsigned I = 0; I < 5; ++I) {
    const std::string Name = fmt::format("zone-x{}", I);
    auto Version = Site.F.change(
        "zone", Name, {{"name", Name}, {"region", "region-0"}}, false, I % 2);
    REQUIRE(errorOf(Version) == nullptr);
    // Creating it again must conflict: it exists exactly once.
    HttpHeaders Token = {
        {"Authorization", std::string("Bearer ") + OperatorToken}};
    const json Again = {{"operation_id", "again-" + Name},
                        {"kind", "zone"},
                        {"name", Name},
                        {"base_version", 0},
                        {"remove", false},
                        {"value", {{"name", Name}, {"region", "other"}}}};
    auto Answer = Site.F.http().post(Site.F.adminAddress(0),
                                     "/admin/v1/changes", Again.dump(), Token);
    REQUIRE(errorOf(Answer) == nullptr);
    CHECK(valueOf(Answer).Status == 409);
  }
}

// Guards against two operators who both believe that their change is in force.
TEST_CASE("one of two racing operators wins") {
  StartedFleet Site(testFleet("operators_race"));
  const HttpHeaders Token = {
      {"Authorization", std::string("Bearer ") + OperatorToken}};
  const auto Body = [](unsigned Entry) {
    return json{
        {"operation_id", fmt::format("race-{}", Entry)},
        {"kind", "zone"},
        {"name", "zone-new"},
        {"base_version", 0},
        {"remove", false},
        {"value",
         {{"name", "zone-new"}, {"region", fmt::format("region-{}", Entry)}}}}
        .dump();
  };
  std::vector<unsigned> Statuses(2);
  std::vector<std::thread> Operators;
  for (unsigned Entry : {0U, 1U})
    Operators.emplace_back([&, Entry] {
      SyncHttp Http;
      auto Answer = Http.post(Site.F.adminAddress(Entry), "/admin/v1/changes",
                              Body(Entry), Token);
      Statuses[Entry] = errorOf(Answer) != nullptr ? 0 : valueOf(Answer).Status;
    });
  for (std::thread &Operator : Operators)
    Operator.join();
  CHECK(std::min(Statuses[0], Statuses[1]) == 200);
  CHECK(std::max(Statuses[0], Statuses[1]) == 409);
}

// Guards against an account that receives more than its rate and burst through
// several entries together, also when the owner of its limit dies.
TEST_CASE("an account receives no more than its burst and rate") {
  FleetOptions Options = testFleet("limit_bound");
  Options.Entries = 3;
  StartedFleet Site(Options);
  constexpr double Rate = 100;
  constexpr double Burst = 200;
  // One stock check is debited 1 token.
  auto Version = Site.F.change(
      "account", "acme", {{"name", "acme"}, {"rate", Rate}, {"burst", Burst}});
  REQUIRE(errorOf(Version) == nullptr);
  REQUIRE(Site.F.waitInForce(valueOf(Version), InForce));
  const auto Begin = steady_clock::now();
  unsigned Complete = 0;
  const auto SendFor = [&](seconds Time, unsigned First, unsigned Last) {
    const auto End = steady_clock::now() + Time;
    for (unsigned I = 0; steady_clock::now() < End; ++I)
      Complete +=
          stockStatus(Site.Probe, First + I % (Last - First + 1)) == 200;
  };
  SendFor(seconds(3), 0, 2);
  Site.F.process("entry-0").kill();
  SendFor(seconds(6), 1, 2);
  const double Seconds =
      std::chrono::duration<double>(steady_clock::now() - Begin).count();
  CHECK(Complete <= Burst + Rate * Seconds);
  CHECK(Complete > Rate);
}

// Guards against a newer configuration that is never learned by a process for
// which the log has dropped the records in between.
TEST_CASE("an entry that was paused past the log's retention catches up") {
  StartedFleet Site(testFleet("retention"));
  Site.F.process("entry-1").signal(SIGSTOP);
  Site.F.faults({{"retention_records", 20}});
  std::uint64_t Newest = 0;
  for (unsigned I = 0; I < 60; ++I) {
    const std::string Name = fmt::format("zone-r{}", I);
    auto Version =
        Site.F.change("zone", Name, {{"name", Name}, {"region", "region-0"}});
    REQUIRE(errorOf(Version) == nullptr);
    Newest = valueOf(Version);
  }
  Site.F.process("entry-1").signal(SIGCONT);
  CHECK(Site.F.waitInForce(Newest, RecoveryTarget));
}

} // namespace hyssoprail::testbed
