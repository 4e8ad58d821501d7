#include "hyssoprail/gateway/coordination.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::StreamDecision;

/// Longest times between two reports to the coordinator.
constexpr milliseconds IdleReportInterval{200};
constexpr milliseconds WaitingReportInterval{100};
constexpr milliseconds UnconfirmedReportInterval{40};
constexpr milliseconds OwnReportInterval{50};

/// A report that the coordinator confirms must not be older than this, or it
/// does not hear this entry any more.
constexpr milliseconds ConfirmedWithin{600};

/// Longest time between two updates to an entry that is heard.
constexpr milliseconds UpdateInterval{100};

/// An announced entry that is not heard gets updates as often as the others for
/// this time, and then at longer intervals, as it may be gone.
constexpr milliseconds IntroductionTime{2'000};
constexpr milliseconds UnheardUpdateInterval{1'000};

/// Totals of accounts and calls make up most of an update.
constexpr milliseconds TotalsInterval{200};

constexpr milliseconds RoomsInterval{50};
constexpr std::size_t DeputyCount = 3;

/// Name under which the work of all other entries is kept.
constexpr const char *FleetPeer = "fleet";

/// An entry that fell silent before this one coordinates may live on without
/// hearing it, and counts among the known ones for this time.
constexpr milliseconds KnownAtClaimCounts{14'000};

routing::CoordinatorClaim claimOf(const wire::CoordinatorUpdate &Update) {
  routing::CoordinatorClaim C;
  C.Name = Update.sender();
  C.Incarnation = Update.incarnation();
  C.Address = Update.address();
  C.Term = Update.term();
  C.Followers = Update.followers();
  C.Known = Update.known();
  C.Leaving = Update.leaving();
  C.Deputies.assign(Update.deputies().begin(), Update.deputies().end());
  return C;
}

} // namespace

Coordination::Coordination(boost::asio::io_context &Context,
                           const GatewaySettings &Settings,
                           std::uint64_t Incarnation, const Clock &Time,
                           DecisionLog &Log, CoordinationState State,
                           DecisionHandler OnDecisions)
    : Context(Context), Settings(Settings), Incarnation(Incarnation),
      Time(Time), Log(Log), State(State), OnDecisions(std::move(OnDecisions)),
      Scheduler({.UsePrefillEngines = Settings.UsePrefillEngines}, State.Table),
      Server(Settings.Name, Scheduler, State.Table, State.Quota),
      Election(Settings.Name, Incarnation),
      Socket(Context, [this](const wire::CoordinationMessage &Message) {
        onMessage(Message);
      }) {}

Status Coordination::start() { return Socket.start(Settings.PeerAddress); }

void Coordination::configure(const routing::FleetConfigPtr &Next) {
  Config = Next;
  Scheduler.configure(Next);
  wake();
}

void Coordination::setEntries(const std::vector<EntryAddress> &Announced) {
  const TimePoint Now = Time.now();
  for (const EntryAddress &E : Announced) {
    if (E.Name == Settings.Name)
      continue;
    auto &Known = Entries[E.Name];
    if (Known.Address != E.Address)
      Known.Since = Now;
    Known.Address = E.Address;
    Known.Weight = E.Weight;
  }
  if (std::exchange(ElectionStarted, true))
    return;
  Election.start(startRank(), Now);
}

/// Announced entries with a larger VM, or as large a one and a lower hash.
std::size_t Coordination::startRank() const {
  const auto Own = std::pair(-Settings.Weight, stableHash(Settings.Name));
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
        return std::pair(-Item.second.Weight, stableHash(Item.first)) < Own;
      }));
}

void Coordination::tick() {
  const TimePoint Now = Time.now();
  if (Leaving)
    handOverIfPossible(Now);
  Reads = shouldRead(Now);
  State.Feed.setReading(Reads);
  deliver(Client.expire(Now));
  if (Election.tick(Server.heard(Now), knownEntries(), Now))
    beginCoordination(Now);
  if (!Election.coordinates()) {
    if (reportDue(Now) && Election.current())
      sendReport(Election.current()->Address, Now);
    return;
  }
  Server.age(Now);
  Scheduler.observeWork(Now);
  Deputies = Server.deputies(DeputyCount, Now);
  chooseSource(Now);
  Server.chooseNearbySources(Now);
  exchange();
  sendHeartbeats(Now);
}

