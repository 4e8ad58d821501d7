#include "hyssoprail/gateway/coordination.hpp"

#include <algorithm>
#include <limits>

#include <boost/asio/post.hpp>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/routing/engine_speed_update.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::StreamDecision;

/// Longest times between two reports to the coordinator: while nothing waits,
/// while generations wait, and until the coordinator confirms all that wait.
constexpr milliseconds IdleReportInterval{200};
constexpr milliseconds WaitingReportInterval{100};
constexpr milliseconds UnconfirmedReportInterval{40};

/// If the newest report that the coordinator has confirmed is older than this,
/// the coordinator no longer receives the reports of this entry.
constexpr milliseconds MaxConfirmedReportAge{600};

constexpr std::size_t DeputyCount = 3;

/// A shorter pause between two rounds of decisions is not worth a timer.
constexpr milliseconds MinDecisionPause{2};

/// Peer name under which a follower records the work of all other entries.
constexpr const char *FleetPeer = "fleet";

routing::CoordinatorClaim
claimFromUpdate(const wire::CoordinatorUpdate &Update) {
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
                           DecisionLog &Log, PeerTransport &Peers,
                           CoordinationState State, DecisionHandlers Handlers)
    : Context(Context), Settings(Settings), Incarnation(Incarnation),
      Time(Time), Log(Log), State(State), Handlers(std::move(Handlers)),
      Scheduler({.UsePrefillEngines = Settings.UsePrefillEngines,
                 .Overload = Settings.Overload},
                State.Table),
      Server(Settings.Name, Scheduler, State.Table, State.Quota),
      Calls(State.Table), Grants(State.Table), Slots(State.Table, Incarnation),
      Shares(State.Table), Leavers(State.Table),
      Election(Settings.Name, Incarnation), Peers(Peers),
      Rollouts(Settings, Incarnation, State.Feed, Log), DecisionPause(Context) {
  Scheduler.setUnproven(
      [this](std::string_view Service, std::string_view Version) {
        return Rollouts.gate().isUnproven(Service, Version);
      });
  Server.setOverload(Settings.Overload);
}

Status Coordination::start() {
  return Peers.start(
      Settings.PeerAddress,
      [this](const wire::CoordinationMessage &Message) { onMessage(Message); });
}

void Coordination::configure(const routing::FleetConfigPtr &Next) {
  Config = Next;
  Scheduler.configure(Next);
  Slots.configure(Next, Settings.QueueCalls);
  notifyStateChanged();
}

void Coordination::setEntries(const std::vector<EntryAddress> &Announced) {
  const TimePoint Now = Time.now();
  for (const EntryAddress &E : Announced) {
    if (E.Name == Settings.Name)
      continue;
    auto &Known = Entries[E.Name];
    if (Known.Address != E.Address)
      Known.AddressSince = Now;
    Known.Address = E.Address;
    Known.Weight = E.Weight;
    if (E.AnnouncedAt > Known.GroupAnnouncedAt) {
      Known.GroupSize = E.GroupSize;
      Known.GroupAnnouncedAt = E.AnnouncedAt;
    }
  }
  if (std::exchange(ElectionStarted, true))
    return;
  Election.start(claimRank(), Now);
}

/// Number of announced entries that claim before this one: those with a larger
/// share of a processor, or an equal share and a lower hash of their name.
std::size_t Coordination::claimRank() const {
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
  ReadsStore = shouldReadStore(Now);
  State.Feed.setReadsStore(ReadsStore);
  deliver(Client.expire(Now));
  deliver(Client.refusePaused([&](const std::string &Service) {
    return State.Table.pauseWait(Service, Now);
  }));
  deliverCallQueue(Now);
  if (Election.tick(Server.liveEntryCount(Now), knownEntries(), Now))
    beginCoordination(Now);
  State.Feed.setReadsCrashRecords(Election.isCoordinator());
  State.Feed.setReadsRolloutStates(Rollouts.enabled() && ReadsStore);
  if (!Election.isCoordinator()) {
    if (reportDue(Now) && Election.currentClaim())
      sendReport(*Election.currentClaim(), Now);
    return;
  }
  forgetSilentEntries(Now);
  Server.releaseSilentEntries(Now);
  announceGroup(Now);
  publishCrashes(Now);
  Grants.expireSilentEntries(Now);
  if (Leavers.peerCount() > Server.knownEntryCount())
    Leavers.forgetPeers();
  Scheduler.sampleUtilization(Now);
  updateSpeeds(Now);
  Deputies = Server.deputies(DeputyCount, Now);
  decideRollouts(Now);
  chooseSource(Now);
  Server.chooseNearbySources(Now);
  reportOrDecide();
  sendHeartbeats(Now);
}

