#include <deque>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "admission_test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Coordinator;
using testing::Follower;

/// Entries and one coordinator, with datagrams that are lost, delayed or
/// repeated.
class LossyFleet {
public:
  LossyFleet(int EntryCount, int EngineCount) : C(EngineCount) {
    for (int I = 0; I < EntryCount; ++I)
      Entries.push_back(
          std::make_unique<Follower>("entry-" + std::to_string(I)));
  }

  /// One step of 10 ms in which some entries report and some updates arrive.
  void step() {
    C.Now += milliseconds(10);
    for (auto &F : Entries) {
      if (chance(5))
        Reports.push_back(F->report(C.Now));
      releaseSome(*F);
    }
    std::deque<wire::EntryReport> Later;
    for (auto &R : Reports) {
      if (chance(2))
        C.Server.handleReport(R, C.Now);
      else if (chance(2))
        Later.push_back(R); // the others are lost
    }
    Reports.swap(Later);
    C.Server.decide(C.Now);
    for (auto &F : Entries)
      if (chance(3))
        applyUpdate(*F);
  }

  void request(std::size_t Entry) {
    const std::string Id = std::to_string(++Submitted);
    Entries[Entry]->request(Id, C.Now);
    Undecided.insert(Id);
  }

  /// True if no engine's reservations exceed its memory and the entries hold no
  /// more placements than the engines have room for.
  bool withinBounds(int EngineCount) {
    const auto Bound = static_cast<std::int64_t>(10'000 * 1.03);
    for (int I = 0; I < EngineCount; ++I)
      if (C.tokens("d" + std::to_string(I)) > Bound)
        return false;
    std::size_t Held = 0;
    for (const auto &F : Entries)
      Held += F->Client.runningCount();
    return Held <= static_cast<std::size_t>(EngineCount) * 2;
  }

  /// Replaces an entry by a new process of the same name. Its requests are
  /// lost.
  void restart(std::size_t Entry) {
    const std::string Name = Entries[Entry]->Name;
    for (const auto &[Id, F] : Running)
      if (F == Entries[Entry].get())
        Undecided.erase(Id);
    std::erase_if(Running, [&](const auto &Item) {
      return Item.second == Entries[Entry].get();
    });
    LostRequests += Entries[Entry]->Client.pendingCount();
    Entries[Entry] = std::make_unique<Follower>(Name, ++LastIncarnation);
  }

  Coordinator C;
  std::set<std::string> Undecided; ///< submitted and not decided
  /// Pending requests of processes that were killed.
  std::size_t LostRequests = 0;

private:
  static bool chance(int OneIn) { return *rc::gen::inRange(0, OneIn) == 0; }

  void applyUpdate(Follower &F) {
    const wire::CoordinatorUpdate Update = C.update(F);
    if (Update.heard_incarnation() != F.Incarnation)
      return; // meant for a process that was killed
    for (const StreamDecision &D : F.Client.applyUpdate(Update, C.Now)) {
      const auto *Placement = std::get_if<StreamPlacement>(&D);
      const std::string Id =
          Placement ? Placement->Id : std::get<StreamRefusal>(D).Id;
      RC_ASSERT(Undecided.erase(Id) == 1U); // decided only once
      if (Placement)
        Running.emplace(Id, &F);
    }
  }

  void releaseSome(Follower &F) {
    std::erase_if(Running, [&](const auto &Item) {
      if (Item.second != &F || !chance(10))
        return false;
      F.Client.release(Item.first, C.Now);
      return true;
    });
  }

  std::vector<std::unique_ptr<Follower>> Entries;
  std::deque<wire::EntryReport> Reports;
  std::map<std::string, Follower *> Running;
  int Submitted = 0;
  std::uint64_t LastIncarnation = 1;
};

} // namespace

// Replays a burst at full load in which datagrams are lost, delayed and
// reordered and entries are killed: each request must be decided exactly once,
// and no engine's memory may be over-committed.
TEST_CASE("memory is granted once despite lost, late and reordered datagrams") {
  const bool Passed = rc::check("lossy fleet", [] {
    constexpr int EntryCount = 6;
    constexpr int EngineCount = 2;
    LossyFleet Fleet(EntryCount, EngineCount);
    for (int Step = 0; Step < 400; ++Step) {
      if (*rc::gen::inRange(0, 4) == 0)
        Fleet.request(*rc::gen::inRange<std::size_t>(0, EntryCount));
      if (*rc::gen::inRange(0, 60) == 0)
        Fleet.restart(*rc::gen::inRange<std::size_t>(0, EntryCount));
      Fleet.step();
      RC_ASSERT(Fleet.withinBounds(EngineCount));
    }
    for (int Step = 0;
         Step < 1'500 && Fleet.Undecided.size() > Fleet.LostRequests; ++Step)
      Fleet.step();
    RC_ASSERT(Fleet.Undecided.size() <= Fleet.LostRequests);
  });
  REQUIRE(Passed);
}

} // namespace hyssoprail::routing
