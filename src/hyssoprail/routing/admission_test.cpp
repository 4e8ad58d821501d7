#include <cmath>
#include <deque>

#include <catch2/catch.hpp>

#include "admission_test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Coordinator;
using testing::Follower;
using testing::Ids;
using testing::Start;

} // namespace

// Replays a burst: each of many entries has a queued request when one engine
// frees memory for a single one. When entries decided separately, all of them
// took that memory, and the engine refused the KV caches of all but the first.
TEST_CASE("freed memory is granted to only one of the waiting entries") {
  Coordinator C;
  std::deque<Follower> Entries;
  for (int I = 0; I < 8; ++I)
    Entries.emplace_back("entry-" + std::to_string(I));
  Entries[0].request("running-1", Start);
  Entries[0].request("running-2", Start);
  REQUIRE(C.exchange(Entries[0]).size() == 2);
  for (int I = 0; I < 8; ++I) {
    const std::string Id = "waits-" + std::to_string(I);
    Entries[I].request(Id, Start - milliseconds(10 * I));
    REQUIRE(C.exchange(Entries[I]).empty());
  }
  Entries[0].Client.release("running-1", C.Now);
  Ids Placed;
  for (Follower &F : Entries)
    for (const std::string &Id : C.exchange(F))
      Placed.push_back(Id);
  CHECK(Placed == Ids{"waits-7"});
}

// Guards against a request that is placed twice, or never, when the update with
// its placement is lost.
TEST_CASE("a placement whose update was lost is sent again") {
  Coordinator C;
  Follower F("entry");
  F.request("1", Start);
  C.handleReport(F);
  C.Server.decide(C.Now);
  const std::int64_t Held = C.tokens();
  C.update(F); // the update is lost
  REQUIRE(F.Client.hasUnconfirmedRequest());
  REQUIRE(C.exchange(F) == Ids{"1"});
  REQUIRE(C.exchange(F).empty());
  CHECK(C.tokens() == Held);
  CHECK_FALSE(F.Client.hasUnconfirmedRequest());
}

// Guards against memory that stays reserved for a caller that left before its
// placement was delivered.
TEST_CASE("a placement for a cancelled request is released") {
  Coordinator C;
  Follower F("entry");
  F.request("1", Start);
  C.handleReport(F);
  C.Server.decide(C.Now);
  F.Client.cancel("1");
  CHECK(F.Client.applyUpdate(C.update(F), C.Now).empty());
  C.handleReport(F);
  CHECK(C.tokens() == 0);
}

// Guards against datagrams that arrive out of order.
TEST_CASE("a report that arrives out of order is ignored") {
  Coordinator C;
  Follower F("entry");
  F.request("1", Start);
  const wire::EntryReport Early = F.report(C.Now);
  REQUIRE(C.exchange(F) == Ids{"1"});
  F.Client.release("1", C.Now);
  C.handleReport(F);
  C.Server.handleReport(Early, C.Now);
  C.Server.decide(C.Now);
  CHECK(C.tokens() == 0);
}

// Guards against load of a killed entry that is still counted after its
// restart.
TEST_CASE("a new incarnation replaces the reservations of the old one") {
  Coordinator C;
  Follower Old("entry", 1);
  Old.request("1", Start);
  REQUIRE(C.exchange(Old) == Ids{"1"});
  Follower New("entry", 2);
  C.Now += milliseconds(300);
  C.handleReport(New);
  CHECK(C.tokens() == 0);
}

// Guards against a datagram of a killed process that arrives after its
// successor has reported: it released the successor's reservations. Found by
// the property test in admission_loss_test.cpp.
TEST_CASE("a delayed report of a former incarnation is ignored") {
  Coordinator C;
  Follower Old("entry", 1);
  Old.request("1", Start);
  C.handleReport(Old);
  const wire::EntryReport Late = Old.report(C.Now);
  Follower New("entry", 2);
  New.request("2", Start);
  C.Now += milliseconds(300);
  REQUIRE(C.exchange(New) == Ids{"2"});
  const std::int64_t Held = C.tokens();
  C.Server.handleReport(Late, C.Now);
  C.handleReport(New);
  CHECK(C.tokens() == Held);
}