void Coordination::updateSpeeds(TimePoint Now) {
  for (const routing::EngineSpeedChange &C : Server.updateSpeeds(Now))
    Log.write(LogCategory::Outcome, "engine_speed", "",
              {{"endpoint", C.EngineId},
               {"service", C.Service},
               {"factor", C.Factor},
               {"before", C.Before},
               {"samples", C.Samples}});
}

void Coordination::beginCoordination(TimePoint Now) {
  KnownAtClaim = Election.currentClaim()->Known;
  CoordinatorSince = CompleteAt = Now;
  UpdateSentAt.clear();
  TotalsSentAt.clear();
  // Does not wait for a report of the previous coordinator.
  Server.startTerm(std::max<std::size_t>(2, KnownAtClaim) - 1, Now);
  Grants.clear();
  Rollouts.startTerm(Now);
  Shares.startTerm(Now);
  forgetCrashPeers();
  Leavers.forgetPeers();
  State.Table.setPeerLoad(FleetPeer, {});
  logCoordinatorChange("claimed");
  if (Settings.Overload != routing::OverloadMode::Arrival)
    Log.write(LogCategory::Outcome, "return_schedule", "",
              {{"term", Election.currentClaim()->Term}, {"promises", 0}});
  reportOrDecide();
}

void Coordination::notifyStateChanged() {
  if (std::exchange(ReportPending, true))
    return;
  if (Time.now() >= DecideAgainAt)
    return boost::asio::post(Context, [this] { handleStateChange(); });
  DecisionPause.expires_at(DecideAgainAt);
  DecisionPause.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      handleStateChange();
  });
}

/// A round of decisions looks at all that waits in the fleet. It may take half
/// of the processor at most: what it took is left to other events before the
/// next one.
void Coordination::handleStateChange() {
  const TimePoint Start = Time.now();
  ReportPending = false;
  deliverCallQueue(Start);
  reportOrDecide();
  const TimePoint End = Time.now();
  if (End - Start >= MinDecisionPause)
    DecideAgainAt = End + (End - Start);
}

void Coordination::beginStop() {
  Leaving = true;
  handOverIfPossible(Time.now());
}

/// Hands over only if there is a deputy. In a rolling restart all entries can
/// be stopping at the same time, as each of them drains for a while. The last
/// coordinator then keeps deciding while it drains, since no other entry would.
void Coordination::handOverIfPossible(TimePoint Now) {
  if (!Election.isCoordinator())
    return Election.resign(Now);
  if (!Server.deputies(1, Now).empty())
    handOver(Now);
}

void Coordination::handOver(TimePoint Now) {
  const bool WasCoordinator = Election.isCoordinator();
  Election.resign(Now);
  if (!WasCoordinator)
    return;
  Deputies = Server.deputies(DeputyCount, Now);
  for (const auto &[Name, Address] : Server.addresses())
    sendUpdate(Name, Address, Now);
  endTerm(Now);
}

void Coordination::shutDown() { handOver(Time.now()); }

void Coordination::logCoordinatorChange(std::string_view Why, Duration MaxAge) {
  const routing::CoordinatorClaim &C = *Election.currentClaim();
  Log.write(LogCategory::Outcome, "coordinator", "",
            {{"coordinator", C.Name},
             {"term", C.Term},
             {"followers", C.Followers},
             {"known", C.Known},
             {"max_age_ms", MaxAge},
             {"why", Why}});
}

void Coordination::deliver(const std::vector<StreamDecision> &Decisions) {
  if (!Decisions.empty())
    Handlers.OnStreams(Decisions);
}

void Coordination::applyDecisions(const wire::CoordinatorUpdate &Update,
                                  TimePoint Now) {
  deliver(Client.applyUpdate(Update, Now));
  Slots.applyUpdate(Update, Now);
  deliverCallQueue(Now);
  const auto OnCalls = Calls.applyUpdate(Update, Now);
  if (!OnCalls.empty())
    Handlers.OnCalls(OnCalls);
}

