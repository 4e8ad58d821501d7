// The part of AdmissionServer that begins and ends terms and applies reports.
#include "hyssoprail/routing/admission_server.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/routing/usable_total.hpp"

namespace hyssoprail::routing {
namespace {

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

std::string requestId(const std::string &Entry, std::uint64_t Incarnation,
                      std::uint64_t Key) {
  return fmt::format("{}/{:x}/{}", Entry, Incarnation, Key);
}

StreamRequest toStreamRequest(const wire::StreamWant &Want, std::string Id,
                              const std::string &Zone, TimePoint Now) {
  StreamRequest Out;
  Out.Id = std::move(Id);
  Out.Service = Want.service();
  Out.Account = Want.account();
  Out.Zone = Zone;
  Out.Priority = Want.priority();
  Out.PromptTokens = Want.prompt_tokens();
  Out.OutputTokens = Want.output_tokens();
  Out.Arrival = Now - milliseconds(Want.waited_ms());
  Out.ObjectiveDeadline = Now + milliseconds(Want.on_time_ms());
  Out.GiveUpAt = Now + milliseconds(Want.give_up_ms());
  Out.CallerBudget = milliseconds(Want.time_left_ms());
  Out.BeyondQuota = Want.beyond_quota();
  Out.IsRetry = Want.returning();
  Out.RoutePriority = Want.route_priority();
  Out.Began = Want.began();
  Out.HasKvCache = Want.has_cache();
  Out.Version = Want.version();
  Out.ExcludedEndpoints.assign(Want.avoid().begin(), Want.avoid().end());
  return Out;
}

StreamReservation toReservation(const wire::StreamRun &Run, std::string Id) {
  return {std::move(Id), Run.service(), Run.account(),      Run.decode(),
          Run.prefill(), Run.tokens(),  Run.prompt_tokens()};
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
  Speeds.clear();
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
  applyEngineWork(Report, Now);
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
    const auto Signal = healthSignalFromNumber(Item.kind());
    if (Signal && Name != OwnName)
      Table.recordFromPeer(Name, Item.endpoint(), *Signal, Now);
  }
}

void AdmissionServer::applyCalls(const std::string &Name, Entry &E,
                                 const wire::EntryReport &Report) {
  E.Calls.clear();
  LoadMap Loads;
  for (const wire::CallUse &Use : Report.calls()) {
    E.Calls[Use.endpoint()] = Use.runs();
    Loads[Use.endpoint()] = {
        static_cast<std::int32_t>(std::min<std::uint32_t>(
            Use.runs(), std::numeric_limits<std::int32_t>::max())),
        0, 0};
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
    if (isUsableTotal(Use.tokens()))
      Totals[Use.account()] = Use.tokens();
  const bool FirstReport =
      Name != OwnName &&
      Quota.recordPeerTotals(Name, E.Incarnation, Totals, Now);
  for (const wire::AccountUse &Use : Report.accounts()) {
    if (!isUsableTotal(Use.tokens()))
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

} // namespace hyssoprail::routing
