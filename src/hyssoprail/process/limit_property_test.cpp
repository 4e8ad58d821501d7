#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "hyssoprail/process/limit_fleet_model.hpp"

namespace hyssoprail {
namespace {

using std::chrono::seconds;

enum class FaultKind {
  Pause,             ///< the process is paused
  Replace,           ///< the entry is killed and a new one starts later
  Isolate,           ///< the entry reaches neither the log nor any other entry
  CutPeer,           ///< the entry does not reach one other entry
  CutLog,            ///< the entry does not reach the log
  LogDown,           ///< no entry reaches the log
  LogSlow,           ///< log reads and appends are delayed
  NewEntryPartition, ///< a new entry reaches only the log,
                     ///< all others reach only each other
  Limit,             ///< the limit of account "a" changes
  Leave,             ///< the entry announces that it is leaving
  Race,              ///< entries reach the log but not each other,
                     ///< and compete for the shards
};

struct Fault {
  FaultKind Kind = FaultKind::Pause;
  int AtMillis = 0;
  int LengthMillis = 0;
  std::size_t Entry = 0;
  std::size_t Other = 0;
};

struct Scenario {
  std::uint64_t Seed = 0;
  std::vector<int> DriftPermille; ///< one for each entry
  bool Lossy = false;
  bool FollowPeers = true;
  std::vector<Fault> Faults;
};

std::ostream &operator<<(std::ostream &Out, const Fault &F) {
  constexpr std::array<const char *, 11> Names{
      "pause",   "replace",  "isolate",  "cut-peer",
      "cut-log", "log-down", "log-slow", "new-entry-partition",
      "limit",   "leave",    "race"};
  return Out << fmt::format("{} entry {}/{} at {} ms for {} ms",
                            Names[static_cast<std::size_t>(F.Kind)], F.Entry,
                            F.Other, F.AtMillis, F.LengthMillis);
}

std::ostream &operator<<(std::ostream &Out, const Scenario &S) {
  Out << fmt::format("seed {} lossy {} follow {} drift", S.Seed, S.Lossy,
                     S.FollowPeers);
  for (const int Drift : S.DriftPermille)
    Out << ' ' << Drift;
  for (const Fault &F : S.Faults)
    Out << "\n  " << F;
  return Out;
}

rc::Gen<Fault> genFault(std::vector<FaultKind> Kinds, int UntilMillis) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::Kind, rc::gen::elementOf(std::move(Kinds))),
      rc::gen::set(&Fault::AtMillis,
                   rc::gen::resize(100, rc::gen::inRange(0, UntilMillis))),
      rc::gen::set(&Fault::LengthMillis,
                   rc::gen::resize(100, rc::gen::inRange(100, 15'000))),
      rc::gen::set(&Fault::Entry, rc::gen::inRange<std::size_t>(0, 6)),
      rc::gen::set(&Fault::Other, rc::gen::inRange<std::size_t>(0, 6)));
}

rc::Gen<Scenario> genScenario(const std::vector<FaultKind> &Kinds,
                              int UntilMillis, bool Lossy) {
  const auto Drift = rc::gen::elementOf(std::vector<int>{-20, 0, 20});
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::Seed,
                   rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(
          &Scenario::DriftPermille,
          rc::gen::mapcat(rc::gen::inRange<std::size_t>(2, 5),
                          [=](std::size_t Count) {
                            return rc::gen::container<std::vector<int>>(Count,
                                                                        Drift);
                          })),
      rc::gen::set(&Scenario::Lossy,
                   Lossy ? rc::gen::arbitrary<bool>() : rc::gen::just(false)),
      rc::gen::set(&Scenario::FollowPeers, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Scenario::Faults,
                   rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(
                                          genFault(Kinds, UntilMillis)))));
}