void Coordination::beginCoordination(TimePoint Now) {
  KnownAtClaim = Election.current()->Known;
  CoordinatesSince = Now;
  UpdatedAt.clear();
  TotalsAt.clear();
  // Its predecessor is not expected to report.
  Server.begin(std::max<std::size_t>(2, KnownAtClaim) - 1, Now);
  State.Table.setPeerLoad(FleetPeer, {});
  coordinatorChanged("claimed");
  exchange();
}

void Coordination::wake() {
  if (std::exchange(WakePending, true))
    return;
  boost::asio::post(Context, [this] {
    WakePending = false;
    exchange();
  });
}

void Coordination::stop() {
  Leaving = true;
  handOverIfPossible(Time.now());
}

/// Load pattern: a rolling restart stops all entries within the time that each
/// of them drains. The last one that coordinates goes on while it stops, since
/// nobody would decide otherwise.
void Coordination::handOverIfPossible(TimePoint Now) {
  if (!Election.coordinates())
    return Election.resign(Now);
  if (!Server.deputies(1, Now).empty())
    handOver(Now);
}

void Coordination::handOver(TimePoint Now) {
  const bool Coordinated = Election.coordinates();
  Election.resign(Now);
  if (!Coordinated)
    return;
  Deputies = Server.deputies(DeputyCount, Now);
  for (const auto &[Name, Address] : Server.addresses())
    sendUpdate(Name, Address, Now);
  Server.end(Now);
}

void Coordination::end() { handOver(Time.now()); }

void Coordination::coordinatorChanged(std::string_view Why) {
  const routing::CoordinatorClaim &C = *Election.current();
  Log.write(LogCategory::Outcome, "coordinator", "",
            {{"coordinator", C.Name},
             {"term", C.Term},
             {"followers", C.Followers},
             {"known", C.Known},
             {"why", Why}});
}

void Coordination::deliver(const std::vector<StreamDecision> &Decisions) {
  if (!Decisions.empty())
    OnDecisions(Decisions);
}

// ---- As a follower --------------------------------------------------------

void Coordination::onMessage(const wire::CoordinationMessage &Message) {
  if (Message.has_update())
    return onUpdate(Message.update());
  if (!Message.has_report() || !Election.coordinates() ||
      Message.report().sender() == Settings.Name)
    return;
  Server.hear(Message.report(), Time.now());
  wake();
}

void Coordination::onUpdate(const wire::CoordinatorUpdate &Update) {
  if (Update.sender() == Settings.Name)
    return;
  const TimePoint Now = Time.now();
  const routing::CoordinatorClaim Claim = claimOf(Update);
  const bool HearsUs = hearsUs(Update, Now);
  const bool Coordinated = Election.coordinates();
  if (Election.hear(Claim, HearsUs, Now)) {
    if (Coordinated)
      Server.end(Now);
    coordinatorChanged("heard");
  }
  const auto &Current = Election.current();
  const bool Follows = !Election.coordinates() && Current &&
                       Current->Name == Claim.Name &&
                       Current->Incarnation == Claim.Incarnation;
  if (Follows && HearsUs)
    return takeUpdate(Update, Now);
  introduce(Claim, Follows, Now);
}

/// A report introduces this entry to a claimant that it would follow; the next
/// update confirms it. A claimant that would follow this entry may not know it,
/// if it was announced before this one could read its address.
void Coordination::introduce(const routing::CoordinatorClaim &Claim,
                             bool Follows, TimePoint Now) {
  const bool Reports = Follows || Election.isBetter(Claim, Now);
  const bool Answers = Election.coordinates() && !Claim.Leaving;
  TimePoint &Introduced = IntroducedAt[Claim.Name];
  if ((!Reports && !Answers) || Now - Introduced < UnconfirmedReportInterval)
    return;
  Introduced = Now;
  if (Reports)
    sendReport(Claim.Address, Now);
  else
    sendUpdate(Claim.Name, Claim.Address, Now);
}

