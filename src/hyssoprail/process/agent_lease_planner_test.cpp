#include "hyssoprail/process/agent_lease_planner.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

constexpr const char *AgentAddress = "tcp://127.0.0.1:1";

/// Three live member entries with incarnations 1 to 3 that read the same log.
/// Tests append the records themselves.
struct Entries {
  Entries() {
    Log = testing::fleet();
    for (std::uint64_t I = 1; I <= 3; ++I) {
      Log.push_back(testing::member("m" + std::to_string(I), I,
                                    "entry-" + std::to_string(I)));
      Planners.emplace_back(AgentLeaseOptions{}, I);
      Live.push_back({I, 0, false});
    }
    applyLog();
  }

  void applyLog() { Store.apply(testing::numbered(Log)); }

  void append(wire::LogRecord Record) {
    Log.push_back(std::move(Record));
    applyLog();
  }

  /// Delivers the agent's ack to every entry.
  void ack(std::uint64_t Incarnation, bool NeedsLease = true,
           const std::string &Endpoint = "d1",
           const std::string &Address = AgentAddress) {
    wire::HeartbeatAck Ack;
    Ack.set_endpoint(Endpoint);
    Ack.set_needs_lease(NeedsLease);
    for (AgentLeasePlanner &P : Planners)
      P.handleAck(Address, Ack, Incarnation, Clock.now());
  }

  std::vector<wire::LogRecord> plan(std::size_t Entry, bool Leaving = false) {
    return Planners[Entry].plan(Store, Live, Leaving, Clock.now());
  }

  /// Indices of the entries that would append a record now. As plan() does,
  /// marks the returned records as being appended.
  std::vector<std::size_t> entriesWithRecords() {
    std::vector<std::size_t> Out;
    for (std::size_t I = 0; I < Planners.size(); ++I)
      if (!plan(I).empty())
        Out.push_back(I);
    return Out;
  }

  /// Advances the clock while the agent repeats its request every 250 ms.
  void advance(milliseconds Length, std::uint64_t Incarnation) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(250)) {
      Clock.advance(milliseconds(250));
      ack(Incarnation);
    }
  }

  ManualClock Clock;
  ConfigStore Store;
  std::vector<wire::LogRecord> Log;
  std::vector<AgentLeasePlanner> Planners;
  std::vector<LivePeer> Live;
};

} // namespace

// Guards against an agent whose request is never answered, and against every
// entry appending the same lease.
TEST_CASE("one of several entries appends the lease at once") {
  Entries E;
  CHECK(E.entriesWithRecords().empty());
  E.ack(0xab);
  std::vector<wire::LogRecord> Records;
  for (std::size_t I = 0; I < 3; ++I)
    for (wire::LogRecord &R : E.plan(I))
      Records.push_back(std::move(R));
  REQUIRE(Records.size() == 1);
  CHECK(Records[0].operation_id() == "agent-lease/d1/ab");
  CHECK(Records[0].agent_lease().endpoint() == "d1");
  CHECK(Records[0].agent_lease().incarnation() == 0xab);
  // The agent repeats its request until it has received the record.
  E.append(Records[0]);
  REQUIRE(E.Store.agentLease("d1"));
  E.advance(milliseconds(5'000), 0xab);
  CHECK(E.entriesWithRecords().empty());
  // A new incarnation gets its own record.
  E.ack(0xac);
  CHECK(E.entriesWithRecords().size() == 1);
}

// Guards against an agent that never gets a lease because the first-ranked
// entry cannot append or has died, and against all other entries appending at
// once.
TEST_CASE("lower-ranked entries append after a delay per rank") {
  Entries E;
  E.ack(5);
  const auto First = E.entriesWithRecords();
  REQUIRE(First.size() == 1);
  CHECK(E.entriesWithRecords().empty());
  E.advance(milliseconds(1'000), 5);
  const auto Second = E.entriesWithRecords();
  REQUIRE(Second.size() == 1);
  CHECK(Second != First);
  E.advance(milliseconds(1'000), 5);
  CHECK(E.entriesWithRecords().size() == 1);
}

// Guards against append delays caused by entries that cannot append.
TEST_CASE("entries that are dead, leaving or not members are not ranked") {
  Entries E;
  E.ack(5);
  const std::size_t First = E.entriesWithRecords().at(0);
  E.ack(6);
  CHECK(E.plan(First, true).empty());
  SECTION("dead") { E.Live.erase(E.Live.begin() + static_cast<long>(First)); }
  SECTION("leaving") { E.Live[First].Leaving = true; }
  SECTION("removed") {
    wire::LogRecord Gone =
        testing::member("gone", First + 1, E.Log.back().member().name());
    Gone.mutable_member()->set_gone(true);
    E.append(Gone);
    CHECK(E.plan(First).empty());
  }
  std::size_t Others = 0;
  for (std::size_t I = 0; I < 3; ++I)
    if (I != First && !E.plan(I).empty())
      ++Others;
  CHECK(Others == 1);
}

// Guards against repeated appends while the log is slow or unavailable.
TEST_CASE("at most one append per agent incarnation is in flight") {
  Entries E;
  E.ack(5);
  const std::size_t First = E.entriesWithRecords().at(0);
  E.ack(5);
  CHECK(E.plan(First).empty());
  // The request expires and is repeated while the append is in flight.
  E.Clock.advance(milliseconds(1'500));
  CHECK(E.plan(First).empty());
  E.ack(5);
  CHECK(E.plan(First).empty());
  wire::LogRecord Sent = testing::agentLease("agent-lease/d1/5", "d1", 5);
  E.Planners[First].appendEnded(Sent, E.Clock.now());
  CHECK(E.plan(First).empty());
  E.advance(milliseconds(1'000), 5);
  CHECK(E.plan(First).size() == 1);
}

// Guards against a lease for an agent that the configuration does not list.
TEST_CASE("only the configured agent of an endpoint gets a lease") {
  Entries E;
  E.ack(5, true, "d9");
  CHECK(E.entriesWithRecords().empty());
  E.ack(5, true, "d1", "tcp://127.0.0.1:2");
  CHECK(E.entriesWithRecords().empty());
  E.ack(0);
  CHECK(E.entriesWithRecords().empty());
  E.append(testing::change(
      "remove",
      testing::endpointObject("d1", "chat", wire::ENDPOINT_ROLE_DECODE, "vm1"),
      7, true));
  REQUIRE(E.Store.current()->endpoint("d1") == nullptr);
  E.ack(5);
  CHECK(E.entriesWithRecords().empty());
}

// Guards against a lease for an agent that withdrew its request or stopped
// repeating it.
TEST_CASE("a request that is withdrawn or not repeated has no effect") {
  Entries E;
  E.ack(5);
  E.ack(5, false);
  CHECK(E.entriesWithRecords().empty());
  E.ack(5);
  E.Clock.advance(milliseconds(1'001));
  CHECK(E.entriesWithRecords().empty());
}

// Guards against endless appends: the reducer ignores a repeated operation id,
// so a replaced incarnation can never get the lease back.
TEST_CASE("a lease that was replaced is not appended again") {
  Entries E;
  E.append(testing::agentLease("agent-lease/d1/5", "d1", 5));
  E.append(testing::agentLease("agent-lease/d1/6", "d1", 6));
  E.ack(5);
  CHECK(E.entriesWithRecords().empty());
}

} // namespace hyssoprail
