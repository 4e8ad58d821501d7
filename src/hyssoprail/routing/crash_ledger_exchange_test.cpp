// Copies of the ledger: what is told of crashes, and the bounds of memory and
// records.
#include <limits>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crash_ledger_fixture.hpp"
#include "hyssoprail/routing/crash_ledgers.hpp"

namespace hyssoprail::routing {
namespace {

using testing::numberedEngine;
using testing::Observed;
using testing::Start;

/// Tells \p To, the ledger of \p ToName, what \p From knows.
void tell(CrashLedger &From, const std::string &FromName, CrashLedger &To,
          const std::string &ToName, TimePoint Now) {
  wire::CrashDelta Delta;
  From.fillDelta(ToName, Delta, Now);
  To.applyDelta(FromName, Delta, Now);
}

} // namespace

// Guards against ids of endpoints that are longer than what is told of them,
// such as names of pods: the entry that saw a crash counted it twice, crashes
// of endpoints whose ids begin alike counted as one, and an endpoint that ran
// on stayed crashed, so that sound requests were blamed.
TEST_CASE("a crash of an endpoint with a long id counts once") {
  const auto Long = [](unsigned Number) {
    return testing::service("orders-7d9f8b6c5d-" + std::to_string(Number));
  };
  TimePoint Now = Start;
  CrashLedger Seen{1, CallLedgerBounds};
  CrashLedger Told{2, CallLedgerBounds};
  for (unsigned I = 0; I < 2; ++I) {
    Now += milliseconds(1'000);
    Seen.recordCrash(Long(I), {"call"}, Now);
    wire::CrashDelta There;
    Seen.fillDelta("told", There, Now);
    Told.applyDelta("seen", There, Now);
    wire::CrashDelta Back;
    Told.fillDelta("seen", Back, Now);
    Seen.applyDelta("told", Back, Now);
  }
  CHECK(Seen.crashCount() == 2);
  CHECK(Told.crashCount() == 2);
  CHECK_FALSE(Seen.isQuarantined({"call"}, Now));
  Seen.recordCrash(Long(2), {"call"}, Now);
  CHECK(Seen.isQuarantined({"call"}, Now));
  Seen.recordAlive(Long(2).Id, Start, Now + milliseconds(400));
  CHECK_FALSE(Seen.isQuarantined({"call"}, Now + milliseconds(400)));
}

// Guards against a request that is released and crashes endpoints again, as the
// crashes under it are forgotten when many endpoints end under other requests,
// for example with a zone.
TEST_CASE("crashes under a blamed request are kept while many others come") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  const auto Crash = [&](unsigned Endpoint, const std::string &Call) {
    Now += milliseconds(100);
    Ledger.recordCrash(numberedEngine(Endpoint), {Call}, Now);
  };
  for (unsigned I = 0; I < 3; ++I)
    Crash(I, "bad");
  for (unsigned I = 3; I < 3 * CallLedgerBounds.Crashes; ++I)
    Crash(I, "call-" + std::to_string(I));
  CHECK(Ledger.isQuarantined({"bad"}, Now));
  CHECK(Ledger.crashCount() == CallLedgerBounds.Crashes);
  // The newest crashes are kept, too: a further request is found.
  for (unsigned I = 0; I < 3; ++I)
    Crash(1'000 + I, "bad-2");
  CHECK(Ledger.isQuarantined({"bad"}, Now));
  CHECK(Ledger.isQuarantined({"bad-2"}, Now));
}

// Guards against a memory that is full of crashes under blamed requests, so
// that a further request that crashes endpoints is not found.
TEST_CASE("crashes under blamed requests leave room for others") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  for (unsigned Call = 0; Call < CallLedgerBounds.Crashes; ++Call) {
    const PromptParts Parts{"bad-" + std::to_string(Call)};
    for (unsigned I = 0; I < 3; ++I) {
      Now += milliseconds(100);
      Ledger.recordCrash(numberedEngine(Call * 3 + I), Parts, Now);
    }
    REQUIRE(Ledger.isQuarantined(Parts, Now));
  }
  CHECK(Ledger.crashCount() == CallLedgerBounds.Crashes);
}

// Guards against a record without the crashes under a blamed request: a fleet
// that starts anew would not know of it.
TEST_CASE("a full record has the crashes under a blamed request") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  for (unsigned I = 0; I < CallLedgerBounds.Crashes; ++I) {
    Now += milliseconds(100);
    if (I < 3)
      Ledger.recordCrash(numberedEngine(I), {"bad"}, Now);
    for (unsigned K = 1; K < CallLedgerBounds.Suspects; ++K)
      Ledger.recordCrash(numberedEngine(I), {fmt::format("{:08x}{:08x}", I, K)},
                         Now);
  }
  REQUIRE(Ledger.isQuarantined({"bad"}, Now));
  CrashLedger Read{2, CallLedgerBounds};
  Read.merge(Ledger.encode(Now, 0), Now, 0);
  CHECK(Read.crashCount() < CallLedgerBounds.Crashes);
  CHECK(Read.isQuarantined({"bad"}, Now));
}

