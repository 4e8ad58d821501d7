#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <variant>

#include <catch2/catch.hpp>

#include "hyssoprail/routing/call_share_server.hpp"
#include "hyssoprail/routing/call_slots.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::service;
using testing::Start;

const std::string Service = "orders";
constexpr milliseconds RunTime{50};
constexpr milliseconds Objective{300};
constexpr milliseconds Delay{2}; ///< of a message
constexpr unsigned TotalSlots = 18;

/// One entry and the calls that it runs.
struct FleetEntry {
  explicit FleetEntry(std::uint64_t Number) : Slots(Table, Number) {}

  EndpointTable Table;
  CallSlots Slots;
  std::string Name;
  bool Cut = false; ///< its messages are lost, in both directions
  double PerSecond = 0;
  std::uint64_t Sequence = 0;
  TimePoint ReportedAt{}, UpdatedAt{}, TotalsAt{};
  struct WaitingCall {
    TimePoint DueBy;
    std::set<std::string, std::less<>> Tried; ///< these have refused it
  };
  std::map<std::string, WaitingCall> Waiting;
};

/// Entries before three endpoints of 6 slots, and a coordinator.
class ShareFleet {
public:
  explicit ShareFleet(std::size_t Count) {
    for (const char *Id : {"a", "b", "c"})
      Coordinator.apply(service(Id));
    for (std::size_t I = 0; I < Count; ++I) {
      auto E = std::make_unique<FleetEntry>(I);
      E->Name = "entry-" + std::to_string(I);
      for (const char *Id : {"a", "b", "c"})
        E->Table.apply(service(Id));
      E->Slots.configure(testing::testConfig(), true);
      E->Slots.setKnownEntries(Count);
      E->ReportedAt = Now + milliseconds(I % 200);
      Entries.push_back(std::move(E));
    }
  }

  /// Runs for \p Span and forgets the counts of earlier runs.
  void run(milliseconds Span) {
    Sent = OnTime = Late = Refused = EndpointRefusals = 0;
    MaxRunning = MaxLent = 0;
    for (milliseconds Ms{0}; Ms < Span; ++Ms)
      step();
  }

  void loseEndpoint(const std::string &Id) {
    Running[Id] = 1'000;
    Coordinator.remove(Id);
    for (auto &E : Entries)
      E->Table.remove(Id);
  }

  void changeCoordinator() {
    Server.startTerm(Now);
    for (auto &E : Entries)
      Coordinator.setPeerLoad(E->Name, {});
  }

  FleetEntry &entry(std::size_t I) { return *Entries[I]; }
  std::size_t size() const { return Entries.size(); }
  double callsPerSecond(milliseconds Span) const {
    return (OnTime + Late) / std::chrono::duration<double>(Span).count();
  }

  bool CoordinatorAway = false;
  unsigned Sent = 0, OnTime = 0, Late = 0, Refused = 0, EndpointRefusals = 0;
  unsigned MaxRunning = 0, MaxLent = 0;

private:
  struct RunningCall {
    TimePoint End;
    FleetEntry *At;
    std::string Endpoint;
    TimePoint DueBy;
  };

  struct Message {
    TimePoint At;
    std::variant<wire::EntryReport,
                 std::pair<FleetEntry *, wire::CoordinatorUpdate>>
        Content;
  };

  void step() {
    Now += milliseconds(1);
    for (; !Calls.empty() && Calls.front().End <= Now; Calls.pop_front()) {
      const RunningCall &C = Calls.front();
      --Running[C.Endpoint];
      C.At->Table.release(C.Endpoint, {1, 0, 0});
      C.At->Slots.ended(Service, Now);
      ++(Now <= C.DueBy ? OnTime : Late);
    }
    deliver();
    for (auto &E : Entries) {
      arrive(*E);
      decide(*E);
      report(*E);
    }
    unsigned All = 0;
    for (const auto &[Id, Count] : Running)
      All += Count < 1'000 ? Count : 0;
    MaxRunning = std::max(MaxRunning, All);
    if (!CoordinatorAway)
      coordinate();
  }