void Coordination::deliverCallQueue(TimePoint Now) {
  const auto Decisions = Slots.poll(Now);
  if (!Decisions.empty())
    Handlers.OnCallQueue(Decisions);
}

void Coordination::takeReport(const wire::EntryReport &Report, TimePoint Now) {
  if (!Server.handleReport(Report, Now))
    return;
  if (Report.sender() != Settings.Name) {
    takeCrashes(Report, Now);
    takeLeaving(Report);
  }
  Grants.handleReport(Report, Now);
  Rollouts.takeReport(Report);
  Shares.handleReport(Report, Now);
}

/// Merges what a report or an update tells of endpoints that leave.
template <typename Message>
void Coordination::takeLeaving(const Message &From) {
  for (const std::string &Id : Leavers.take(From.sender(), From))
    Log.write(LogCategory::Outcome, "endpoint_leaving", "",
              {{"endpoint", Id}, {"source", From.sender()}});
}

void Coordination::endTerm(TimePoint Now) {
  Server.endTerm(Now);
  Grants.clear();
  Shares.clear();
}

// ---- As a follower --------------------------------------------------------

void Coordination::onMessage(const wire::CoordinationMessage &Message) {
  if (Message.has_update())
    return onUpdate(Message.update());
  if (!Message.has_report() || !Election.isCoordinator() ||
      Message.report().sender() == Settings.Name)
    return;
  takeReport(Message.report(), Time.now());
  notifyStateChanged();
}

void Coordination::onUpdate(const wire::CoordinatorUpdate &Update) {
  if (Update.sender() == Settings.Name)
    return;
  const TimePoint Now = Time.now();
  const routing::CoordinatorClaim Claim = claimFromUpdate(Update);
  const SentReport *Confirmed = confirmedReport(Update);
  // The delay of this entry itself is not the coordinator's.
  const bool ConfirmsReport =
      Confirmed && Election.attentiveTime(Now) - Confirmed->AttentiveAt <
                       MaxConfirmedReportAge;
  const bool WasCoordinator = Election.isCoordinator();
  if (Election.handleClaim(Claim, ConfirmsReport, Now)) {
    if (WasCoordinator)
      endTerm(Now);
    forgetCrashPeers();
    Leavers.forgetPeers();
    logCoordinatorChange("heard", Confirmed ? Now - Confirmed->At : Duration{});
  }
  const auto &Current = Election.currentClaim();
  const bool Follows = !Election.isCoordinator() && Current &&
                       Current->Name == Claim.Name &&
                       Current->Incarnation == Claim.Incarnation;
  if (Follows && ConfirmsReport)
    return applyUpdate(Update, Confirmed->At, Now);
  introduceSelf(Claim, Follows, Now);
}

/// Makes this entry known to a claimant that has not confirmed its reports. If
/// this entry would follow the claimant, it sends a report, which the next
/// update confirms. If this entry is the coordinator, it sends an update
/// instead: the claimant may not know this entry, if it read the announced
/// addresses before this entry was among them.
void Coordination::introduceSelf(const routing::CoordinatorClaim &Claim,
                                 bool Follows, TimePoint Now) {
  const bool ShouldReport = Follows || Election.shouldFollow(Claim, Now);
  const bool ShouldUpdate = Election.isCoordinator() && !Claim.Leaving;
  TimePoint &LastIntroduced = IntroducedAt[Claim.Name];
  if ((!ShouldReport && !ShouldUpdate) ||
      Now - LastIntroduced < UnconfirmedReportInterval)
    return;
  LastIntroduced = Now;
  if (ShouldReport)
    sendReport(Claim, Now);
  else
    sendUpdate(Claim.Name, Claim.Address, Now);
}

/// The update was made after the report that it confirms had been sent, so it
/// is not older than that. The sender's clock is not needed for this.
const Coordination::SentReport *
Coordination::confirmedReport(const wire::CoordinatorUpdate &Update) const {
  if (Update.heard_incarnation() != Incarnation)
    return nullptr;
  const auto It = std::find_if(SentReports.begin(), SentReports.end(),
                               [&](const SentReport &R) {
                                 return R.Sequence == Update.heard_sequence();
                               });
  return It == SentReports.end() ? nullptr : &*It;
}

