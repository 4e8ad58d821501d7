#include "hyssoprail/routing/crash_ledger.hpp"

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crash_ledger_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using testing::numberedEngine;
using testing::Observed;
using testing::Start;

} // namespace

// Guards against a part that crashes one engine after the other, and against
// blaming the parts that sound requests share with it.
TEST_CASE("the part nearest to the end that explains all crashes is blamed") {
  Observed O;
  O.crash(1, {"first", "bad", "own-1"});
  O.crash(2, {"first", "bad", "own-2"});
  REQUIRE_FALSE(O.blames({"first", "bad", "own-3"}));
  O.crash(3, {"first", "bad", "own-3"});
  REQUIRE(O.blames({"first", "bad", "own-4"}));
  REQUIRE(O.blames({"other", "bad", "own-5"}));
  REQUIRE_FALSE(O.blames({"first", "sound", "own-6"}));
  REQUIRE(O.Ledger.quarantined(O.Now).size() == 1);
}

// Guards against a part that is blamed for one crash which several requests or
// entries have seen.
TEST_CASE("requests that break with one engine count as one crash") {
  Observed O;
  for (unsigned I = 0; I < 6; ++I)
    O.crash(1, {"first", "part", "own-" + std::to_string(I)});
  REQUIRE_FALSE(O.blames({"first", "part", "own"}));
}

// Guards against blaming a part behind the bad one that sound requests share:
// they are at the crashed engines too, and would be kept away with it.
TEST_CASE("of parts at the same crashes the one in fewer prompts is blamed") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I) {
    const std::string Number = std::to_string(I);
    O.crash(I, {"first", "bad", "common", "own-" + Number});
    O.Ledger.recordCrash(numberedEngine(I), {"first", "common", "s-" + Number},
                         O.Now);
  }
  REQUIRE(O.blames({"first", "bad", "common", "own"}));
  REQUIRE_FALSE(O.blames({"first", "common", "own"}));
}

// Guards against a bad prompt that is no suspect, because many others broke
// with the same engine.
TEST_CASE("the bad part is found among all runs of an engine") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I) {
    O.Now += milliseconds(1'000);
    for (unsigned K = 0; K < 63; ++K)
      O.Ledger.recordCrash(numberedEngine(I),
                           {"first", "session-" + std::to_string(K),
                            fmt::format("s-{}-{}", I, K)},
                           O.Now);
    O.Ledger.recordCrash(numberedEngine(I),
                         {"first", "bad", "own-" + std::to_string(I)}, O.Now);
    for (unsigned K = 0; K < 63; ++K)
      O.answer({"first", "session-" + std::to_string(K), "later"});
  }
  REQUIRE(O.blames({"first", "bad", "own"}));
  REQUIRE_FALSE(O.blames({"first", "session-1", "own"}));
}

// Guards against one request that is repeated again and again, and against
// blaming what it shares with others.
TEST_CASE("a single prompt that crashes engines is blamed alone") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", "part", "own-1"});
  REQUIRE(O.blames({"first", "part", "own-1"}));
  REQUIRE_FALSE(O.blames({"first", "part", "own-2"}));
  O.crash(3, {"first", "part", "own-2"});
  REQUIRE(O.blames({"first", "part", "own-3"}));
  REQUIRE_FALSE(O.blames({"first", "other", "own-1"}));
}

// Guards against blaming parts of sound requests that are in the way when
// engines crash for other reasons.
TEST_CASE("a part with an answer between crashes is not blamed") {
  Observed O;
  for (unsigned I = 0; I < 12; ++I) {
    O.crash(I, {"first", "session", "own-" + std::to_string(I)});
    if (I % 2 == 1)
      O.answer({"first", "session", "own-" + std::to_string(I)});
  }
  REQUIRE(O.Ledger.quarantined(O.Now).empty());
}

// Guards against taking broken connections of running engines for crashes, and
// against taking an engine that has started again for one that ran on.
TEST_CASE("an engine that sends data on an older connection has not crashed") {
  const bool Older = GENERATE(true, false);
  Observed O;
  for (unsigned I = 0; I < 5; ++I) {
    O.crash(I, {"first", "part", "own-" + std::to_string(I)});
    const TimePoint Since = O.Now + milliseconds(Older ? -50 : 50);
    O.Ledger.recordAlive(numberedEngine(I).Id, Since,
                         O.Now + milliseconds(100));
    if (I > 1)
      O.Ledger.recordAlive(numberedEngine(I).Id, Since,
                           O.Now + milliseconds(600));
  }
  REQUIRE(O.Ledger.quarantined(O.Now).empty() == Older);
}