// Replays an entry that is partitioned from the coordinator: its generations
// continue, and engines that are wrongly considered free refuse generations
// whose prompts were prefilled. On quiet days this wasted 99,000 prompt
// tokens.
TEST_CASE("reservations of a silent entry are kept for a time") {
  Coordinator C;
  Follower F("entry");
  F.request("1", Start);
  REQUIRE(C.exchange(F) == Ids{"1"});
  const std::int64_t Held = C.tokens();
  for (int Ms = 0; Ms <= 6'000; Ms += 100)
    C.Server.forgetSilentEntries(Start + milliseconds(Ms));
  CHECK(C.tokens() == Held);
  CHECK(C.Server.liveEntryCount(Start + milliseconds(6'000)) == 1);
  CHECK(C.Server.knownEntryCount() == 2);
  C.Server.forgetSilentEntries(Start + std::chrono::seconds(30));
  CHECK(C.tokens() == 0);
  CHECK(C.Server.knownEntryCount() == 1);
}

// Replays the loss of the coordinator at full load: its successor must learn
// what was granted before it decides, or it over-commits full engines.
TEST_CASE("a new coordinator takes over what its predecessor granted") {
  Coordinator Former;
  Follower A("entry-a");
  Follower B("entry-b");
  A.request("1", Start);
  B.request("2", Start);
  REQUIRE(Former.exchange(A) == Ids{"1"});
  REQUIRE(Former.exchange(B) == Ids{"2"});
  Coordinator Next;
  Next.Server.startTerm(2, Next.Now);
  A.request("3", Start);
  REQUIRE(Next.exchange(A).empty());
  Next.handleReport(B);
  CHECK(Next.tokens() == Former.tokens());
  Next.Now += milliseconds(200);
  REQUIRE(Next.exchange(A).empty());
  A.Client.release("1", Next.Now);
  CHECK(Next.exchange(A) == Ids{"3"});
}

// Guards against prefill work whose result nobody can use: the caller's key may
// expire or its deadline pass before any coordinator answers.
TEST_CASE("requests are refused in time if no coordinator decides") {
  Follower F("entry");
  F.request("1", Start);
  F.report(Start);
  CHECK(F.Client.expire(Start + milliseconds(3'000)).empty());
  const auto Refused = F.Client.expire(Start + milliseconds(3'400));
  REQUIRE(Refused.size() == 1);
  CHECK(std::get<StreamRefusal>(Refused[0]).RetryAfter > milliseconds(0));
}

// Guards against an account that gets its quota once from every entry, and
// against grants that are counted against the entry that reported them.
TEST_CASE("entries learn what the others have granted to an account") {
  Coordinator C;
  Follower A("entry-a");
  Follower B("entry-b");
  const auto ReportWith = [&](Follower &F, double Tokens) {
    wire::EntryReport R = F.report(C.Now);
    wire::AccountUse *Use = R.add_accounts();
    Use->set_account("acme");
    Use->set_tokens(Tokens);
    C.Server.handleReport(R, C.Now);
  };
  ReportWith(A, 5'000); // granted before this term
  ReportWith(B, 0);
  ReportWith(A, 5'300);
  ReportWith(B, 200);
  REQUIRE(C.update(A).accounts_size() == 1);
  CHECK(C.update(A).accounts(0).tokens() == 200);
  CHECK(C.update(B).accounts(0).tokens() == 300);
}

// Guards against charging twice what entries granted between two terms of the
// same coordinator: it refused an account within its quota until the whole
// amount had been refilled.
TEST_CASE("what was granted between two terms is not charged again") {
  Coordinator C;
  Follower A("entry-a");
  const auto ReportWith = [&](double Tokens) {
    wire::EntryReport R = A.report(C.Now);
    wire::AccountUse *Use = R.add_accounts();
    Use->set_account("acme");
    Use->set_tokens(Tokens);
    C.Server.handleReport(R, C.Now);
  };
  ReportWith(0);
  C.Server.endTerm(C.Now);
  C.Now += std::chrono::seconds(60);
  C.Server.startTerm(1, C.Now);
  ReportWith(50'000); // charged from the updates of another coordinator
  CHECK(C.Quota.take("acme", 1'000, C.Now).Granted);
  ReportWith(50'400);
  CHECK_FALSE(C.Quota.take("acme", 100, C.Now).Granted);
}

// Guards against the loss of a zone that takes away the coordinator and all of
// its deputies.
TEST_CASE("deputies are spread over zones") {
  Coordinator C;
  std::deque<Follower> Followers;
  for (const std::string Zone : {"zone-a", "zone-b", "zone-c"})
    for (int I = 0; I < 4; ++I)
      Followers.emplace_back(Zone + "/" + std::to_string(I));
  Followers.emplace_back("zone-a/large").Weight = 2;
  Follower &Self = Followers.emplace_back("self");
  for (Follower &F : Followers) {
    wire::EntryReport R = F.report(C.Now);
    R.set_zone(&F == &Self ? "zone-a" : F.Name.substr(0, F.Name.find('/')));
    C.Server.handleReport(R, C.Now);
  }
  const Ids Deputies = C.Server.deputies(3, C.Now);
  REQUIRE(Deputies.size() == 3);
  CHECK(Deputies[0] == "zone-a/large");
  CHECK(Deputies[1].substr(0, 6) != "zone-a");
  CHECK(Deputies[2].substr(0, 6) != "zone-a");
  CHECK(Deputies[1].substr(0, 6) != Deputies[2].substr(0, 6));
}

// Replays the return of a zone's endpoints in a fleet of many entries. One
// entry used to send the changes to all others, and its coordinator updates
// queued behind them.
TEST_CASE("fleet changes are passed on within each zone") {
  Coordinator C;
  std::deque<Follower> Followers;
  for (const std::string Zone : {"zone-a", "zone-b"})
    for (int I = 0; I < 8; ++I) {
      Follower &F = Followers.emplace_back(Zone + "/" + std::to_string(I));
      F.Weight = I == 5 ? 2 : 1;
    }
  Follower &Alone = Followers.emplace_back("zone-c/0");
  const auto HearAll = [&] {
    for (Follower &F : Followers) {
      wire::EntryReport R = F.report(C.Now);
      R.set_zone(F.Name.substr(0, F.Name.find('/')));
      R.mutable_state()->set_address(F.Name);
      C.Server.handleReport(R, C.Now);
    }
    C.Server.chooseNearbySources(C.Now);
  };
  HearAll();
  CHECK(C.Server.nearbySource("zone-a/0") == "zone-a/5");
  CHECK(C.Server.nearbySource("zone-b/7") == "zone-b/5");
  CHECK(C.Server.nearbySource("zone-a/5").empty());
  CHECK(C.Server.nearbySource(Alone.Name).empty());

  // A source that has stopped reporting is replaced.
  std::erase_if(Followers,
                [](const Follower &F) { return F.Name == "zone-a/5"; });
  Followers.emplace_back("zone-a/8");
  C.Now += milliseconds(800);
  HearAll();
  CHECK(C.Server.nearbySource("zone-a/0") != "zone-a/5");
  CHECK(C.Server.nearbySource("zone-b/0") == "zone-b/5");
}

// Guards against malformed reports that crash the process or corrupt the totals
// of all entries.
TEST_CASE("weights and totals that are not numbers are harmless") {
  Coordinator C;
  std::deque<Follower> Entries;
  for (int I = 0; I < 30; ++I) {
    Entries.emplace_back("entry-" + std::to_string(I));
    Entries.back().Weight = I % 2 == 0 ? std::nan("") : 0.1 * I;
    for (const double Tokens : {1.0, std::nan(""), 7.0}) {
      wire::EntryReport R = Entries.back().report(C.Now);
      wire::AccountUse *Use = R.add_accounts();
      Use->set_account("acme");
      Use->set_tokens(Tokens);
      C.Server.handleReport(R, C.Now);
    }
  }
  CHECK(C.Server.deputies(3, C.Now) == Ids{"entry-29", "entry-27", "entry-25"});
  CHECK(C.update(Entries[0]).accounts(0).tokens() == 29 * 6);
}

// Guards against numbers in a message that no entry of this version sends.
TEST_CASE("health signals and denials of unknown kinds are harmless") {
  Coordinator C;
  Follower F("entry");
  wire::EntryReport R = F.report(C.Now);
  wire::EngineEvidence *Item = R.add_evidence();
  Item->set_serial(1);
  Item->set_endpoint("d0");
  Item->set_kind(4'000'000'000U);
  C.Server.handleReport(R, C.Now);
  CHECK(C.Table.find("d0")->Health.usable(C.Now));
  F.request("1", Start);
  wire::CoordinatorUpdate U;
  U.add_denials()->set_key(1);
  U.mutable_denials(0)->set_reason(77);
  REQUIRE(F.Client.applyUpdate(U, C.Now).size() == 1);
}

} // namespace hyssoprail::routing