bool Coordination::hearsUs(const wire::CoordinatorUpdate &Update,
                           TimePoint Now) const {
  if (Update.heard_incarnation() != Incarnation)
    return false;
  for (const auto &[Sequence, At] : SentReports)
    if (Sequence == Update.heard_sequence())
      return Now - At < ConfirmedWithin;
  return false;
}

void Coordination::takeUpdate(const wire::CoordinatorUpdate &Update,
                              TimePoint Now) {
  Source = Update.source();
  Deputies.assign(Update.deputies().begin(), Update.deputies().end());
  takeSource(Now);
  QueuedInFleet = Update.queued();
  if (Update.has_totals()) {
    routing::LoadMap Calls;
    for (const wire::CallUse &Use : Update.calls())
      Calls[Use.endpoint()] = {static_cast<std::int32_t>(Use.runs()), 0, 0};
    State.Table.setPeerLoad(FleetPeer, std::move(Calls));
  }
  for (const wire::AccountUse &Use : Update.accounts())
    State.Quota.peerGranted(FleetPeer, Update.incarnation() ^ Update.term(),
                            Use.account(), Use.tokens(), Now);
  deliver(Client.take(Update, Now));
  if (Client.changed())
    wake();
}

wire::EntryReport Coordination::makeReport(TimePoint Now) {
  wire::EntryReport R;
  R.set_sender(Settings.Name);
  R.set_incarnation(Incarnation);
  R.set_sequence(++ReportSequence);
  R.set_address(Settings.PeerAddress);
  R.set_zone(Settings.Zone);
  R.set_weight(Settings.Weight);
  R.set_leaving(Leaving);
  *R.mutable_state() = ownSource();
  for (const auto &Item : State.Engines.recent(Now)) {
    wire::EngineEvidence *Out = R.add_evidence();
    Out->set_serial(Item.Serial);
    Out->set_endpoint(Item.EndpointId);
    Out->set_kind(static_cast<std::uint32_t>(Item.What));
  }
  for (const auto &[Id, Runs] : State.Table.ownCalls()) {
    wire::CallUse *Use = R.add_calls();
    Use->set_endpoint(Id);
    Use->set_runs(Runs);
  }
  for (const auto &[Name, Tokens] : State.Quota.granted()) {
    wire::AccountUse *Use = R.add_accounts();
    Use->set_account(Name);
    Use->set_tokens(Tokens);
  }
  Client.fill(R, Now);
  ReportedAt = Now;
  return R;
}

void Coordination::sendReport(const std::string &Address, TimePoint Now) {
  wire::CoordinationMessage Message;
  *Message.mutable_report() = makeReport(Now);
  SentReports.emplace_back(ReportSequence, Now);
  while (Now - SentReports.front().second > ConfirmedWithin)
    SentReports.pop_front();
  Socket.send(Message, Address);
}

bool Coordination::reportDue(TimePoint Now) const {
  const Duration Since = Now - ReportedAt;
  if (Client.changed())
    return true;
  if (Client.unconfirmed())
    return Since >= UnconfirmedReportInterval;
  return Since >=
         (Client.wanting() > 0 ? WaitingReportInterval : IdleReportInterval);
}

std::size_t Coordination::knownEntries() const {
  if (Election.coordinates()) {
    const bool Counts = Time.now() - CoordinatesSince < KnownAtClaimCounts;
    return std::max(Server.known(), Counts ? KnownAtClaim : 1);
  }
  return Election.current() ? Election.current()->Known : Entries.size() + 1;
}

double Coordination::audibleShare() const {
  const TimePoint Now = Time.now();
  const auto Known =
      static_cast<double>(std::max<std::size_t>(1, knownEntries()));
  if (Election.coordinates())
    return static_cast<double>(Server.heard(Now)) / Known;
  if (!Election.settled(Now))
    return 1 / Known;
  return std::min(1.0,
                  static_cast<double>(Election.current()->Followers) / Known);
}

