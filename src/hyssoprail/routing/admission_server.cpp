#include "hyssoprail/routing/admission_server.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// An entry that has not reported for this time is partitioned from the
/// coordinator, paused or dead.
constexpr milliseconds SilenceTimeout{700};

/// Reservations of a silent entry are kept for this time: an entry behind a
/// network partition continues the work that it has placed, and a killed one
/// restarts sooner and reports anew. The shorter time is for an entry that has
/// announced its shutdown.
constexpr milliseconds LoadRetention{8'000};
constexpr milliseconds LeavingLoadRetention{1'500};

/// A silent entry may still grant quota on its own; after this time it is
/// considered gone.
constexpr milliseconds EntryRetention{14'000};

/// A process needs longer than this to end and start again. A report of another
/// incarnation that arrives sooner is a delayed one of a process that was
/// killed.
constexpr milliseconds MinRestartTime{200};

/// Zones with fewer followers fetch fleet changes from the fleet-wide source.
constexpr std::size_t MinFollowersForNearbySource = 8;

/// Time that a new coordinator gives the entries to report their reservations.
constexpr milliseconds ReportCollectionTime{150};

std::uint32_t nonNegativeMillis(Duration D) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<milliseconds>(D).count()));
}

std::string requestId(const std::string &Entry, std::uint64_t Incarnation,
                      std::uint64_t Key) {
  return fmt::format("{}/{:x}/{}", Entry, Incarnation, Key);
}

StreamRequest toStreamRequest(const wire::StreamWant &W, std::string Id,
                              const std::string &Zone, TimePoint Now) {
  StreamRequest N;
  N.Id = std::move(Id);
  N.Service = W.service();
  N.Account = W.account();
  N.Zone = Zone;
  N.Priority = W.priority();
  N.PromptTokens = W.prompt_tokens();
  N.OutputTokens = W.output_tokens();
  N.Arrival = Now - milliseconds(W.waited_ms());
  N.ObjectiveDeadline = Now + milliseconds(W.on_time_ms());
  N.GiveUpAt = Now + milliseconds(W.give_up_ms());
  N.CallerBudget = milliseconds(W.time_left_ms());
  N.BeyondQuota = W.beyond_quota();
  N.IsRetry = W.returning();
  N.HasKvCache = W.has_cache();
  N.ExcludedEndpoints.assign(W.avoid().begin(), W.avoid().end());
  return N;
}

StreamReservation toReservation(const wire::StreamRun &R, std::string Id) {
  return {std::move(Id), R.service(), R.account(),      R.decode(),
          R.prefill(),   R.tokens(),  R.prompt_tokens()};
}

} // namespace

void AdmissionServer::startTerm(std::size_t ExpectedEntries, TimePoint Now) {
  endTerm(Now);
  TermStart = Now;
  Expected = ExpectedEntries;
  // What the peers have granted since an earlier term of this coordinator was
  // charged meanwhile, from the updates of the other coordinators.
  Quota.forgetPeers();
}

void AdmissionServer::endTerm(TimePoint Now) {
  for (auto &[Name, E] : Entries)
    Table.setPeerLoad(Name, {});
  Entries.clear();
  Requests.clear();
  TotalGrantedInTerm.clear();
  Scheduler.clear(Now);
}

// ---- Reports --------------------------------------------------------------

bool AdmissionServer::handleReport(const wire::EntryReport &Report,
                                   TimePoint Now) {
  const std::string &Name = Report.sender();
  Entry &E = Entries[Name];
  const bool NewIncarnation = E.Incarnation != Report.incarnation();
  const bool Stale = NewIncarnation ? E.Incarnation != 0 &&
                                          Now - E.LastReportAt < MinRestartTime
                                    : Report.sequence() <= E.Sequence;
  if (Stale)
    return false;
  if (NewIncarnation) {
    // The reservations of the former process are free, as its connections are
    // closed.
    releaseAll(Name, E, Now);
    E = {};
  }
  E.Incarnation = Report.incarnation();
  E.Sequence = Report.sequence();
  E.Address = Report.address();
  E.Zone = Report.zone();
  E.State = Report.state();
  E.Weight = std::isfinite(Report.weight()) ? Report.weight() : 0;
  E.Leaving = Report.leaving();
  E.LastReportAt = Now;
  applyHealthSignals(Name, E, Report, Now);
  applyRuns(Name, E, Report, Now);
  applyWants(Name, E, Report, Now);
  applyCalls(Name, E, Report);
  applyAccounts(Name, E, NewIncarnation, Report, Now);
  return true;
}

