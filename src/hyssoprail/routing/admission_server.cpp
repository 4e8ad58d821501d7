#include "hyssoprail/routing/admission_server.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// An entry that is silent for longer is cut off, paused or dead.
constexpr milliseconds SilentAfter{700};

/// An entry that is cut off goes on with the work it has placed; one that was
/// killed restarts sooner than this and reports anew.
constexpr milliseconds LoadsKept{8'000};
constexpr milliseconds LeavingLoadsKept{1'500};

/// A silent entry may still grant quota on its own; after this time it is taken
/// to be gone.
constexpr milliseconds ForgottenAfter{14'000};

/// A process takes longer than this to end and start again. A report of another
/// incarnation that comes sooner is a late one of a process that was killed.
constexpr milliseconds RestartTime{200};

/// Zones with fewer followers ask the source of all.
constexpr std::size_t FollowersOfNearbySource = 8;

/// Time that a new coordinator gives the entries to report what they hold.
constexpr milliseconds CollectTime{150};

std::uint32_t wholeMillis(Duration D) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<milliseconds>(D).count()));
}

std::string requestId(const std::string &Entry, std::uint64_t Incarnation,
                      std::uint64_t Key) {
  return fmt::format("{}/{:x}/{}", Entry, Incarnation, Key);
}

StreamNeed asNeed(const wire::StreamWant &W, std::string Id,
                  const std::string &Zone, TimePoint Now) {
  StreamNeed N;
  N.Id = std::move(Id);
  N.Service = W.service();
  N.Account = W.account();
  N.Zone = Zone;
  N.Priority = W.priority();
  N.PromptTokens = W.prompt_tokens();
  N.OutputTokens = W.output_tokens();
  N.Arrival = Now - milliseconds(W.waited_ms());
  N.OnTimeUntil = Now + milliseconds(W.on_time_ms());
  N.GiveUpAt = Now + milliseconds(W.give_up_ms());
  N.TimeLeft = milliseconds(W.time_left_ms());
  N.BeyondQuota = W.beyond_quota();
  N.Returning = W.returning();
  N.HasCache = W.has_cache();
  N.Avoid.assign(W.avoid().begin(), W.avoid().end());
  return N;
}

StreamHold asHold(const wire::StreamRun &R, std::string Id) {
  return {std::move(Id), R.service(), R.account(),      R.decode(),
          R.prefill(),   R.tokens(),  R.prompt_tokens()};
}

} // namespace

void AdmissionServer::begin(std::size_t ExpectedEntries, TimePoint Now) {
  end(Now);
  Began = Now;
  Expected = ExpectedEntries;
}

void AdmissionServer::end(TimePoint Now) {
  for (auto &[Name, E] : Entries)
    Table.setPeerLoad(Name, {});
  Entries.clear();
  Requests.clear();
  GrantingOfAll.clear();
  Scheduler.clear(Now);
}

// ---- Reports --------------------------------------------------------------

void AdmissionServer::hear(const wire::EntryReport &Report, TimePoint Now) {
  const std::string &Name = Report.sender();
  Entry &E = Entries[Name];
  const bool New = E.Incarnation != Report.incarnation();
  const bool Late = New ? E.Incarnation != 0 && Now - E.Heard < RestartTime
                        : Report.sequence() <= E.Sequence;
  if (Late)
    return;
  if (New) {
    // What the former process held is free, as its connections are closed.
    drop(Name, E, Now);
    E = {};
  }
  E.Incarnation = Report.incarnation();
  E.Sequence = Report.sequence();
  E.Address = Report.address();
  E.Zone = Report.zone();
  E.State = Report.state();
  E.Weight = std::isfinite(Report.weight()) ? Report.weight() : 0;
  E.Leaving = Report.leaving();
  E.Heard = Now;
  takeEvidence(Name, E, Report, Now);
  takeRuns(Name, E, Report, Now);
  takeWants(Name, E, Report, Now);
  takeCalls(Name, E, Report);
  takeAccounts(Name, E, New, Report, Now);
}

/// Runs that the entry does not name any more have ended. Those that this
/// coordinator has not granted were granted by its predecessor.
void AdmissionServer::takeRuns(const std::string &Name, Entry &E,
                               const wire::EntryReport &Report, TimePoint Now) {
  std::set<std::uint64_t> Named;
  for (const wire::StreamRun &R : Report.runs())
    Named.insert(R.key());
  for (const wire::StreamWant &W : Report.wants())
    Named.insert(W.key());
  std::vector<std::uint64_t> Ended;
  std::set_difference(E.Keys.begin(), E.Keys.end(), Named.begin(), Named.end(),
                      std::back_inserter(Ended));
  for (const std::uint64_t Key : Ended)
    forget(Name, E, Key, Now);
  std::erase_if(E.Denied,
                [&](const auto &Item) { return !Named.contains(Item.first); });
  for (const wire::StreamRun &R : Report.runs()) {
    std::string Id = requestId(Name, E.Incarnation, R.key());
    E.Granted.erase(R.key());
    if (!Scheduler.holds(Id)) {
      E.Keys.insert(R.key());
      Requests[Id] = {Name, R.key()};
      Scheduler.adopt(asHold(R, std::move(Id)), Now);
      continue;
    }
    Scheduler.resize(Id, R.tokens());
    if (R.prefill().empty())
      Scheduler.prefillEnded(Id, Now);
  }
}