// Guards against a sound call that stays blamed for the lifetime of its crashes
// although a late report of another entry shows the guilty one at them all. The
// call is refused everywhere, so no answer can ever clear it.
TEST_CASE("a late report clears a call that was blamed in place of another") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  CrashLedger CutOff{2, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I) {
    Now += milliseconds(1'000);
    Ledger.recordCrash(numberedEngine(I), {"sound"}, Now);
    CutOff.recordCrash(numberedEngine(I), {"bad"}, Now);
  }
  REQUIRE(Ledger.isQuarantined({"sound"}, Now));
  Now += milliseconds(2'000);
  CutOff.recordCrash(numberedEngine(3), {"bad"}, Now);
  wire::CrashDelta Late;
  CutOff.fillDelta("first", Late, Now);
  Ledger.applyDelta("cut-off", Late, Now);
  CHECK(Ledger.isQuarantined({"bad"}, Now));
  CHECK_FALSE(Ledger.isQuarantined({"sound"}, Now));
}

// Guards against a sound call that stays blamed although a late report of
// another entry shows that it was answered before the crashes.
TEST_CASE("a late report of an answer clears a call that was blamed") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  CrashLedger CutOff{2, CallLedgerBounds};
  CutOff.recordAnswer({"sound"}, Now);
  for (unsigned I = 0; I < 3; ++I) {
    Now += milliseconds(1'000);
    Ledger.recordCrash(numberedEngine(I), {"sound"}, Now);
  }
  REQUIRE(Ledger.isQuarantined({"sound"}, Now));
  Now += milliseconds(2'000);
  CutOff.recordCrash(numberedEngine(2), {"sound"}, Now);
  wire::CrashDelta Late;
  CutOff.fillDelta("first", Late, Now);
  Ledger.applyDelta("cut-off", Late, Now);
  CHECK_FALSE(Ledger.isQuarantined({"sound"}, Now));
}

// Guards against a record with a time that cannot be: its difference to the
// present time overflowed, and a record of the distant past was merged as new.
TEST_CASE("a record with an extreme time of writing is merged by its age") {
  constexpr std::int64_t Present = 1'700'000'000'000'000;
  Observed O;
  for (unsigned I = 0; I < 3; ++I)
    O.crash(I, {"first", "bad", "own"});
  wire::CrashDelta Record;
  O.Ledger.fillRecord(Record, O.Now, Present);
  Record.set_written_at_unix_ms(std::numeric_limits<std::int64_t>::min());
  CrashLedger Later(2);
  Later.mergeRecord(Record, O.Now, Present);
  CHECK(Later.crashCount() == 0);
  Record.set_written_at_unix_ms(std::numeric_limits<std::int64_t>::max());
  Later.mergeRecord(Record, O.Now, -Present);
  CHECK(Later.crashCount() == 3);
}

// Guards against a record in the store that grows with the answers which come
// after crashes, to several times the bound of its crashes.
TEST_CASE("a record in the store is bounded with its answers") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  const auto Call = [](unsigned Crash, unsigned Suspect) {
    return PromptParts{fmt::format("{:08x}{:08x}", Crash, Suspect)};
  };
  for (unsigned I = 0; I < 2 * CallLedgerBounds.Crashes; ++I) {
    Now += milliseconds(100);
    for (unsigned K = 0; K < CallLedgerBounds.Suspects; ++K)
      Ledger.recordCrash(numberedEngine(I), Call(I, K), Now);
    for (unsigned K = 1; K < CallLedgerBounds.Suspects; ++K)
      Ledger.recordAnswer(Call(I, K), Now);
  }
  CHECK(Ledger.encode(Now, 0).size() < 5 * CallLedgerBounds.RecordBytes / 2);
}

// Guards against a crash that is not counted because a connection to the same
// incarnation of the endpoint had broken before without a crash.
TEST_CASE("a crash counts after a break that was none") {
  TimePoint Now = Start;
  CrashLedger Seen{1, CallLedgerBounds};
  CrashLedger Told{2, CallLedgerBounds};
  const auto Exchange = [&] {
    wire::CrashDelta There;
    Seen.fillDelta("told", There, Now);
    Told.applyDelta("seen", There, Now);
    wire::CrashDelta Back;
    Told.fillDelta("seen", Back, Now);
    Seen.applyDelta("told", Back, Now);
  };
  for (unsigned I = 0; I < 3; ++I) {
    const TimePoint Connected = Now;
    Now += milliseconds(1'000);
    Seen.recordCrash(numberedEngine(I), {"reset"}, Now, Now - milliseconds(10));
    if (I > 0)
      Exchange();
    Now += milliseconds(400);
    Seen.recordAlive(numberedEngine(I).Id, Connected, Now);
    if (I > 1)
      Exchange();
  }
  for (unsigned I = 0; I < 3; ++I) {
    Now += milliseconds(5'000);
    Seen.recordCrash(numberedEngine(I), {"bad"}, Now, Now - milliseconds(10));
    Exchange();
  }
  CHECK(Seen.isQuarantined({"bad"}, Now));
  CHECK(Told.isQuarantined({"bad"}, Now));
  CHECK_FALSE(Seen.isQuarantined({"reset"}, Now));
  CHECK_FALSE(Told.isQuarantined({"reset"}, Now));
  // The disproof of the first break does not concern the crash.
  Seen.recordAlive(numberedEngine(0).Id, Now - milliseconds(1), Now);
  CHECK(Seen.isQuarantined({"bad"}, Now));
  CHECK(Seen.crashCount() == 3);
  CHECK(Told.crashCount() == 3);
}

// Guards against the disproof of a break that arrives late and is taken for one
// of the crash that followed.
TEST_CASE("a late disproof of a break does not disprove a later crash") {
  TimePoint Now = Start;
  CrashLedger First{1, CallLedgerBounds};
  First.recordCrash(numberedEngine(0), {"reset"}, Now, Now - milliseconds(10));
  First.recordAlive(numberedEngine(0).Id, Start - milliseconds(500),
                    Now + milliseconds(400));
  CrashLedger Second{2, CallLedgerBounds};
  Second.recordCrash(numberedEngine(0), {"reset"}, Now, Now - milliseconds(10));
  Second.recordAlive(numberedEngine(0).Id, Start - milliseconds(500),
                     Now + milliseconds(400));
  for (unsigned I = 0; I < 3; ++I) {
    Now += milliseconds(5'000);
    Second.recordCrash(numberedEngine(I), {"bad"}, Now, Now - milliseconds(10));
  }
  REQUIRE(Second.isQuarantined({"bad"}, Now));
  wire::CrashDelta Late;
  First.fillDelta("second", Late, Now);
  Second.applyDelta("first", Late, Now);
  CHECK(Second.isQuarantined({"bad"}, Now));
  wire::CrashDelta Back;
  Second.fillDelta("first", Back, Now);
  First.applyDelta("second", Back, Now);
  CHECK(First.isQuarantined({"bad"}, Now));
}

// Guards against a crash that is taken back everywhere because an entry that
// knows no earlier break of the endpoint hears late that it was none.
TEST_CASE("a disproof of a break that an entry has not seen spares the crash") {
  TimePoint Now = Start;
  CrashLedger First{1, CallLedgerBounds};
  CrashLedger Second{2, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I) {
    First.recordCrash(numberedEngine(I), {"reset"}, Now, Now);
    First.recordAlive(numberedEngine(I).Id, Now - milliseconds(500),
                      Now + milliseconds(400));
  }
  Now += milliseconds(5'000);
  for (unsigned I = 0; I < 3; ++I)
    Second.recordCrash(numberedEngine(I), {"bad"}, Now, Now);
  REQUIRE(Second.isQuarantined({"bad"}, Now));
  tell(First, "first", Second, "second", Now);
  CHECK(Second.isQuarantined({"bad"}, Now));
  tell(Second, "second", First, "first", Now);
  CHECK(First.isQuarantined({"bad"}, Now));
  CHECK_FALSE(First.isQuarantined({"reset"}, Now));
}

// Guards against a crash that is added to an earlier break, because the entry
// that has seen both knows that the first was none, and others do not.
TEST_CASE("an entry learns that a break was none with the crash that follows") {
  TimePoint Now = Start;
  CrashLedger First{1, CallLedgerBounds};
  CrashLedger Second{2, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I)
    for (CrashLedger *Ledger : {&First, &Second})
      Ledger->recordCrash(numberedEngine(I), {"reset"}, Now, Now);
  for (unsigned I = 0; I < 3; ++I)
    Second.recordAlive(numberedEngine(I).Id, Now - milliseconds(500),
                       Now + milliseconds(400));
  Now += milliseconds(5'000);
  for (unsigned I = 0; I < 3; ++I)
    Second.recordCrash(numberedEngine(I), {"bad"}, Now, Now);
  const bool ByRecord = GENERATE(false, true);
  if (ByRecord)
    First.merge(Second.encode(Now, 0), Now, 0);
  else
    tell(Second, "second", First, "first", Now);
  CHECK(First.isQuarantined({"bad"}, Now));
  CHECK_FALSE(First.isQuarantined({"reset"}, Now));
  // A further entry that has learned only of the crash hears of the break.
  CrashLedger Third{3, CallLedgerBounds};
  CrashLedger Late{4, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I)
    Late.recordCrash(numberedEngine(I), {"reset"}, Start, Start);
  tell(First, "first", Third, "third", Now);
  tell(Late, "late", Third, "third", Now);
  CHECK(Third.isQuarantined({"bad"}, Now));
  CHECK_FALSE(Third.isQuarantined({"reset"}, Now));
}

// Guards against a crash that is not counted because its request was sent
// before an earlier break of the same incarnation, which was none.
TEST_CASE("a crash counts if its request was sent before an earlier break") {
  TimePoint Now = Start;
  CrashLedger Ledger{1, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I) {
    const TimePoint Sent = Now;
    Now += milliseconds(100);
    Ledger.recordCrash(numberedEngine(I), {"reset"}, Now, Sent);
    Ledger.recordAlive(numberedEngine(I).Id, Sent, Now + milliseconds(400));
    Now += milliseconds(2'000);
    Ledger.recordCrash(numberedEngine(I), {"bad"}, Now, Sent);
  }
  CHECK(Ledger.isQuarantined({"bad"}, Now));
  CHECK_FALSE(Ledger.isQuarantined({"reset"}, Now));
}

// Guards against suspects that are forgotten because a message of the same
// crash arrives late, or once more, and is taken for a later crash.
TEST_CASE("a late message of a crash does not replace what is known of it") {
  TimePoint Now = Start;
  CrashLedger First{1, CallLedgerBounds};
  CrashLedger Second{2, CallLedgerBounds};
  for (unsigned I = 0; I < 3; ++I) {
    Second.recordCrash(numberedEngine(I), {"reset"}, Now, Now);
    Second.recordAlive(numberedEngine(I).Id, Now - milliseconds(500),
                       Now + milliseconds(400));
  }
  Now += milliseconds(5'000);
  for (unsigned I = 0; I < 3; ++I) {
    Second.recordCrash(numberedEngine(I), {"own-" + std::to_string(I)}, Now,
                       Now);
    First.recordCrash(numberedEngine(I), {"bad"}, Now, Now);
  }
  wire::CrashDelta Delta;
  Second.fillDelta("first", Delta, Now);
  First.applyDelta("second", Delta, Now);
  REQUIRE(First.isQuarantined({"bad"}, Now));
  Now += milliseconds(3'000);
  First.applyDelta("second", Delta, Now);
  CHECK(First.isQuarantined({"bad"}, Now));
}

} // namespace hyssoprail::routing
