#include "hyssoprail/routing/peer_board.hpp"

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;

wire::UsageReport report(const std::string &Sender, std::uint64_t Incarnation,
                         std::uint64_t Sequence, std::uint64_t Tokens) {
  wire::UsageReport R;
  R.set_sender(Sender);
  R.set_incarnation(Incarnation);
  R.set_sequence(Sequence);
  R.set_address("10.0.0.2:7600");
  wire::EndpointUse *Use = R.add_endpoints();
  Use->set_endpoint("d1");
  Use->set_runs(1);
  Use->set_tokens(Tokens);
  return R;
}

struct Board {
  Board() { Table.apply(engine("d1", EngineStage::Decode)); }

  std::int64_t tokens() { return Table.find("d1")->total().Tokens; }

  EndpointTable Table;
  SharedQuota Quota{QuotaTolerance{}};
  PeerBoard Peers{"self", Table, Quota};
};

} // namespace

// Replays an entry that is cut off from the others: both sides must go on
// counting each other's work, or they fill the same engines. On quiet days this
// cost 99,000 prompt tokens that were read in vain.
TEST_CASE("the load of a peer that has fallen silent is kept") {
  Board B;
  B.Peers.hear(report("p", 1, 1, 5'000), Start);
  for (int Ms = 0; Ms <= 6'000; Ms += 100)
    B.Peers.age(Start + milliseconds(Ms));
  REQUIRE(B.tokens() == 5'000);
  REQUIRE(B.Peers.audible(Start + milliseconds(6'000)) == 1);
  REQUIRE(B.Peers.known(Start + milliseconds(6'000)) == 2);
  B.Peers.age(Start + std::chrono::seconds(30));
  REQUIRE(B.tokens() == 0);
  REQUIRE(B.Peers.known(Start + std::chrono::seconds(30)) == 1);
}

// Guards against the load of a killed peer that stays after its restart.
TEST_CASE("a new incarnation replaces what the old one reported") {
  Board B;
  B.Peers.hear(report("p", 1, 7, 5'000), Start);
  REQUIRE(B.Peers.hear(report("p", 2, 1, 100), Start));
  REQUIRE(B.tokens() == 100);
}

// Guards against engine memory that is left to a peer which does not use it any
// more, as it has been killed or is cut off.
TEST_CASE("the waiting requests of a silent peer are left out") {
  Board B;
  wire::UsageReport R = report("p", 1, 1, 5'000);
  wire::WaitingUse *Use = R.add_waiting();
  Use->set_service("assistant");
  Use->set_waited_ms(300);
  Use->set_tokens(4'000);
  B.Peers.hear(R, Start);
  const auto Waiting = B.Peers.waitingRequests(Start + milliseconds(100));
  REQUIRE(Waiting.size() == 1);
  CHECK(Waiting.front().Arrival == Start - milliseconds(300));
  CHECK(Waiting.front().Tokens == 4'000);
  CHECK(B.Peers.waitingRequests(Start + milliseconds(700)).empty());
}

// Replays a lost zone: every entry used to find each dead engine by itself,
// while the registrations still read healthy.
TEST_CASE("an endpoint that a peer cannot reach is suspected for a while") {
  Board B;
  B.Table.apply(engine("d2", EngineStage::Decode));
  wire::UsageReport R = report("p", 1, 1, 0);
  R.add_unreachable("d2");
  B.Peers.hear(R, Start);
  CHECK(B.Table.find("d2")->isSuspect(Start + milliseconds(500)));
  CHECK_FALSE(B.Table.find("d1")->isSuspect(Start));
  CHECK_FALSE(B.Table.find("d2")->isSuspect(Start + milliseconds(700)));
}

// Guards against datagrams that overtake each other.
TEST_CASE("a report that arrives late is ignored") {
  Board B;
  B.Peers.hear(report("p", 1, 2, 5'000), Start);
  B.Peers.hear(report("p", 1, 1, 100), Start);
  REQUIRE(B.tokens() == 5'000);
}

// Guards against an entry that counts itself among its peers.
TEST_CASE("the own report is ignored") {
  Board B;
  REQUIRE_FALSE(B.Peers.hear(report("self", 1, 1, 100), Start));
  REQUIRE(B.Peers.known(Start) == 1);
}

// Guards against reports that go on to addresses where nobody lives.
TEST_CASE("a candidate that never answers is dropped") {
  Board B;
  B.Peers.addCandidate("10.0.0.9:7600", Start);
  REQUIRE(B.Peers.addresses(Start).size() == 1);
  B.Peers.age(Start + std::chrono::seconds(10));
  REQUIRE(B.Peers.addresses(Start + std::chrono::seconds(10)).empty());
}

} // namespace hyssoprail::routing