// Guards against blaming the first part that several bad parts share.
TEST_CASE("several bad parts behind one sound part are blamed, it is not") {
  Observed O;
  if (GENERATE(false, true))
    O.answer({"first", "sound", "own"});
  for (unsigned I = 0; I < 6; ++I)
    O.crash(I, {"first", I % 2 == 0 ? "bad-1" : "bad-2",
                "own-" + std::to_string(I)});
  REQUIRE(O.blames({"first", "bad-1", "own"}));
  REQUIRE(O.blames({"first", "bad-2", "own"}));
  REQUIRE_FALSE(O.blames({"first", "sound", "own"}));
}

// Guards against a wrong guess that stays: the first part is the bad one, and
// the part behind it was the same in the first requests.
TEST_CASE("the blame moves to the part that explains more crashes") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"bad", "common", "own-" + std::to_string(I)});
  REQUIRE(O.blames({"x", "common", "own"}));
  for (unsigned I = 3; I < 6; ++I)
    O.crash(I, {"bad", "other-" + std::to_string(I), "own-3"});
  REQUIRE(O.blames({"bad", "another", "own"}));
  REQUIRE_FALSE(O.blames({"x", "common", "own"}));
}

// Guards against a part that begins to crash engines after it was answered.
TEST_CASE("a part that was answered before is blamed if no other one can be") {
  Observed O;
  O.answer({"first", "part", "own"});
  for (unsigned I = 0; I < 4; ++I)
    O.crash(I, {"first", "part", "own-" + std::to_string(I)});
  REQUIRE(O.Ledger.quarantined(O.Now).empty());
  O.crash(4, {"first", "part", "own-4"});
  REQUIRE(O.blames({"first", "part", "own"}));
}

