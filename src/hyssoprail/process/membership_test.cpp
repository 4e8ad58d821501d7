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
  Membership Known{MembershipOptions{}};

  MemberView only() {
    const auto All = Known.members(Clock.now());
    REQUIRE(All.size() == 1);
    return All.front();
  }
};

} // namespace

// Guards against a dead process that counts as live, or a live one as dead.
TEST_CASE("a silent process becomes suspected, then gone, then forgotten") {
  Fleet F;
  F.Known.recordMessage(statusOf("a", 1), F.Clock.now());
  F.Clock.advance(milliseconds(1'000));
  CHECK(F.only().State == Liveness::Live);
  CHECK(F.only().Status.age_ms() == 1'000);
  F.Clock.advance(milliseconds(1));
  CHECK(F.only().State == Liveness::Suspected);
  F.Clock.advance(milliseconds(9'000));
  CHECK(F.only().State == Liveness::Gone);
  CHECK(F.Known.liveness(1, F.Clock.now()) == Liveness::Gone);
  CHECK(F.Known.gossipToSend(F.Clock.now()).empty());
  F.Clock.advance(milliseconds(120'000));
  F.Known.removeExpired(F.Clock.now());
  CHECK(F.Known.members(F.Clock.now()).empty());
}

// Guards against gossip that keeps a dead process alive for ever: news must
// age on its way.
TEST_CASE("processes that gossip do not refresh a dead one") {
  Fleet F;
  Membership Other{MembershipOptions{}};
  Other.recordMessage(statusOf("dead", 1), F.Clock.now());
  for (int I = 0; I < 50; ++I) {
    F.Clock.advance(milliseconds(250));
    for (const auto &S : Other.gossipToSend(F.Clock.now()))
      F.Known.recordGossip(S, F.Clock.now());
    for (const auto &S : F.Known.gossipToSend(F.Clock.now()))
      Other.recordGossip(S, F.Clock.now());
  }
  CHECK(F.only().State == Liveness::Gone);
}

// Guards against an old incarnation that returns after its successor spoke.
TEST_CASE("an incarnation that was followed by another never counts again") {
  Fleet F;
  CHECK(F.Known.recordMessage(statusOf("a", 9, 7), F.Clock.now()));
  CHECK(F.Known.recordMessage(statusOf("a", 2, 3), F.Clock.now()));
  CHECK(F.only().Status.incarnation() == 2);
  CHECK(F.only().Status.version() == 3);
  F.Clock.advance(milliseconds(100));
  F.Known.recordGossip(statusOf("a", 9, 7), F.Clock.now());
  CHECK_FALSE(F.Known.recordMessage(statusOf("a", 9, 7), F.Clock.now()));
  CHECK(F.only().Status.incarnation() == 2);
  CHECK(F.Known.liveness(9, F.Clock.now()) == Liveness::Gone);
}

// Guards against work sent to a process that said it leaves, or whose VM is
// marked, and against entries that are known from the VM list only.
TEST_CASE("leaving marks and addresses come from both sources") {
  Fleet F;
  wire::MemberStatus S = statusOf("a", 1);
  S.set_leaving(true);
  F.Known.recordMessage(S, F.Clock.now());
  F.Known.recordMessage(statusOf("a", 1), F.Clock.now());
  CHECK(F.only().Leaving);
  Fleet G;
  G.Known.recordMessage(statusOf("a", 1), G.Clock.now());
  CHECK_FALSE(G.only().Leaving);
  G.Known.vmList({{"tcp://a", "entry", true}, {"tcp://b", "entry", false}});
  CHECK(G.only().Leaving);
  CHECK(G.Known.entryAddresses(G.Clock.now()) ==
        std::vector<std::string>{"tcp://a", "tcp://b"});
}

// Guards against a wait that ends before every live process has the version.
TEST_CASE("processes behind a version are named until they are gone") {
  Fleet F;
  F.Known.recordMessage(statusOf("a", 1, 5), F.Clock.now());
  F.Known.recordMessage(statusOf("b", 2, 4), F.Clock.now());
  CHECK(F.Known.behind(5, F.Clock.now()) == std::vector<std::string>{"b"});
  F.Clock.advance(milliseconds(5'000));
  CHECK(F.Known.behind(5, F.Clock.now()) == std::vector<std::string>{"b"});
  F.Clock.advance(milliseconds(5'000));
  CHECK(F.Known.behind(5, F.Clock.now()).empty());
}

// Guards against heartbeats that grow with the fleet, and against members that
// are never passed on because others come first.
TEST_CASE("news is bounded and goes through all processes") {
  Fleet F;
  for (int I = 0; I < 200; ++I)
    F.Known.recordMessage(statusOf("p" + std::to_string(I), 1U + I),
                          F.Clock.now());
  std::map<std::string, int> Seen;
  for (int I = 0; I < 4; ++I) {
    const auto News = F.Known.gossipToSend(F.Clock.now());
    CHECK(News.size() == 64);
    for (const auto &S : News)
      ++Seen[S.name()];
  }
  CHECK(Seen.size() == 200);
}

// Guards against views that differ although the same news arrived: gossip may
// be repeated and come in any order.
TEST_CASE("the order and repetition of gossip do not matter") {
  CHECK(rc::check([](std::uint64_t Seed, std::uint8_t Count) {
    RandomSource Random(Seed);
    ManualClock Clock;
    Clock.advance(std::chrono::hours(1));
    std::vector<wire::MemberStatus> News;
    for (int I = 0; I < Count; ++I) {
      auto S = statusOf(std::string(1, char('a' + Random.below(3))),
                        1 + Random.below(3), Random.below(9),
                        static_cast<unsigned>(Random.below(20'000)));
      S.set_leaving(Random.below(8) == 0);
      News.push_back(S);
    }
    std::vector<std::string> Results;
    for (int Round = 0; Round < 3; ++Round) {
      Membership Known{MembershipOptions{}};
      for (std::size_t I = News.size(); I > 1; --I)
        std::swap(News[I - 1], News[Random.below(I)]);
      for (const auto &S : News)
        Known.recordGossip(S, Clock.now());
      if (!News.empty())
        Known.recordGossip(News[Random.below(News.size())], Clock.now());
      std::string Text;
      for (const MemberView &M : Known.members(Clock.now()))
        Text +=
            M.Status.SerializeAsString() + std::string(livenessName(M.State));
      Results.push_back(Text);
    }
    RC_ASSERT(Results[0] == Results[1]);
    RC_ASSERT(Results[1] == Results[2]);
  }));
}

// Guards against a load report that is lost with a message without one, or that
// outlives its process.
TEST_CASE("the newest load report stays with its incarnation") {
  Fleet F;
  wire::LoadReport Load;
  Load.set_slots(7);
  F.Known.recordMessage(statusOf("a", 1), F.Clock.now(), &Load);
  F.Known.recordMessage(statusOf("a", 1), F.Clock.now());
  F.Known.recordGossip(statusOf("a", 1), F.Clock.now());
  REQUIRE(F.only().Load);
  CHECK(F.only().Load->slots() == 7);
  F.Clock.advance(milliseconds(1));
  F.Known.recordMessage(statusOf("a", 2), F.Clock.now());
  CHECK_FALSE(F.only().Load);
}

} // namespace hyssoprail