  void arrive(FleetEntry &E) {
    std::poisson_distribution<int> Arrivals(E.PerSecond / 1'000);
    for (int I = E.PerSecond > 0 ? Arrivals(Random) : 0; I > 0; --I) {
      ++Sent;
      if (E.Slots.tryTake(Service, Now))
        start(E, {Now + Objective, {}});
      else
        wait(E, {Now + Objective, {}});
    }
  }

  void wait(FleetEntry &E, const FleetEntry::WaitingCall &C) {
    const std::string Id = std::to_string(++LastId);
    E.Waiting[Id] = C;
    E.Slots.submit(
        {Id, Service, "acme", 1, 1, C.DueBy, Now + milliseconds(4'000)}, Now);
  }

  void decide(FleetEntry &E) {
    if (E.Waiting.empty())
      return;
    for (const CallQueueDecision &D : E.Slots.poll(Now)) {
      const std::string Id =
          std::visit([](const auto &Any) { return Any.Id; }, D);
      const FleetEntry::WaitingCall C = E.Waiting.at(Id);
      E.Waiting.erase(Id);
      if (std::holds_alternative<CallRefusal>(D)) {
        ++Refused;
        continue;
      }
      REQUIRE(E.Slots.confirm(Id));
      start(E, C);
    }
  }

  void start(FleetEntry &E, FleetEntry::WaitingCall C) {
    const Endpoint *Best = E.Slots.choose(Service, C.Tried, Now);
    REQUIRE(Best);
    const std::string Id = Best->Record.Id;
    if (Running[Id] >= Best->Record.Slots) {
      ++EndpointRefusals;
      E.Slots.ended(Service, Now);
      C.Tried.insert(Id);
      if (C.Tried.size() < 3)
        return wait(E, C);
      ++Refused;
      return;
    }
    ++Running[Id];
    E.Table.reserve(Id, {1, 0, 0});
    Calls.push_back({Now + RunTime, &E, Id, C.DueBy});
  }

  void report(FleetEntry &E) {
    if (!E.Slots.hasUnreportedChange() &&
        Now - E.ReportedAt < milliseconds(200))
      return;
    E.ReportedAt = Now;
    wire::EntryReport R;
    R.set_sender(E.Name);
    R.set_incarnation(1);
    R.set_sequence(++E.Sequence);
    for (const auto &[Id, Runs] : E.Table.ownCalls()) {
      wire::CallUse *Use = R.add_calls();
      Use->set_endpoint(Id);
      Use->set_runs(Runs);
    }
    E.Slots.fillReport(R);
    if (!E.Cut)
      Messages.push_back({Now + Delay, std::move(R)});
  }

  void coordinate() {
    Server.decide(Entries.size(), Now);
    MaxLent = std::max(MaxLent, Server.lent(Service));
    for (auto &E : Entries) {
      if (!Server.entriesDueUpdate().contains(E->Name) &&
          Now - E->UpdatedAt < milliseconds(100))
        continue;
      E->UpdatedAt = Now;
      wire::CoordinatorUpdate U;
      U.set_sender("coordinator");
      U.set_incarnation(1);
      U.set_sequence(++Updates);
      U.set_heard_sequence(Heard[E->Name]);
      if (Now - E->TotalsAt >= milliseconds(200)) {
        E->TotalsAt = Now;
        U.set_has_totals(true);
        Coordinator.forEach([&](Endpoint &Any) {
          wire::CallUse *Use = U.add_calls();
          Use->set_endpoint(Any.Record.Id);
          Use->set_runs(static_cast<unsigned>(
              Any.totalLoad().Runs - Reported[E->Name][Any.Record.Id].Runs));
        });
      }
      Server.fillUpdate(E->Name, U);
      if (!E->Cut)
        Messages.push_back({Now + Delay, std::pair(E.get(), std::move(U))});
    }
  }

  void deliver() {
    for (; !Messages.empty() && Messages.front().At <= Now;
         Messages.pop_front()) {
      if (auto *R = std::get_if<wire::EntryReport>(&Messages.front().Content)) {
        LoadMap Loads;
        for (const wire::CallUse &Use : R->calls())
          Loads[Use.endpoint()].Runs = static_cast<int>(Use.runs());
        Reported[R->sender()] = Loads;
        Coordinator.setPeerLoad(R->sender(), std::move(Loads));
        Server.handleReport(*R, Now);
        Heard[R->sender()] = R->sequence();
        continue;
      }
      auto &[E, U] = std::get<std::pair<FleetEntry *, wire::CoordinatorUpdate>>(
          Messages.front().Content);
      if (U.has_totals()) {
        LoadMap Loads;
        for (const wire::CallUse &Use : U.calls())
          Loads[Use.endpoint()].Runs = static_cast<int>(Use.runs());
        E->Table.setPeerLoad("fleet", std::move(Loads));
      }
      E->Slots.applyUpdate(U, Now);
    }
  }

  TimePoint Now = Start;
  std::mt19937 Random{1};
  EndpointTable Coordinator;
  CallShareServer Server{Coordinator};
  std::vector<std::unique_ptr<FleetEntry>> Entries;
  std::map<std::string, LoadMap> Reported;
  std::map<std::string, std::uint64_t> Heard;
  std::map<std::string, unsigned> Running;
  std::deque<RunningCall> Calls;
  std::deque<Message> Messages;
  std::uint64_t Updates = 0;
  unsigned LastId = 0;
};

/// Calls a second that the endpoints can serve.
constexpr double Capacity = TotalSlots * 1'000.0 / RunTime.count();

} // namespace

// Load: a surge that reaches three entries alike, and one that reaches only one
// of them, which must not leave the slots of the others idle.
TEST_CASE("three entries fill all slots in a surge, and not more") {
  for (const bool AtOne : {false, true}) {
    ShareFleet F(3);
    for (std::size_t I = 0; I < F.size(); ++I)
      F.entry(I).PerSecond =
          AtOne ? (I == 0 ? 2 * Capacity : 0) : 2 * Capacity / 3;
    F.run(milliseconds(2'000));
    F.run(milliseconds(4'000));
    INFO("at one: " << AtOne);
    CHECK(F.MaxRunning <= TotalSlots);
    CHECK(F.MaxLent <= TotalSlots);
    CHECK(F.callsPerSecond(milliseconds(4'000)) >= 0.95 * Capacity);
    CHECK(F.Late == 0);
    CHECK(F.EndpointRefusals == 0);
  }
}

// Load: half of what the slots serve, at 300 entries, where an even share is
// none, all over the fleet and at one entry.
TEST_CASE("300 entries share 18 slots through the coordinator") {
  for (const bool AtOne : {false, true}) {
    ShareFleet F(300);
    for (std::size_t I = 0; I < F.size(); ++I)
      F.entry(I).PerSecond =
          AtOne ? (I == 0 ? Capacity / 2 : 0) : Capacity / 2 / 300;
    REQUIRE(F.entry(0).Slots.evenShare(Service, Start) == 0);
    F.run(milliseconds(2'000));
    F.run(milliseconds(3'000));
    INFO("at one: " << AtOne << ", refused by endpoints "
                    << F.EndpointRefusals);
    CHECK(F.MaxLent <= TotalSlots);
    CHECK(F.OnTime >= 0.95 * F.Sent);
    CHECK(F.EndpointRefusals <= F.Sent / 20);
  }
}

// Guards against an entry that is cut off and stops serving, or goes on with
// what was lent to it while the others fill the same slots.
TEST_CASE("an entry of three that is cut off keeps its even share") {
  ShareFleet F(3);
  for (std::size_t I = 0; I < F.size(); ++I)
    F.entry(I).PerSecond = I == 0 ? 2 * Capacity : Capacity / 10;
  F.run(milliseconds(1'000));
  F.run(milliseconds(2'000));
  const double Before = F.callsPerSecond(milliseconds(2'000));
  F.entry(0).Cut = true;
  F.run(milliseconds(1'000));
  F.run(milliseconds(2'000));
  CHECK(F.MaxRunning <= TotalSlots);
  CHECK(F.MaxLent <= TotalSlots - 6);
  // A third of the slots, and all calls of the other two.
  CHECK(F.callsPerSecond(milliseconds(2'000)) >=
        0.95 * (Capacity / 3 + Capacity / 5));
  F.entry(0).Cut = false;
  F.run(milliseconds(1'000));
  F.run(milliseconds(2'000));
  CHECK(F.callsPerSecond(milliseconds(2'000)) >= 0.95 * Before);
}

// Guards against a service that stops without a coordinator. What the even
// shares leave over lies idle: nothing with 3 entries, 4 of 18 with 7.
TEST_CASE("entries fill their even shares without a coordinator") {
  for (const unsigned Count : {3U, 7U}) {
    ShareFleet F(Count);
    for (std::size_t I = 0; I < F.size(); ++I)
      F.entry(I).PerSecond = 2 * Capacity / Count;
    F.run(milliseconds(1'000));
    F.CoordinatorAway = true;
    F.run(milliseconds(1'000));
    F.run(milliseconds(2'000));
    const unsigned Usable = TotalSlots / Count * Count;
    CHECK(F.MaxRunning <= Usable);
    CHECK(F.callsPerSecond(milliseconds(2'000)) >=
          0.9 * Capacity * Usable / TotalSlots);
  }
}

// Guards against a new coordinator that lends what its predecessor has lent.
TEST_CASE("a new coordinator lends after the old loans have lapsed") {
  ShareFleet F(3);
  F.entry(0).PerSecond = 2 * Capacity;
  F.run(milliseconds(2'000));
  F.changeCoordinator();
  F.run(CallShareLapse - milliseconds(10));
  CHECK(F.MaxLent == 0);
  F.run(milliseconds(1'000));
  F.run(milliseconds(2'000));
  CHECK(F.MaxLent <= TotalSlots);
  CHECK(F.callsPerSecond(milliseconds(2'000)) >= 0.95 * Capacity);
}

// Load: an endpoint is lost in a surge. Its slots are no longer lent.
TEST_CASE("the slots of a lost endpoint are not lent") {
  ShareFleet F(3);
  F.entry(0).PerSecond = 2 * Capacity;
  F.run(milliseconds(2'000));
  F.loseEndpoint("a");
  F.run(milliseconds(500));
  F.run(milliseconds(2'000));
  CHECK(F.MaxLent <= 12);
  CHECK(F.callsPerSecond(milliseconds(2'000)) >= 0.95 * Capacity * 2 / 3);
}

// Guards against reports that overtake each other on the way.
TEST_CASE("a report that arrives late changes nothing") {
  EndpointTable Table;
  Table.apply(service("a"));
  CallShareServer Server(Table);
  const auto Report = [&](std::uint64_t Sequence, unsigned Waiting) {
    wire::EntryReport R;
    R.set_sender("entry-1");
    R.set_incarnation(1);
    R.set_sequence(Sequence);
    wire::CallBacklog *B = R.add_call_backlogs();
    B->set_service(Service);
    B->set_waiting(Waiting);
    Server.handleReport(R, Start);
    Server.decide(1, Start);
  };
  Report(2, 3);
  CHECK(Server.lent(Service) == 3);
  Report(1, 5);
  Report(2, 5);
  CHECK(Server.lent(Service) == 3);
}

// Guards against an old update that arrives late and brings back its shares.
TEST_CASE("an update that arrives late changes nothing") {
  EndpointTable Table;
  Table.apply(service("a"));
  CallSlots Slots(Table);
  Slots.configure(testing::testConfig(), true);
  Slots.setKnownEntries(10);
  const auto Update = [&](std::uint64_t Sequence, unsigned Lent) {
    wire::CoordinatorUpdate U;
    U.set_sender("entry-2");
    U.set_sequence(Sequence);
    wire::CallShare *S = U.add_call_shares();
    S->set_service(Service);
    S->set_slots(Lent);
    Slots.applyUpdate(U, Start);
  };
  Update(2, 3);
  Update(1, 6);
  CHECK(Slots.limit(Service, Start) == 3);
  CHECK(Slots.limit(Service, Start + CallShareLapse) == 0);
}

} // namespace hyssoprail::routing