/// A run that the entry no longer reports has ended. A run that this
/// coordinator has not granted was granted by its predecessor.
void AdmissionServer::applyRuns(const std::string &Name, Entry &E,
                                const wire::EntryReport &Report,
                                TimePoint Now) {
  std::set<std::uint64_t> ReportedKeys;
  for (const wire::StreamRun &R : Report.runs())
    ReportedKeys.insert(R.key());
  for (const wire::StreamWant &W : Report.wants())
    ReportedKeys.insert(W.key());
  std::vector<std::uint64_t> Ended;
  std::set_difference(E.ActiveKeys.begin(), E.ActiveKeys.end(),
                      ReportedKeys.begin(), ReportedKeys.end(),
                      std::back_inserter(Ended));
  for (const std::uint64_t Key : Ended)
    removeRequest(Name, E, Key, Now);
  std::erase_if(E.Denied, [&](const auto &Item) {
    return !ReportedKeys.contains(Item.first);
  });
  for (const wire::StreamRun &R : Report.runs()) {
    std::string Id = requestId(Name, E.Incarnation, R.key());
    E.Granted.erase(R.key());
    if (!Scheduler.isRunning(Id)) {
      E.ActiveKeys.insert(R.key());
      Requests[Id] = {Name, R.key()};
      Scheduler.adopt(toReservation(R, std::move(Id)), Now);
      continue;
    }
    Scheduler.resize(Id, R.tokens());
    if (R.prefill().empty())
      Scheduler.prefillEnded(Id, Now);
  }
}

/// An entry repeats a request (StreamWant) until it has received the decision
/// on it. A request that has already been decided therefore means that the
/// decision must be sent again.
void AdmissionServer::applyWants(const std::string &Name, Entry &E,
                                 const wire::EntryReport &Report,
                                 TimePoint Now) {
  for (const wire::StreamWant &W : Report.wants()) {
    if (E.Granted.contains(W.key()) || E.Denied.contains(W.key())) {
      E.UpdateDue = true;
      continue;
    }
    if (!E.ActiveKeys.insert(W.key()).second)
      continue;
    std::string Id = requestId(Name, E.Incarnation, W.key());
    Requests[Id] = {Name, W.key()};
    Scheduler.submit(toStreamRequest(W, std::move(Id), E.Zone, Now));
    E.UpdateDue = true;
  }
}

void AdmissionServer::applyHealthSignals(const std::string &Name, Entry &E,
                                         const wire::EntryReport &Report,
                                         TimePoint Now) {
  for (const wire::EngineEvidence &Item : Report.evidence()) {
    if (Item.serial() <= E.LastSignalSerial)
      continue;
    E.LastSignalSerial = Item.serial();
    const auto What = healthSignalFromNumber(Item.kind());
    if (What && Name != OwnName)
      Table.recordFromPeer(Name, Item.endpoint(), *What, Now);
  }
}

void AdmissionServer::applyCalls(const std::string &Name, Entry &E,
                                 const wire::EntryReport &Report) {
  E.Calls.clear();
  LoadMap Loads;
  for (const wire::CallUse &Use : Report.calls()) {
    E.Calls[Use.endpoint()] = Use.runs();
    Loads[Use.endpoint()] = {static_cast<std::int32_t>(Use.runs()), 0, 0};
  }
  if (Name != OwnName)
    Table.setPeerLoad(Name, std::move(Loads));
}

/// What an entry granted before its first report in this term cannot be dated,
/// so its stated debt counts, and then the growth of its totals.
void AdmissionServer::applyAccounts(const std::string &Name, Entry &E,
                                    bool NewIncarnation,
                                    const wire::EntryReport &Report,
                                    TimePoint Now) {
  SharedQuota::AccountTotals Totals;
  for (const wire::AccountUse &Use : Report.accounts())
    if (std::isfinite(Use.tokens()))
      Totals[Use.account()] = Use.tokens();
  const bool FirstReport =
      Name != OwnName &&
      Quota.recordPeerTotals(Name, E.Incarnation, Totals, Now);
  for (const wire::AccountUse &Use : Report.accounts()) {
    if (!std::isfinite(Use.tokens()))
      continue;
    const double Undated =
        FirstReport ? Quota.chargePeerDebt(Use.account(), Use.debt(), Now) : 0;
    double &Last = E.ReportedTotals[Use.account()];
    const double Growth = NewIncarnation ? Undated : Use.tokens() - Last;
    Last = Use.tokens();
    E.GrantedInTerm[Use.account()] += Growth;
    TotalGrantedInTerm[Use.account()] += Growth;
  }
}

void AdmissionServer::removeRequest(const std::string &Name, Entry &E,
                                    std::uint64_t Key, TimePoint Now) {
  const std::string Id = requestId(Name, E.Incarnation, Key);
  Scheduler.cancel(Id);
  Scheduler.release(Id, Now);
  Requests.erase(Id);
  E.ActiveKeys.erase(Key);
  E.Granted.erase(Key);
}