/// \p Update was made at \p MadeAt or later.
void Coordination::applyUpdate(const wire::CoordinatorUpdate &Update,
                               TimePoint MadeAt, TimePoint Now) {
  takeCrashes(Update, Now);
  takeLeaving(Update);
  Source = Update.source();
  Deputies.assign(Update.deputies().begin(), Update.deputies().end());
  applySource(MadeAt, Now);
  FleetQueueLength = Update.queued();
  if (Update.has_totals()) {
    routing::LoadMap Calls;
    for (const wire::CallUse &Use : Update.calls())
      Calls[Use.endpoint()] = {
          static_cast<std::int32_t>(std::min<std::uint32_t>(
              Use.runs(), std::numeric_limits<std::int32_t>::max())),
          0, 0};
    State.Table.setPeerLoad(FleetPeer, std::move(Calls));
    if (Settings.Overload != routing::OverloadMode::Arrival)
      routing::applySpeeds(Update, State.Table);
    routing::SharedQuota::AccountTotals Totals;
    for (const wire::AccountUse &Use : Update.accounts())
      Totals[Use.account()] = Use.tokens();
    const bool FirstTotals = State.Quota.recordPeerTotals(
        FleetPeer, Update.incarnation() ^ Update.term(), Totals, Now);
    if (FirstTotals)
      for (const wire::AccountUse &Use : Update.accounts())
        State.Quota.raiseDebt(Use.account(), Use.debt(), Now);
  }
  Rollouts.applyUpdate(Update, Now);
  applyDecisions(Update, Now);
  if (hasUnreportedChange())
    notifyStateChanged();
}

wire::EntryReport Coordination::makeReport(const std::string &To,
                                           TimePoint Now) {
  wire::EntryReport R;
  R.set_sender(Settings.Name);
  R.set_incarnation(Incarnation);
  R.set_sequence(++ReportSequence);
  R.set_address(Settings.PeerAddress);
  R.set_zone(Settings.Zone);
  R.set_weight(Settings.Weight);
  R.set_leaving(Leaving);
  *R.mutable_state() = ownSource();
  for (const auto &Item : State.EngineSignals.recent(Now)) {
    wire::EngineEvidence *Out = R.add_evidence();
    Out->set_serial(Item.Serial);
    Out->set_endpoint(Item.EndpointId);
    Out->set_kind(static_cast<std::uint32_t>(Item.Signal));
  }
  for (const auto &[Id, Runs] : State.Table.ownCalls()) {
    wire::CallUse *Use = R.add_calls();
    Use->set_endpoint(Id);
    Use->set_runs(Runs);
  }
  for (const auto &[Name, Tokens] : State.Quota.grantedTotals()) {
    wire::AccountUse *Use = R.add_accounts();
    Use->set_account(Name);
    Use->set_tokens(Tokens);
    Use->set_debt(State.Quota.ownDebt(Name, Now));
  }
  if (State.EngineWork)
    State.EngineWork->fillReport(R, Now);
  Client.fillReport(R, Now);
  Calls.fillReport(R, Now);
  Slots.fillReport(R);
  Leavers.fill(To, R);
  Rollouts.fillReport(R, Now);
  ReportedAt = Now;
  return R;
}

void Coordination::sendReport(const routing::CoordinatorClaim &To,
                              TimePoint Now) {
  wire::CoordinationMessage Message;
  *Message.mutable_report() = makeReport(To.Name, Now);
  State.Crashes.fillNews(To.Name, *Message.mutable_report(), Now);
  const TimePoint Attentive = Election.attentiveTime(Now);
  SentReports.push_back({ReportSequence, Now, Attentive});
  while (Attentive - SentReports.front().AttentiveAt > MaxConfirmedReportAge)
    SentReports.pop_front();
  Peers.send(Message, To.Address);
}

bool Coordination::reportDue(TimePoint Now) const {
  const Duration Since = Now - ReportedAt;
  if (hasUnreportedChange())
    return true;
  if (Client.hasUnconfirmedRequest())
    return Since >= UnconfirmedReportInterval;
  return Since >= (Client.pendingCount() > 0 ? WaitingReportInterval
                                             : IdleReportInterval);
}

} // namespace hyssoprail::gateway
