// The part of Coordination by which the coordinator decides and sends updates.
#include <algorithm>
#include <set>

#include "hyssoprail/gateway/coordination.hpp"

namespace hyssoprail::gateway {
namespace {

/// Longest time between two updates to an entry whose reports arrive.
constexpr milliseconds UpdateInterval{100};

/// An announced entry that does not report gets updates at the usual interval
/// for this time, and then at the longer one, as it may have ended.
constexpr milliseconds IntroductionPeriod{2'000};
constexpr milliseconds SilentEntryUpdateInterval{1'000};

/// Interval of the totals of accounts and calls. They make up most of an
/// update, so not every update contains them.
constexpr milliseconds TotalsInterval{200};

constexpr milliseconds RoomsInterval{50};

/// Longest time between two reports of the coordinator to itself.
constexpr milliseconds SelfReportInterval{50};

} // namespace

/// Reports changes of this entry to the coordinator. If this entry is the
/// coordinator, takes its own report and decides.
void Coordination::reportOrDecide() {
  const TimePoint Now = Time.now();
  if (Election.isCoordinator()) {
    if (hasUnreportedChange() || Now - ReportedAt >= SelfReportInterval)
      takeReport(makeReport(Settings.Name, Now), Now);
    return decide(Now);
  }
  if (hasUnreportedChange() && Election.currentClaim())
    sendReport(*Election.currentClaim(), Now);
}

void Coordination::decide(TimePoint Now) {
  Server.decide(Now);
  Shares.decide(knownEntries(), Now);
  applyOwnShares(Now);
  const auto Addresses = Server.addresses();
  std::set<std::string> DueEntries = Grants.entriesDueUpdate();
  for (const std::string &Name : Server.entriesDueUpdate())
    DueEntries.insert(Name);
  for (const std::string &Name : Shares.entriesDueUpdate())
    DueEntries.insert(Name);
  for (const std::string &Name : DueEntries) {
    if (Name == Settings.Name) {
      applyDecisions(makeUpdate(Name), Now);
      continue;
    }
    const auto It = Addresses.find(Name);
    if (It != Addresses.end())
      sendUpdate(Name, It->second, Now);
  }
  if (hasUnreportedChange())
    notifyStateChanged();
}

void Coordination::decideRollouts(TimePoint Now) {
  Rollouts.decide(
      [&](std::string_view Service, std::string_view Version) {
        std::size_t Count = 0;
        State.Table.forEach([&](const routing::Endpoint &E) {
          if (E.Record.Service == Service && E.Record.Version == Version &&
              State.Table.takesWork(E, Now, routing::Sender::AnyEntry))
            ++Count;
        });
        return Count;
      },
      Now);
}

/// Renews the shares of this entry itself in each round: they lapse, and an
/// update to itself is made only when a decision is due.
void Coordination::applyOwnShares(TimePoint Now) {
  wire::CoordinatorUpdate U;
  U.set_sender(Settings.Name);
  U.set_incarnation(Incarnation);
  U.set_sequence(++UpdateSequence);
  Shares.fillUpdate(Settings.Name, U);
  Slots.applyUpdate(U, Now);
  deliverCallQueue(Now);
}

void Coordination::measureRooms(TimePoint Now) {
  if (!Config || Now - RoomsMeasuredAt < RoomsInterval)
    return;
  RoomsMeasuredAt = Now;
  Rooms.clear();
  for (const auto &[Name, Service] : Config->Services) {
    if (!Service.Engine)
      continue;
    wire::ServiceRoom &Room = Rooms.emplace_back();
    const auto Emptiest = Scheduler.emptiestDecodeEngine(
        Name, [](const std::string &) { return true; }, Now);
    Room.set_service(Name);
    Room.set_endpoint(Emptiest.Endpoint);
    Room.set_largest_free(static_cast<std::uint64_t>(Emptiest.Free));
    Room.set_second_largest_free(static_cast<std::uint64_t>(
        Scheduler
            .emptiestDecodeEngine(
                Name,
                [&](const std::string &Id) { return Id != Emptiest.Endpoint; },
                Now)
            .Free));
  }
}

wire::CoordinatorUpdate Coordination::makeUpdate(const std::string &Entry) {
  const TimePoint Now = Time.now();
  measureRooms(Now);
  const routing::CoordinatorClaim &Claim = *Election.currentClaim();
  wire::CoordinatorUpdate U;
  U.set_sender(Settings.Name);
  U.set_incarnation(Incarnation);
  U.set_sequence(++UpdateSequence);
  U.set_address(Settings.PeerAddress);
  U.set_term(Claim.Term);
  U.set_followers(static_cast<std::uint32_t>(Server.liveEntryCount(Now)));
  U.set_known(static_cast<std::uint32_t>(knownEntries()));
  U.set_leaving(Claim.Leaving);
  for (const std::string &Name : Deputies)
    U.add_deputies(Name);
  *U.mutable_source() = Source;
  U.mutable_source()->set_nearby(Server.nearbySource(Entry));
  for (const wire::ServiceRoom &Room : Rooms)
    *U.add_rooms() = Room;
  TimePoint &LastTotals = TotalsSentAt[Entry];
  const bool WithTotals = Now - LastTotals >= TotalsInterval;
  Server.fillUpdate(Entry, U, WithTotals, Now);
  if (U.has_totals())
    LastTotals = Now;
  Grants.fillUpdate(Entry, U, Now);
  Shares.fillUpdate(Entry, U);
  if (Entry == Settings.Name)
    return U;
  Rollouts.fillUpdate(Entry, U, Now);
  Leavers.fill(Entry, U);
  State.Crashes.fillNews(Entry, U, Now);
  return U;
}

void Coordination::sendUpdate(const std::string &Entry,
                              const std::string &Address, TimePoint Now) {
  wire::CoordinationMessage Message;
  *Message.mutable_update() = makeUpdate(Entry);
  UpdateSentAt[Entry] = Now;
  Peers.send(Message, Address);
}

void Coordination::sendHeartbeats(TimePoint Now) {
  const auto Reporting = Server.addresses();
  for (const auto &[Name, Address] : Reporting)
    if (Now - UpdateSentAt[Name] >= UpdateInterval)
      sendUpdate(Name, Address, Now);
  for (const auto &[Name, E] : Entries) {
    if (Reporting.contains(Name))
      continue;
    const bool Introducing =
        Now - std::max(E.AddressSince, CoordinatorSince) < IntroductionPeriod;
    if (Now - UpdateSentAt[Name] >=
        (Introducing ? UpdateInterval : SilentEntryUpdateInterval))
      sendUpdate(Name, E.Address, Now);
  }
}

} // namespace hyssoprail::gateway