void AdmissionServer::releaseAll(const std::string &Name, Entry &E,
                                 TimePoint Now) {
  while (!E.ActiveKeys.empty())
    removeRequest(Name, E, *E.ActiveKeys.begin(), Now);
  E.Calls.clear();
  if (Name != OwnName)
    Table.setPeerLoad(Name, {});
}

void AdmissionServer::releaseSilentEntries(TimePoint Now) {
  for (auto &[Name, E] : Entries)
    if (Now - E.LastReportAt >=
        (E.Leaving ? LeavingLoadRetention : LoadRetention))
      releaseAll(Name, E, Now);
}

void AdmissionServer::forgetSilentEntries(TimePoint Now) {
  releaseSilentEntries(Now);
  std::erase_if(Entries, [&](const auto &Item) {
    const Entry &E = Item.second;
    return Now - E.LastReportAt >
           (E.Leaving ? LeavingLoadRetention : EntryRetention);
  });
}

// ---- Decisions ------------------------------------------------------------

bool AdmissionServer::reportsComplete(TimePoint Now) const {
  return Now - TermStart >= ReportCollectionTime || Entries.size() >= Expected;
}

void AdmissionServer::decide(TimePoint Now) {
  if (!reportsComplete(Now))
    return;
  Scheduler.setKnownLoadShare(
      static_cast<double>(liveEntryCount(Now)) /
      static_cast<double>(std::max<std::size_t>(
          {knownEntryCount(), Expected, std::size_t{1}})));
  for (const StreamDecision &D : Scheduler.poll(Now))
    std::visit([this](const auto &Decision) { record(Decision); }, D);
}

void AdmissionServer::record(const StreamPlacement &Placement) {
  const auto &[Name, Key] = Requests.at(Placement.Id);
  Entry &E = Entries.at(Name);
  wire::StreamGrant &G = E.Granted[Key];
  G.set_key(Key);
  G.set_decode(Placement.Decode);
  G.set_prefill(Placement.Prefill);
  G.set_decode_runs(static_cast<std::uint32_t>(Placement.DecodeLoad.Runs));
  G.set_decode_tokens(static_cast<std::uint64_t>(Placement.DecodeLoad.Tokens));
  G.set_prefill_backlog(static_cast<std::uint64_t>(Placement.PrefillBacklog));
  E.UpdateDue = true;
}

void AdmissionServer::record(const StreamRefusal &Refusal) {
  const auto [Name, Key] = Requests.at(Refusal.Id);
  Entry &E = Entries.at(Name);
  wire::StreamDenial &D = E.Denied[Key];
  D.set_key(Key);
  D.set_reason(static_cast<std::uint32_t>(Refusal.Reason));
  D.set_retry_after_ms(nonNegativeMillis(Refusal.RetryAfter));
  D.set_expected_wait_ms(nonNegativeMillis(Refusal.ExpectedWait));
  E.ActiveKeys.erase(Key);
  E.UpdateDue = true;
  Requests.erase(Refusal.Id);
}

// ---- Updates --------------------------------------------------------------

std::vector<std::string> AdmissionServer::entriesDueUpdate() const {
  std::vector<std::string> Out;
  for (const auto &[Name, E] : Entries)
    if (E.UpdateDue)
      Out.push_back(Name);
  return Out;
}

void AdmissionServer::fillUpdate(const std::string &Name,
                                 wire::CoordinatorUpdate &Update,
                                 bool WithTotals, TimePoint Now) {
  Update.set_queued(static_cast<std::uint32_t>(Scheduler.queued()));
  const auto It = Entries.find(Name);
  if (It == Entries.end())
    return;
  Entry &E = It->second;
  E.UpdateDue = false;
  Update.set_heard_incarnation(E.Incarnation);
  Update.set_heard_sequence(E.Sequence);
  for (const auto &[Key, Grant] : E.Granted)
    *Update.add_grants() = Grant;
  for (const auto &[Key, Denial] : E.Denied)
    *Update.add_denials() = Denial;
  if (WithTotals)
    fillTotals(E, Update, Now);
}

void AdmissionServer::fillTotals(const Entry &E,
                                 wire::CoordinatorUpdate &Update,
                                 TimePoint Now) {
  Update.set_has_totals(true);
  for (const auto &[Account, Tokens] : TotalGrantedInTerm) {
    const auto Own = E.GrantedInTerm.find(Account);
    wire::AccountUse *Use = Update.add_accounts();
    Use->set_account(Account);
    Use->set_tokens(Tokens - (Own == E.GrantedInTerm.end() ? 0 : Own->second));
    Use->set_debt(Quota.fleetDebt(Account, Now));
  }
  Table.forEach([&](Endpoint &ServiceEndpoint) {
    if (ServiceEndpoint.Record.Stage != EngineStage::None)
      return;
    const auto Own = E.Calls.find(ServiceEndpoint.Record.Id);
    const auto All =
        static_cast<unsigned>(std::max(0, ServiceEndpoint.totalLoad().Runs));
    const unsigned Others =
        All - std::min(All, Own == E.Calls.end() ? 0U : Own->second);
    if (Others == 0)
      return;
    wire::CallUse *Use = Update.add_calls();
    Use->set_endpoint(ServiceEndpoint.Record.Id);
    Use->set_runs(Others);
  });
}