/// Runs a scenario under a load of several times the accounts' rates, so that
/// every token granted in excess violates the bound.
class ScenarioRun {
public:
  explicit ScenarioRun(const Scenario &S)
      : S(S), Fleet(options(S)), Random(S.Seed ^ 1) {
    Fleet.setAccount("a", AccountLimit{.Rate = 200, .Burst = 300});
    // This burst takes 100 s to refill, so that a bucket which wrongly starts
    // full violates the bound.
    Fleet.setAccount("b", AccountLimit{.Rate = 20, .Burst = 2'000});
    for (const int Drift : S.DriftPermille)
      Fleet.addEntry(Drift / 1'000.0);
    for (const Fault &F : S.Faults)
      Fleet.schedule(Fleet.now() + milliseconds(F.AtMillis),
                     [this, F] { inject(F); });
  }

  /// Runs for \p Length, then checks the bound.
  void check(Duration Length) {
    const TimePoint End = Fleet.now() + Length;
    while (Fleet.now() < End) {
      Fleet.runUntil(Fleet.now() + milliseconds(1 + Random.below(60)));
      // Half of the load goes to one entry.
      const std::size_t Entry =
          Random.below(2) == 0 ? 0 : Random.below(Fleet.entries());
      const std::uint64_t Tokens = 1 + Random.below(100);
      Fleet.request(Entry, Random.below(4) == 0 ? "b" : "a", Tokens,
                    Random.below(Tokens + 1),
                    milliseconds(Random.below(4'000)));
    }
    const auto Violation = Fleet.audit().firstViolation();
    if (Violation)
      RC_LOG() << Violation->describe() << "\n";
    RC_ASSERT(!Violation.has_value());
    RC_ASSERT(Fleet.invariantViolations() == 0U);
  }

  LimitFleetModel &fleet() { return Fleet; }

private:
  static LimitFleetOptions options(const Scenario &S) {
    LimitFleetOptions O;
    O.Seed = S.Seed;
    O.FollowPeers = S.FollowPeers;
    if (S.Lossy) {
      O.MessageLoss = 0.1;
      O.MessageDuplication = 0.1;
      O.LogReplyLoss = 0.1;
      O.NetworkDelayMax = milliseconds(300);
    }
    return O;
  }

  void scheduleEnd(const Fault &F, std::function<void()> Callback) {
    Fleet.schedule(Fleet.now() + milliseconds(F.LengthMillis),
                   std::move(Callback));
  }

  void isolate(std::size_t Entry, bool Down) {
    Fleet.setLogLinkDown(Entry, Down);
    for (std::size_t I = 0; I < Fleet.entries(); ++I)
      if (I != Entry)
        Fleet.setLinkDown(I, Entry, Down);
  }

  void inject(const Fault &F) {
    const std::size_t Entry = F.Entry % Fleet.entries();
    const std::size_t Other = F.Other % Fleet.entries();
    switch (F.Kind) {
    case FaultKind::Pause:
      Fleet.pause(Entry, milliseconds(F.LengthMillis));
      return;
    case FaultKind::Replace:
      Fleet.kill(Entry);
      scheduleEnd(F, [this] { Fleet.addEntry(0.02); });
      return;
    case FaultKind::Isolate:
      isolate(Entry, true);
      scheduleEnd(F, [this, Entry] { isolate(Entry, false); });
      return;
    case FaultKind::CutPeer:
      Fleet.setLinkDown(Entry, Other, true);
      scheduleEnd(
          F, [this, Entry, Other] { Fleet.setLinkDown(Entry, Other, false); });
      return;
    case FaultKind::CutLog:
      Fleet.setLogLinkDown(Entry, true);
      scheduleEnd(F, [this, Entry] { Fleet.setLogLinkDown(Entry, false); });
      return;
    case FaultKind::LogDown:
      Fleet.setLogDown(true);
      scheduleEnd(F, [this] { Fleet.setLogDown(false); });
      return;
    case FaultKind::LogSlow:
      Fleet.setLogDelay(milliseconds(F.LengthMillis / 10));
      scheduleEnd(F, [this] { Fleet.setLogDelay(milliseconds(5)); });
      return;
    case FaultKind::NewEntryPartition:
      partitionNewEntry(F);
      return;
    case FaultKind::Limit:
      Fleet.setAccount(
          "a", AccountLimit{
                   .Rate = 50.0 + 20 * static_cast<double>(F.LengthMillis % 20),
                   .Burst = 100.0 * static_cast<double>(1 + F.Entry)});
      return;
    case FaultKind::Leave:
      Fleet.setLeaving(Entry);
      return;
    case FaultKind::Race:
      cutPeerLinks(F);
      return;
    }
  }

  void cutPeerLinks(const Fault &F) {
    const std::size_t Count = Fleet.entries();
    auto SetLinksDown = [this, Count](bool Down) {
      for (std::size_t A = 0; A < Count; ++A)
        for (std::size_t B = 0; B < A; ++B)
          Fleet.setLinkDown(A, B, Down);
    };
    SetLinksDown(true);
    scheduleEnd(F, [SetLinksDown] { SetLinksDown(false); });
  }

  void partitionNewEntry(const Fault &F) {
    const std::size_t OldCount = Fleet.entries();
    for (std::size_t I = 0; I < OldCount; ++I)
      Fleet.setLogLinkDown(I, true);
    const std::size_t NewEntry = Fleet.addEntry(0.02);
    for (std::size_t I = 0; I < OldCount; ++I)
      Fleet.setLinkDown(I, NewEntry, true);
    scheduleEnd(F, [this, OldCount, NewEntry] {
      for (std::size_t I = 0; I < OldCount; ++I) {
        Fleet.setLogLinkDown(I, false);
        Fleet.setLinkDown(I, NewEntry, false);
      }
    });
  }

  Scenario S;
  LimitFleetModel Fleet;
  RandomSource Random;
};

const std::vector<FaultKind> AllKinds{
    FaultKind::Pause,   FaultKind::Replace,
    FaultKind::Isolate, FaultKind::CutPeer,
    FaultKind::CutLog,  FaultKind::LogDown,
    FaultKind::LogSlow, FaultKind::NewEntryPartition,
    FaultKind::Limit,   FaultKind::Leave};

} // namespace

// Guards against a window in which the fleet grants an account more than
// burst + rate x length, under combinations of all faults except Race.
TEST_CASE("the bound holds under faults of entries, network and log") {
  const bool Passed = rc::check("bound under faults", [] {
    const auto S = *genScenario(AllKinds, 40'000, true);
    ScenarioRun(S).check(seconds(60));
  });
  CHECK(Passed);
}

// Guards against two owners that grant at the same time: a disconnected or
// paused owner and its successor.
TEST_CASE("the bound holds while ownership moves") {
  const bool Passed = rc::check("bound while ownership moves", [] {
    const auto S = *genScenario({FaultKind::Pause, FaultKind::Isolate,
                                 FaultKind::Replace, FaultKind::CutPeer},
                                20'000, false);
    ScenarioRun(S).check(seconds(40));
  });
  CHECK(Passed);
}

// Guards against an owner whose lease is extended by promises while an entry
// that reaches the log has taken over.
TEST_CASE("the bound holds in partitions from the log") {
  const bool Passed = rc::check("bound in partitions", [] {
    const auto S = *genScenario({FaultKind::NewEntryPartition,
                                 FaultKind::CutLog, FaultKind::CutPeer,
                                 FaultKind::LogDown, FaultKind::LogSlow},
                                20'000, false);
    ScenarioRun(S).check(seconds(50));
  });
  CHECK(Passed);
}

// Guards against two entries that both become the owner when they propose to
// take over a shard at the same time.
TEST_CASE("the bound holds while entries race for ownership") {
  const bool Passed = rc::check("bound in races", [] {
    auto S =
        *genScenario({FaultKind::Race, FaultKind::CutPeer, FaultKind::Replace},
                     10'000, false);
    Fault AtStart;
    AtStart.Kind = FaultKind::Race;
    AtStart.LengthMillis = *rc::gen::inRange(0, 8'000);
    S.Faults.push_back(AtStart);
    ScenarioRun(S).check(seconds(25));
  });
  CHECK(Passed);
}

// Guards against an owner without the log that gets promises again after an
// entry which it could not reach for a while has taken over.
TEST_CASE("the bound holds when an entry that took over is reachable again") {
  const bool Passed = rc::check("bound after a return", [] {
    Scenario S;
    S.Seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    S.DriftPermille.assign(*rc::gen::inRange<std::size_t>(2, 4), 0);
    S.FollowPeers = false;
    for (std::size_t I = 0; I < S.DriftPermille.size(); ++I) {
      Fault Cut;
      Cut.Kind = FaultKind::CutLog;
      Cut.AtMillis = *rc::gen::inRange(3'000, 8'000);
      Cut.LengthMillis = *rc::gen::inRange(0, 30'000);
      Cut.Entry = I;
      S.Faults.push_back(Cut);
      Cut.Kind = FaultKind::CutPeer;
      Cut.AtMillis = *rc::gen::inRange(8'000, 12'000);
      Cut.LengthMillis = *rc::gen::inRange(2'000, 8'000);
      Cut.Other = (I + 1) % S.DriftPermille.size();
      S.Faults.push_back(Cut);
    }
    ScenarioRun(S).check(seconds(40));
  });
  CHECK(Passed);
}

// Guards against a fleet that grants too little, which never violates the
// bound.
TEST_CASE("a fleet without faults grants what the rate allows") {
  const bool Passed = rc::check("rate is used", [] {
    Scenario S;
    S.Seed = *rc::gen::arbitrary<std::uint64_t>();
    S.DriftPermille = {0, 20, -20};
    ScenarioRun Run(S);
    Run.check(seconds(30));
    // The slowest clock refills at 0.98 / 1.02 of the rate.
    RC_ASSERT(Run.fleet().audit().total("a") > 200 * 27 * 0.95);
  });
  CHECK(Passed);
}

// Regression test for a sequence found with a random seed: an isolated owner
// reaches the log again at the moment at which the others lose it and a new
// entry joins that reaches only the log.
TEST_CASE(
    "the bound holds when an isolated owner returns as a new entry joins") {
  Scenario S;
  S.Seed = 222485;
  S.FollowPeers = false;
  S.DriftPermille = {-20, 0};
  S.Faults = {{FaultKind::NewEntryPartition, 10'431, 6'570, 0, 0},
              {FaultKind::Isolate, 411, 10'020, 0, 0}};
  const bool Passed = rc::check("bound in one scenario",
                                [&] { ScenarioRun(S).check(seconds(60)); });
  CHECK(Passed);
}

} // namespace hyssoprail