// Guards against a quarantine without end.
TEST_CASE("a quarantine ends") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", "bad", "own-" + std::to_string(I)});
  O.Now += CrashLedger::Lifetime - milliseconds(3'500);
  REQUIRE(O.blames({"first", "bad", "own"}));
  O.Now += milliseconds(3'500);
  REQUIRE_FALSE(O.blames({"first", "bad", "own"}));
  REQUIRE(O.Ledger.crashCount() == 0);
}

// Guards against memory that grows with the parts and crashes of a day, and
// against evidence that many other crashes push out.
TEST_CASE("the memory of crashes is bounded and keeps the evidence") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", "bad", "own-" + std::to_string(I)});
  for (unsigned I = 0; I < 400; ++I) {
    const std::string Own(1'000, static_cast<char>('a' + I % 26));
    O.Now -= milliseconds(1'900);
    O.crash(100 + I, {"first", Own + std::to_string(I)});
    O.answer({"first", Own + std::to_string(I)});
  }
  REQUIRE(O.Ledger.crashCount() <= CrashLedgerBounds{}.Crashes);
  REQUIRE(O.blames({"first", "bad", "own"}));
  REQUIRE(O.Ledger.encode(O.Now, 0).size() < std::size_t{256} * 1'024);
}

// Guards against a bad part far back in a long prompt that is not seen, and
// against datagrams and records that are too large to be sent.
TEST_CASE("long prompts are watched, and told in parts that fit") {
  Observed O;
  CrashLedger Other(2);
  for (unsigned I = 0; I < CrashLedgerBounds{}.Crashes; ++I)
    for (unsigned K = 0; K < CrashLedgerBounds{}.Suspects; ++K) {
      PromptParts Parts;
      for (std::size_t P = 0; P < CrashLedger::MaxParts; ++P)
        Parts.push_back(fmt::format("{:04x}{:04x}{:08x}", I, K, P));
      Parts[50] = "bad";
      O.Ledger.recordCrash(numberedEngine(I), Parts, O.Now);
    }
  REQUIRE(O.blames({"bad"}));
  REQUIRE(O.Ledger.encode(O.Now, 0).size() < 262'144);
  unsigned Deltas = 0;
  while (O.Ledger.hasNewsFor("other") && ++Deltas < 1'000) {
    wire::CrashDelta Delta;
    O.Ledger.fillDelta("other", Delta, O.Now);
    REQUIRE(Delta.ByteSizeLong() < 40'000);
    Other.applyDelta("first", Delta, O.Now);
    wire::CrashDelta Answer;
    Other.fillDelta("first", Answer, O.Now);
    O.Ledger.applyDelta("other", Answer, O.Now);
  }
  REQUIRE(Other.crashCount() == CrashLedgerBounds{}.Crashes);
}

// Guards against copies that differ after lost, late and repeated deltas.
TEST_CASE("two ledgers agree after an exchange with losses") {
  std::mt19937 Random(7);
  CrashLedger A(1);
  CrashLedger B(2);
  TimePoint Now = Start;
  const auto Send = [&](CrashLedger &From, const char *To, CrashLedger &Target,
                        const char *Name, bool Lost) {
    if (!From.hasNewsFor(To))
      return;
    wire::CrashDelta Delta;
    From.fillDelta(To, Delta, Now);
    if (!Lost)
      Target.applyDelta(Name, Delta, Now);
  };
  for (unsigned I = 0; I < 60; ++I) {
    Now += milliseconds(100);
    CrashLedger &Seen = Random() % 2 == 0 ? A : B;
    Seen.recordCrash(numberedEngine(I),
                     {"f", "p" + std::to_string(Random() % 5)}, Now);
    if (Random() % 8 == 0)
      Seen.recordAnswer({"p" + std::to_string(Random() % 5)}, Now);
    Send(A, "b", B, "a", Random() % 3 == 0);
    Send(B, "a", A, "b", Random() % 3 == 0);
  }
  for (unsigned I = 0; I < 10; ++I) {
    Send(A, "b", B, "a", false);
    Send(B, "a", A, "b", false);
  }
  REQUIRE_FALSE(A.hasNewsFor("b"));
  REQUIRE_FALSE(B.hasNewsFor("a"));
  REQUIRE(A.crashCount() == B.crashCount());
  const auto Blamed = [&](CrashLedger &L) {
    std::set<std::string> Out;
    for (const QuarantinedPart &Q : L.quarantined(Now))
      Out.insert(Q.Part);
    return Out;
  };
  REQUIRE(Blamed(A) == Blamed(B));
  REQUIRE_FALSE(Blamed(A).empty());
}

// Guards against a fleet that forgets bad parts when all its processes end, and
// against records in the store that hold for ever.
TEST_CASE("a record in the store is merged as long as it is not too old") {
  constexpr std::int64_t Written = 1'000'000'000;
  constexpr std::int64_t Minute = 60'000'000;
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", "bad", "own-" + std::to_string(I)});
  const std::string Record = O.Ledger.encode(O.Now, Written);
  CrashLedger Later(2);
  Later.merge(Record, Start, Written + 5 * Minute);
  REQUIRE(Later.isQuarantined({"bad"}, Start));
  CrashLedger MuchLater(3);
  MuchLater.merge(Record, Start, Written + 11 * Minute);
  REQUIRE(MuchLater.crashCount() == 0);
  MuchLater.merge("not a record", Start, Written);
  REQUIRE(MuchLater.crashCount() == 0);
}

// Guards against blaming a part that is in use everywhere when many engines
// crash at once for another reason.
TEST_CASE("an answered part is not blamed for crashes at the same time") {
  const bool AtOnce = GENERATE(true, false);
  Observed O;
  O.answer({"part"});
  for (unsigned I = 0; I < 6; ++I) {
    O.Now += milliseconds(AtOnce ? 50 : 500);
    O.Ledger.recordCrash(numberedEngine(I), {"part"}, O.Now);
  }
  REQUIRE(O.blames({"part"}) != AtOnce);
}

// Guards against blaming a request that was in a queue at the same crashes as
// the cause, before the next crash tells the two apart.
TEST_CASE("of two requests at the same crashes none is blamed at first") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I) {
    O.crash(I, {"bad"});
    O.Ledger.recordCrash(numberedEngine(I), {"queued"}, O.Now);
  }
  REQUIRE(O.Ledger.quarantined(O.Now).empty());
  if (GENERATE(true, false))
    O.crash(3, {"bad"});
  else
    O.answer({"queued"});
  REQUIRE(O.blames({"bad"}));
  REQUIRE_FALSE(O.blames({"queued"}));
}

// Guards against a bad part with a long id, of which the ledger keeps the
// beginning only, that is never kept from the engines.
TEST_CASE("a bad part with a long id is blamed") {
  Observed O;
  const std::string Bad(CrashLedger::MaxIdBytes + 4, 'b');
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", Bad, "own-" + std::to_string(I)});
  CHECK(O.blames({"first", Bad, "own-3"}));
  CHECK_FALSE(O.blames({"first", Bad.substr(0, 8), "own-3"}));
}

// Guards against sound prompts that are kept away for good because they share a
// part which only bad prompts have had until then.
TEST_CASE("parts that only came together are told apart by an answer") {
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"bad", "common", "own-" + std::to_string(I)});
  REQUIRE(O.blames({"x", "common", "own"}));
  O.Now += milliseconds(1'000);
  REQUIRE(O.blames({"bad", "common", "own-4"}));
  REQUIRE_FALSE(O.blames({"x", "common", "own"}));
  O.answer({"x", "common", "own"});
  REQUIRE(O.blames({"bad", "other", "own-5"}));
  REQUIRE_FALSE(O.blames({"x", "common", "own"}));
}

} // namespace hyssoprail::routing