/// A want that was granted or denied stays in the reports until the entry has
/// heard the decision, which is then sent again.
void AdmissionServer::takeWants(const std::string &Name, Entry &E,
                                const wire::EntryReport &Report,
                                TimePoint Now) {
  for (const wire::StreamWant &W : Report.wants()) {
    if (E.Granted.contains(W.key()) || E.Denied.contains(W.key())) {
      E.Due = true;
      continue;
    }
    if (!E.Keys.insert(W.key()).second)
      continue;
    std::string Id = requestId(Name, E.Incarnation, W.key());
    Requests[Id] = {Name, W.key()};
    Scheduler.submit(asNeed(W, std::move(Id), E.Zone, Now));
    E.Due = true;
  }
}

void AdmissionServer::takeEvidence(const std::string &Name, Entry &E,
                                   const wire::EntryReport &Report,
                                   TimePoint Now) {
  for (const wire::EngineEvidence &Item : Report.evidence()) {
    if (Item.serial() <= E.LastEvidence)
      continue;
    E.LastEvidence = Item.serial();
    const auto What = healthSignalFromNumber(Item.kind());
    if (What && Name != OwnName)
      Table.recordOfPeer(Name, Item.endpoint(), *What, Now);
  }
}

void AdmissionServer::takeCalls(const std::string &Name, Entry &E,
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

/// What an entry granted before its first report cannot be dated, so only the
/// growth of its totals counts.
void AdmissionServer::takeAccounts(const std::string &Name, Entry &E, bool New,
                                   const wire::EntryReport &Report,
                                   TimePoint Now) {
  for (const wire::AccountUse &Use : Report.accounts()) {
    if (!std::isfinite(Use.tokens()))
      continue;
    double &Last = E.Reported[Use.account()];
    const double Growth = New ? 0 : Use.tokens() - Last;
    Last = Use.tokens();
    E.Granting[Use.account()] += Growth;
    GrantingOfAll[Use.account()] += Growth;
    if (Name != OwnName)
      Quota.recordPeerTotal(Name, E.Incarnation, Use.account(), Use.tokens(),
                            Now);
  }
}

void AdmissionServer::forget(const std::string &Name, Entry &E,
                             std::uint64_t Key, TimePoint Now) {
  const std::string Id = requestId(Name, E.Incarnation, Key);
  Scheduler.cancel(Id);
  Scheduler.release(Id, Now);
  Requests.erase(Id);
  E.Keys.erase(Key);
  E.Granted.erase(Key);
}

void AdmissionServer::drop(const std::string &Name, Entry &E, TimePoint Now) {
  while (!E.Keys.empty())
    forget(Name, E, *E.Keys.begin(), Now);
  E.Calls.clear();
  if (Name != OwnName)
    Table.setPeerLoad(Name, {});
}

void AdmissionServer::age(TimePoint Now) {
  for (auto &[Name, E] : Entries)
    if (Now - E.Heard >= (E.Leaving ? LeavingLoadsKept : LoadsKept))
      drop(Name, E, Now);
  std::erase_if(Entries, [&](const auto &Item) {
    const Entry &E = Item.second;
    return Now - E.Heard > (E.Leaving ? LeavingLoadsKept : ForgottenAfter);
  });
}

// ---- Decisions ------------------------------------------------------------

bool AdmissionServer::complete(TimePoint Now) const {
  return Now - Began >= CollectTime || Entries.size() >= Expected;
}

void AdmissionServer::decide(TimePoint Now) {
  if (!complete(Now))
    return;
  Scheduler.setKnownShare(static_cast<double>(heard(Now)) /
                          static_cast<double>(std::max<std::size_t>(
                              {known(), Expected, std::size_t{1}})));
  for (const StreamDecision &D : Scheduler.poll(Now))
    std::visit([this](const auto &Decision) { record(Decision); }, D);
}

void AdmissionServer::record(const StreamPlace &Place) {
  const auto &[Name, Key] = Requests.at(Place.Id);
  Entry &E = Entries.at(Name);
  wire::StreamGrant &G = E.Granted[Key];
  G.set_key(Key);
  G.set_decode(Place.Decode);
  G.set_prefill(Place.Prefill);
  G.set_decode_runs(static_cast<std::uint32_t>(Place.DecodeLoad.Runs));
  G.set_decode_tokens(static_cast<std::uint64_t>(Place.DecodeLoad.Tokens));
  G.set_prefill_backlog(static_cast<std::uint64_t>(Place.PrefillBacklog));
  E.Due = true;
}

void AdmissionServer::record(const StreamRefusal &Refusal) {
  const auto [Name, Key] = Requests.at(Refusal.Id);
  Entry &E = Entries.at(Name);
  wire::StreamDenial &D = E.Denied[Key];
  D.set_key(Key);
  D.set_reason(static_cast<std::uint32_t>(Refusal.Reason));
  D.set_retry_after_ms(wholeMillis(Refusal.RetryAfter));
  D.set_expected_wait_ms(wholeMillis(Refusal.ExpectedWait));
  E.Keys.erase(Key);
  E.Due = true;
  Requests.erase(Refusal.Id);
}

// ---- Updates --------------------------------------------------------------

std::vector<std::string> AdmissionServer::due() const {
  std::vector<std::string> Out;
  for (const auto &[Name, E] : Entries)
    if (E.Due)
      Out.push_back(Name);
  return Out;
}

void AdmissionServer::fill(const std::string &Name,
                           wire::CoordinatorUpdate &Update, bool WithTotals) {
  Update.set_queued(static_cast<std::uint32_t>(Scheduler.queued()));
  const auto It = Entries.find(Name);
  if (It == Entries.end())
    return;
  Entry &E = It->second;
  E.Due = false;
  Update.set_heard_incarnation(E.Incarnation);
  Update.set_heard_sequence(E.Sequence);
  for (const auto &[Key, Grant] : E.Granted)
    *Update.add_grants() = Grant;
  for (const auto &[Key, Denial] : E.Denied)
    *Update.add_denials() = Denial;
  if (WithTotals)
    fillTotals(E, Update);
}

void AdmissionServer::fillTotals(const Entry &E,
                                 wire::CoordinatorUpdate &Update) {
  Update.set_has_totals(true);
  for (const auto &[Account, Tokens] : GrantingOfAll) {
    const auto Own = E.Granting.find(Account);
    wire::AccountUse *Use = Update.add_accounts();
    Use->set_account(Account);
    Use->set_tokens(Tokens - (Own == E.Granting.end() ? 0 : Own->second));
  }
  Table.forEach([&](Endpoint &Plain) {
    if (Plain.Record.Stage != EngineStage::None)
      return;
    const auto Own = E.Calls.find(Plain.Record.Id);
    const auto All = static_cast<unsigned>(std::max(0, Plain.total().Runs));
    const unsigned Others =
        All - std::min(All, Own == E.Calls.end() ? 0U : Own->second);
    if (Others == 0)
      return;
    wire::CallUse *Use = Update.add_calls();
    Use->set_endpoint(Plain.Record.Id);
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

std::size_t AdmissionServer::heard(TimePoint Now) const {
  std::size_t Count = knowsItself() ? 0 : 1;
  for (const auto &[Name, E] : Entries)
    Count += Name == OwnName || Now - E.Heard < SilentAfter ? 1 : 0;
  return Count;
}

/// Of entries with VMs of one size those of further zones come first, so that
/// the loss of a zone spares one.
std::vector<std::string> AdmissionServer::deputies(std::size_t Count,
                                                   TimePoint Now) const {
  std::vector<const std::pair<const std::string, Entry> *> Candidates;
  std::map<std::string, std::size_t> Chosen; ///< by zone
  for (const auto &Item : Entries) {
    const Entry &E = Item.second;
    if (Item.first == OwnName)
      ++Chosen[E.Zone];
    else if (!E.Leaving && Now - E.Heard < SilentAfter)
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

std::optional<wire::FleetSource>
AdmissionServer::freshestSource(TimePoint Now) const {
  std::optional<wire::FleetSource> Best;
  for (const auto &[Name, E] : Entries) {
    if (Name == OwnName || E.Leaving || Now - E.Heard >= SilentAfter ||
        E.State.address().empty())
      continue;
    wire::FleetSource Source = E.State;
    Source.set_age_ms(Source.age_ms() + wholeMillis(Now - E.Heard));
    if (!Best || Source.age_ms() < Best->age_ms())
      Best = std::move(Source);
  }
  return Best;
}

/// Load pattern: a zone with hundreds of endpoints is lost and comes back. The
/// changes would go from one entry to hundreds, most of them between zones, and
/// its updates would wait behind them until the others take it for silent.
void AdmissionServer::chooseNearbySources(TimePoint Now) {
  NearbySources.clear();
  std::map<std::string, std::size_t> Followers;
  for (const auto &[Name, E] : Entries) {
    if (Name == OwnName || E.Leaving || Now - E.Heard >= SilentAfter ||
        E.State.address().empty())
      continue;
    ++Followers[E.Zone];
    std::string &Chosen = NearbySources[E.Zone];
    if (Chosen.empty() || E.Weight > Entries.at(Chosen).Weight)
      Chosen = Name;
  }
  std::erase_if(NearbySources, [&](const auto &Item) {
    return Followers.at(Item.first) < FollowersOfNearbySource;
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