// ---- As the coordinator ---------------------------------------------------

/// Brings the state of this entry to the coordinator, and decides if that is
/// this entry itself.
void Coordination::exchange() {
  const TimePoint Now = Time.now();
  if (Election.coordinates()) {
    if (Client.changed() || Now - ReportedAt >= OwnReportInterval)
      Server.hear(makeReport(Now), Now);
    return decide(Now);
  }
  if (Client.changed() && Election.current())
    sendReport(Election.current()->Address, Now);
}

void Coordination::decide(TimePoint Now) {
  Server.decide(Now);
  const auto Addresses = Server.addresses();
  for (const std::string &Name : Server.due()) {
    if (Name == Settings.Name) {
      deliver(Client.take(makeUpdate(Name), Now));
      continue;
    }
    const auto It = Addresses.find(Name);
    if (It != Addresses.end())
      sendUpdate(Name, It->second, Now);
  }
  if (Client.changed())
    wake();
}

void Coordination::measureRooms(TimePoint Now) {
  if (!Config || Now - RoomsAt < RoomsInterval)
    return;
  RoomsAt = Now;
  Rooms.clear();
  for (const auto &[Name, Service] : Config->Services) {
    if (!Service.Engine)
      continue;
    wire::ServiceRoom &Room = Rooms.emplace_back();
    const auto First = Scheduler.emptiest(Name, "", Now);
    Room.set_service(Name);
    Room.set_endpoint(First.Endpoint);
    Room.set_largest_free(static_cast<std::uint64_t>(First.Free));
    Room.set_second_largest_free(static_cast<std::uint64_t>(
        Scheduler.emptiest(Name, First.Endpoint, Now).Free));
  }
}

wire::CoordinatorUpdate Coordination::makeUpdate(const std::string &Entry) {
  const TimePoint Now = Time.now();
  measureRooms(Now);
  const routing::CoordinatorClaim &Claim = *Election.current();
  wire::CoordinatorUpdate U;
  U.set_sender(Settings.Name);
  U.set_incarnation(Incarnation);
  U.set_sequence(++UpdateSequence);
  U.set_address(Settings.PeerAddress);
  U.set_term(Claim.Term);
  U.set_followers(static_cast<std::uint32_t>(Server.heard(Now)));
  U.set_known(static_cast<std::uint32_t>(knownEntries()));
  U.set_leaving(Claim.Leaving);
  for (const std::string &Name : Deputies)
    U.add_deputies(Name);
  *U.mutable_source() = Source;
  U.mutable_source()->set_nearby(Server.nearbySource(Entry));
  for (const wire::ServiceRoom &Room : Rooms)
    *U.add_rooms() = Room;
  TimePoint &Totals = TotalsAt[Entry];
  const bool WithTotals = Now - Totals >= TotalsInterval;
  if (WithTotals)
    Totals = Now;
  Server.fill(Entry, U, WithTotals);
  return U;
}

void Coordination::sendUpdate(const std::string &Entry,
                              const std::string &Address, TimePoint Now) {
  wire::CoordinationMessage Message;
  *Message.mutable_update() = makeUpdate(Entry);
  UpdatedAt[Entry] = Now;
  Socket.send(Message, Address);
}

void Coordination::sendHeartbeats(TimePoint Now) {
  const auto Heard = Server.addresses();
  for (const auto &[Name, Address] : Heard)
    if (Now - UpdatedAt[Name] >= UpdateInterval)
      sendUpdate(Name, Address, Now);
  for (const auto &[Name, E] : Entries) {
    if (Heard.contains(Name))
      continue;
    const bool Introducing =
        Now - std::max(E.Since, CoordinatesSince) < IntroductionTime;
    if (Now - UpdatedAt[Name] >=
        (Introducing ? UpdateInterval : UnheardUpdateInterval))
      sendUpdate(Name, E.Address, Now);
  }
}

} // namespace hyssoprail::gateway
