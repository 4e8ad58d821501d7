// The part of AdmissionServer that decides and fills updates for the entries.
#include <algorithm>

#include "hyssoprail/routing/admission_server.hpp"
#include "hyssoprail/routing/engine_speed_update.hpp"
#include "hyssoprail/routing/message_time.hpp"

namespace hyssoprail::routing {
namespace {

/// Time that a new coordinator gives the entries to report their reservations.
constexpr milliseconds ReportCollectionTime{150};

} // namespace

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
  if (Refusal.Inputs) {
    D.set_by_policy(true);
    D.set_place(static_cast<std::uint32_t>(Refusal.Inputs->Place));
    D.set_work(Refusal.Inputs->Work);
    D.set_promised(Refusal.Inputs->Promised);
  }
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
  fillSpeeds(Table, Update);
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

} // namespace hyssoprail::routing