std::map<std::string, std::string> AdmissionServer::addresses() const {
  std::map<std::string, std::string> Out;
  for (const auto &[Name, E] : Entries)
    if (Name != OwnName)
      Out.emplace(Name, E.Address);
  return Out;
}

std::size_t AdmissionServer::liveEntryCount(TimePoint Now) const {
  std::size_t Count = hasOwnEntry() ? 0 : 1;
  for (const auto &[Name, E] : Entries)
    Count += Name == OwnName || Now - E.LastReportAt < SilenceTimeout ? 1 : 0;
  return Count;
}

/// Among entries on VMs of one size, zones with fewer deputies come first, so
/// that the loss of a zone leaves some deputies.
std::vector<std::string> AdmissionServer::deputies(std::size_t Count,
                                                   TimePoint Now) const {
  std::vector<const std::pair<const std::string, Entry> *> Candidates;
  std::map<std::string, std::size_t> Chosen; ///< by zone
  for (const auto &Item : Entries) {
    const Entry &E = Item.second;
    if (Item.first == OwnName)
      ++Chosen[E.Zone];
    else if (!E.Leaving && Now - E.LastReportAt < SilenceTimeout)
      Candidates.push_back(&Item);
  }
  std::vector<std::string> Out;
  while (Out.size() < Count && !Candidates.empty()) {
    const auto Rank = [&](const auto *C) {
      return std::tuple(-C->second.Weight, Chosen[C->second.Zone],
                        stableHash(C->first), C->first);
    };
    const auto Best = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](const auto *A, const auto *B) { return Rank(A) < Rank(B); });
    ++Chosen[(*Best)->second.Zone];
    Out.push_back((*Best)->first);
    Candidates.erase(Best);
  }
  return Out;
}

/// True if other entries may fetch fleet changes from the entry.
bool AdmissionServer::isSource(const std::string &Name, const Entry &E,
                               TimePoint Now) const {
  return Name != OwnName && !E.Leaving &&
         Now - E.LastReportAt < SilenceTimeout && !E.State.address().empty();
}

std::optional<wire::FleetSource>
AdmissionServer::newestConfigSource(TimePoint Now) const {
  const Entry *Best = nullptr;
  for (const auto &[Name, E] : Entries)
    if (isSource(Name, E, Now) &&
        (!Best || E.State.config_version() > Best->State.config_version()))
      Best = &E;
  return Best ? std::optional(Best->State) : std::nullopt;
}

std::optional<wire::FleetSource>
AdmissionServer::freshestSource(TimePoint Now) const {
  std::optional<wire::FleetSource> Best;
  for (const auto &[Name, E] : Entries) {
    if (!isSource(Name, E, Now))
      continue;
    wire::FleetSource Source = E.State;
    Source.set_age_ms(Source.age_ms() +
                      nonNegativeMillis(Now - E.LastReportAt));
    if (!Best || Source.age_ms() < Best->age_ms())
      Best = std::move(Source);
  }
  return Best;
}

/// Load pattern: a zone with hundreds of endpoints is lost and comes back.
/// Without sources in the zones, one entry would send the changes to hundreds
/// of others, mostly across zones; the coordinator's updates would queue behind
/// them until its followers consider it silent.
void AdmissionServer::chooseNearbySources(TimePoint Now) {
  NearbySources.clear();
  std::map<std::string, std::size_t> Followers;
  for (const auto &[Name, E] : Entries) {
    if (!isSource(Name, E, Now))
      continue;
    ++Followers[E.Zone];
    std::string &Chosen = NearbySources[E.Zone];
    if (Chosen.empty() || E.Weight > Entries.at(Chosen).Weight)
      Chosen = Name;
  }
  std::erase_if(NearbySources, [&](const auto &Item) {
    return Followers.at(Item.first) < MinFollowersForNearbySource;
  });
}

std::string AdmissionServer::nearbySource(const std::string &Entry) const {
  const auto It = Entries.find(Entry);
  if (It == Entries.end())
    return "";
  const auto Chosen = NearbySources.find(It->second.Zone);
  if (Chosen == NearbySources.end() || Chosen->second == Entry)
    return "";
  const auto Source = Entries.find(Chosen->second);
  return Source == Entries.end() ? "" : Source->second.State.address();
}

} // namespace hyssoprail::routing
