#include "hyssoprail/process/membership.hpp"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/core/random.hpp"

namespace hyssoprail {
namespace {

wire::MemberStatus statusOf(const std::string &Name, std::uint64_t Incarnation,
                            std::uint64_t Version = 1, unsigned AgeMs = 0) {
  wire::MemberStatus S;
  S.set_name(Name);
  S.set_role("entry");
  S.set_incarnation(Incarnation);
  S.set_version(Version);
  S.set_age_ms(AgeMs);
  S.set_peer_address("tcp://" + Name);
  return S;
}

struct Fleet {
  ManualClock Clock;
  Membership Processes{MembershipOptions{}};

  MemberView onlyMember() {
    const auto All = Processes.members(Clock.now());
    REQUIRE(All.size() == 1);
    return All.front();
  }
};

} // namespace

// Guards against a dead process that is considered live, and the reverse.
TEST_CASE("a silent process becomes suspected, then gone, then expires") {
  Fleet F;
  F.Processes.recordMessage(statusOf("a", 1), F.Clock.now());
  F.Clock.advance(milliseconds(1'000));
  CHECK(F.onlyMember().State == Liveness::Live);
  CHECK(F.onlyMember().Status.age_ms() == 1'000);
  F.Clock.advance(milliseconds(1));
  CHECK(F.onlyMember().State == Liveness::Suspected);
  F.Clock.advance(milliseconds(9'000));
  CHECK(F.onlyMember().State == Liveness::Gone);
  CHECK(F.Processes.liveness(1, F.Clock.now()) == Liveness::Gone);
  CHECK(F.Processes.gossipToSend(F.Clock.now()).empty());
  F.Clock.advance(milliseconds(120'000));
  F.Processes.removeExpired(F.Clock.now());
  CHECK(F.Processes.members(F.Clock.now()).empty());
}

// Guards against two processes that keep a dead one live by gossiping about it
// to each other: the reported age must keep growing.
TEST_CASE("gossip does not keep a dead process live") {
  Fleet F;
  Membership Other{MembershipOptions{}};
  Other.recordMessage(statusOf("dead", 1), F.Clock.now());
  for (int I = 0; I < 50; ++I) {
    F.Clock.advance(milliseconds(250));
    for (const auto &S : Other.gossipToSend(F.Clock.now()))
      F.Processes.recordGossip(S, F.Clock.now());
    for (const auto &S : F.Processes.gossipToSend(F.Clock.now()))
      Other.recordGossip(S, F.Clock.now());
  }
  CHECK(F.onlyMember().State == Liveness::Gone);
}

// Guards against an old incarnation that becomes current again after its
// successor has sent a message.
TEST_CASE("a superseded incarnation never becomes current again") {
  Fleet F;
  CHECK(F.Processes.recordMessage(statusOf("a", 9, 7), F.Clock.now()));
  CHECK(F.Processes.recordMessage(statusOf("a", 2, 3), F.Clock.now()));
  CHECK(F.onlyMember().Status.incarnation() == 2);
  CHECK(F.onlyMember().Status.version() == 3);
  F.Clock.advance(milliseconds(100));
  F.Processes.recordGossip(statusOf("a", 9, 7), F.Clock.now());
  CHECK_FALSE(F.Processes.recordMessage(statusOf("a", 9, 7), F.Clock.now()));
  CHECK(F.onlyMember().Status.incarnation() == 2);
  CHECK(F.Processes.liveness(9, F.Clock.now()) == Liveness::Gone);
}

// Guards against work sent to a process that is leaving or whose VM is marked
// as leaving, and against missing entries that only the VM list contains.
TEST_CASE("leaving flags and addresses come from messages and the VM list") {
  Fleet F;
  wire::MemberStatus S = statusOf("a", 1);
  S.set_leaving(true);
  F.Processes.recordMessage(S, F.Clock.now());
  F.Processes.recordMessage(statusOf("a", 1), F.Clock.now());
  CHECK(F.onlyMember().Leaving);
  Fleet G;
  G.Processes.recordMessage(statusOf("a", 1), G.Clock.now());
  CHECK_FALSE(G.onlyMember().Leaving);
  G.Processes.setVmHints(
      {{"tcp://a", "entry", true}, {"tcp://b", "entry", false}});
  CHECK(G.onlyMember().Leaving);
  CHECK(G.Processes.entryAddresses(G.Clock.now()) ==
        std::vector<std::string>{"tcp://a", "tcp://b"});
}

// Guards against a wait for a version that ends before every process that is
// not gone has it.
TEST_CASE("processes behind a version are listed until they are gone") {
  Fleet F;
  F.Processes.recordMessage(statusOf("a", 1, 5), F.Clock.now());
  F.Processes.recordMessage(statusOf("b", 2, 4), F.Clock.now());
  CHECK(F.Processes.processesBehind(5, F.Clock.now()) ==
        std::vector<std::string>{"b"});
  F.Clock.advance(milliseconds(5'000));
  CHECK(F.Processes.processesBehind(5, F.Clock.now()) ==
        std::vector<std::string>{"b"});
  F.Clock.advance(milliseconds(5'000));
  CHECK(F.Processes.processesBehind(5, F.Clock.now()).empty());
}

// Guards against heartbeats that grow with the fleet, and against members that
// are never included because others come first.
TEST_CASE("gossip per heartbeat is bounded and rotates through all processes") {
  Fleet F;
  for (int I = 0; I < 200; ++I)
    F.Processes.recordMessage(statusOf("p" + std::to_string(I), 1U + I),
                              F.Clock.now());
  std::map<std::string, int> Seen;
  for (int I = 0; I < 4; ++I) {
    const auto Gossip = F.Processes.gossipToSend(F.Clock.now());
    CHECK(Gossip.size() == 64);
    for (const auto &S : Gossip)
      ++Seen[S.name()];
  }
  CHECK(Seen.size() == 200);
}

// Guards against processes that have received the same gossip but derive
// different views, as gossip may be repeated and arrive in any order.
TEST_CASE("the order and repetition of gossip do not matter") {
  CHECK(rc::check([](std::uint64_t Seed, std::uint8_t Count) {
    RandomSource Random(Seed);
    ManualClock Clock;
    Clock.advance(std::chrono::hours(1));
    std::vector<wire::MemberStatus> Gossip;
    for (int I = 0; I < Count; ++I) {
      auto S = statusOf(std::string(1, char('a' + Random.below(3))),
                        1 + Random.below(3), Random.below(9),
                        static_cast<unsigned>(Random.below(20'000)));
      S.set_leaving(Random.below(8) == 0);
      Gossip.push_back(S);
    }
    std::vector<std::string> Results;
    for (int Round = 0; Round < 3; ++Round) {
      Membership Processes{MembershipOptions{}};
      for (std::size_t I = Gossip.size(); I > 1; --I)
        std::swap(Gossip[I - 1], Gossip[Random.below(I)]);
      for (const auto &S : Gossip)
        Processes.recordGossip(S, Clock.now());
      if (!Gossip.empty())
        Processes.recordGossip(Gossip[Random.below(Gossip.size())],
                               Clock.now());
      std::string Text;
      for (const MemberView &M : Processes.members(Clock.now()))
        Text +=
            M.Status.SerializeAsString() + std::string(livenessName(M.State));
      Results.push_back(Text);
    }
    RC_ASSERT(Results[0] == Results[1]);
    RC_ASSERT(Results[1] == Results[2]);
  }));
}

// Guards against a load report that is cleared by a message without one, or
// that is attributed to a later incarnation.
TEST_CASE("the newest load report stays with its incarnation") {
  Fleet F;
  wire::LoadReport Load;
  Load.set_slots(7);
  F.Processes.recordMessage(statusOf("a", 1), F.Clock.now(), &Load);
  F.Processes.recordMessage(statusOf("a", 1), F.Clock.now());
  F.Processes.recordGossip(statusOf("a", 1), F.Clock.now());
  REQUIRE(F.onlyMember().Load);
  CHECK(F.onlyMember().Load->slots() == 7);
  F.Clock.advance(milliseconds(1));
  F.Processes.recordMessage(statusOf("a", 2), F.Clock.now());
  CHECK_FALSE(F.onlyMember().Load);
}

} // namespace hyssoprail
