#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "hyssoprail/gateway/limit_fleet.hpp"

namespace hyssoprail::gateway {
namespace {

using testing::LimitFleet;

/// After a crash all entries know of it within this time.
constexpr milliseconds SpreadTime{600};

/// Time in which a fleet elects a coordinator and its entries report.
constexpr milliseconds ElectionTime{2'000};

using routing::CrashLedgers;

/// The two kinds of ledgers that entries exchange.
using Ledger = routing::CrashLedger CrashLedgers::*;

/// Entries of a fleet that see endpoints crash, under parts of prompts or under
/// whole requests.
struct CrashFleet : LimitFleet {
  CrashFleet(std::size_t EntryCount, Ledger Watched)
      : LimitFleet(EntryCount, {}), Watched(Watched) {
    run(ElectionTime, 0);
  }

  routing::PromptParts parts(const std::string &Part, const std::string &Own) {
    return Watched == &CrashLedgers::Prompts
               ? routing::PromptParts{"first", Part, Own}
               : routing::PromptParts{Part};
  }

  routing::CrashLedger &ledger(const std::string &Name) {
    return crashes(Name).*Watched;
  }

  /// The entry with the number \p Entry sees the next endpoint crash under a
  /// request with \p Part.
  void crash(std::size_t Entry, const std::string &Part) {
    routing::EndpointRecord Engine;
    Engine.Id = "i-" + std::to_string(++LastEngine);
    ledger(Names[Entry % Names.size()])
        .recordCrash(Engine, parts(Part, "own-" + std::to_string(LastEngine)),
                     now());
  }

  /// Number of entries that keep requests with \p Part from the endpoints.
  std::size_t blaming(const std::string &Part) {
    return static_cast<std::size_t>(
        std::count_if(Names.begin(), Names.end(), [&](const auto &Name) {
          return ledger(Name).isQuarantined(parts(Part, "own"), now());
        }));
  }

  const Ledger Watched;
  unsigned LastEngine = 0;
};

} // namespace

// Guards against entries that each count the crashes they have seen themselves.
TEST_CASE("crashes count over all entries") {
  const auto Count = GENERATE(std::size_t{3}, std::size_t{300});
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(Count, Watched);
  for (const std::size_t Entry : {0, 1, 2}) {
    F.crash(Entry * (Count / 3), "bad");
    F.crash(Entry + 1, "bad-2");
    F.run(SpreadTime, 0);
  }
  REQUIRE(F.blaming("bad") == Count);
  REQUIRE(F.blaming("bad-2") == Count);
  REQUIRE(F.blaming("sound") == 0);
}

// Guards against messages that their recipients cannot read as a whole because
// a part of a prompt is not valid UTF-8: reports, decisions and claims are lost
// with them.
TEST_CASE("parts with any bytes are told to all entries") {
  CrashFleet F(5, &CrashLedgers::Prompts);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    F.crash(Entry, "\xfc"
                   "1");
  F.run(ElectionTime, 0);
  CHECK(F.blaming("\xfc"
                  "1") == F.Names.size());
  CHECK(F.coordinatorCount() == 1);
  for (const std::string &Name : F.Names)
    CHECK(F.coordination(Name).reportingShare() == 1);
}

// Guards against crashes that are forgotten when the coordinator ends or
// changes, or when the entry that saw them starts again.
TEST_CASE("crashes are remembered while coordinators and entries end") {
  const auto Count = GENERATE(std::size_t{3}, std::size_t{300});
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(Count, Watched);
  F.crash(0, "bad");
  F.crash(1, "bad");
  F.run(SpreadTime, 0);
  const std::string Ended = F.coordinator();
  F.kill(Ended);
  F.start(F.Names[0]);
  F.start(F.Names[1]);
  F.run(ElectionTime, 0);
  F.start(Ended);
  F.run(ElectionTime, 0);
  F.crash(2, "bad");
  F.run(SpreadTime, 0);
  REQUIRE(F.blaming("bad") == Count);
}

// Guards against entries that send a bad part again after they have restarted,
// as nothing new is to be told since.
TEST_CASE("an entry that starts again learns of the crashes before") {
  const auto Count = GENERATE(std::size_t{3}, std::size_t{300});
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(Count, Watched);
  for (const std::size_t Entry : {0, 1, 2})
    F.crash(Entry, "bad");
  F.run(SpreadTime, 0);
  for (const std::string &Name : F.Names)
    if (Name != F.coordinator())
      F.start(Name);
  F.run(ElectionTime, 0);
  REQUIRE(F.blaming("bad") == Count);
}

// Guards against entries that learn of no crash while there is no coordinator.
TEST_CASE("crashes that are seen without a coordinator are told to the next") {
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(5, Watched);
  F.pause(F.coordinator(), true);
  for (std::size_t Entry = 0; Entry < 5; ++Entry)
    F.crash(Entry, "bad");
  F.run(ElectionTime, 0);
  REQUIRE(F.blaming("bad") >= 4);
}

// Guards against parts of a parted fleet that each send a bad part to their own
// three engines.
TEST_CASE("groups that cannot reach each other count crashes together") {
  const auto Count = GENERATE(std::size_t{6}, std::size_t{300});
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(Count, Watched);
  const auto Side = [](const std::string &Name) { return Name.back() % 3; };
  F.Network.cut([&](const std::string &A, const std::string &B) {
    return Side(A) != Side(B);
  });
  F.run(ElectionTime, 0);
  REQUIRE(F.coordinatorCount() == 3);
  F.crash(0, "bad");
  F.crash(0, "bad");
  F.run(SpreadTime * 2, 0);
  F.crash(1, "bad");
  F.run(SpreadTime * 2, 0);
  F.crash(2, "bad");
  F.run(SpreadTime * 2, 0);
  REQUIRE(F.blaming("bad") == Count);
}

// Guards against a fleet that starts anew and crashes engines again.
TEST_CASE("a fleet whose processes have all ended remembers bad parts") {
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(3, Watched);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    F.crash(Entry, "bad");
  F.run(SpreadTime * 2, 0);
  for (const std::string &Name : F.Names)
    F.kill(Name);
  for (const std::string &Name : F.Names)
    F.start(Name);
  F.run(ElectionTime + SpreadTime, 0);
  REQUIRE(F.blaming("bad") == 3);
}

// Guards against bad parts that are forgotten when all processes end, after the
// store has lost what it was told of them.
TEST_CASE("crashes are published again after the store was restored") {
  const Ledger Watched =
      GENERATE(&CrashLedgers::Prompts, &CrashLedgers::Requests);
  CrashFleet F(3, Watched);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    F.crash(Entry, "bad");
  F.run(SpreadTime * 2, 0);
  F.CrashRecords.clear();
  for (const std::string &Name : F.Names)
    F.coordination(Name).storeRestored();
  F.run(SpreadTime * 2, 0);
  REQUIRE(F.CrashRecords.size() == 1);
}

} // namespace hyssoprail::gateway
