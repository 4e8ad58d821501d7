#include "hyssoprail/routing/call_grant_client.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace hyssoprail::routing {
namespace {

/// Observations are reported for this time, so that a lost report does no harm.
constexpr milliseconds ObservationTime{2'000};

/// The coordinator knows a limit that this entry reported this long ago. A
/// limit that it then does not list has ended.
constexpr milliseconds ReportTime{1'000};

} // namespace

void CallGrantClient::submit(CallRequest Request) {
  Undecided.emplace(++LastKey, std::move(Request));
  Changed = true;
}

void CallGrantClient::cancel(std::string_view Id) {
  std::erase_if(Undecided,
                [&](const auto &Item) { return Item.second.Id == Id; });
}

std::optional<milliseconds> CallGrantClient::deniedFor(std::string_view Service,
                                                       TimePoint Now) const {
  const auto It = DeniedServices.find(Service);
  if (It == DeniedServices.end() || Now >= It->second.Until)
    return std::nullopt;
  return It->second.RetryAfter;
}

bool CallGrantClient::recordResponse(std::string_view EndpointId,
                                     std::optional<double> PerSecond,
                                     TimePoint Now) {
  const Endpoint *E = Table.find(EndpointId);
  if (!E || (!PerSecond && !E->Limit.perSecond()))
    return false;
  const std::optional<double> Before = E->Limit.perSecond();
  Table.recordLimit(EndpointId, PerSecond, Now);
  Observations[std::string(EndpointId)] = {PerSecond, Now};
  const bool LimitChanged = E->Limit.perSecond() != Before;
  Changed = Changed || LimitChanged;
  return LimitChanged;
}

void CallGrantClient::fillReport(wire::EntryReport &Report, TimePoint Now) {
  for (const auto &[Key, Request] : Undecided) {
    wire::CallWant *W = Report.add_call_wants();
    W->set_key(Key);
    W->set_service(Request.Service);
    for (const std::string &Id : Request.ExcludedEndpoints)
      W->add_avoid(Id);
  }
  std::erase_if(Observations, [&](const auto &Item) {
    return Now - Item.second.At > ObservationTime;
  });
  for (const auto &[Id, Seen] : Observations) {
    wire::EndpointLimit *L = Report.add_limits();
    L->set_endpoint(Id);
    L->set_stated(Seen.PerSecond.has_value());
    L->set_per_second(Seen.PerSecond.value_or(0));
    L->set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(Now - Seen.At).count()));
  }
  Changed = false;
}

std::vector<CallDecision>
CallGrantClient::applyUpdate(const wire::CoordinatorUpdate &Update,
                             TimePoint Now) {
  if (Update.has_totals())
    applyLimits(Update, Now);
  std::vector<CallDecision> Out;
  for (const wire::CallGrant &G : Update.call_grants()) {
    const auto It = Undecided.find(G.key());
    if (It == Undecided.end())
      continue;
    Out.push_back(CallGrant{It->second.Id, G.endpoint()});
    Undecided.erase(It);
  }
  for (const wire::CallDenial &D : Update.call_denials()) {
    const auto It = Undecided.find(D.key());
    if (It == Undecided.end())
      continue;
    const milliseconds RetryAfter(D.retry_after_ms());
    Out.push_back(CallDenial{It->second.Id, RetryAfter});
    if (It->second.ExcludedEndpoints.empty())
      DeniedServices[It->second.Service] = {
          Now + milliseconds(D.next_grant_ms()), RetryAfter};
    Undecided.erase(It);
  }
  return Out;
}

void CallGrantClient::applyLimits(const wire::CoordinatorUpdate &Update,
                                  TimePoint Now) {
  std::set<std::string_view> Listed;
  for (const wire::EndpointLimit &L : Update.limits()) {
    if (!std::isfinite(L.per_second()) || L.per_second() < 0)
      continue;
    Listed.insert(L.endpoint());
    Table.recordLimit(L.endpoint(), L.per_second(),
                      Now - milliseconds(L.age_ms()));
  }
  Table.forEach([&](Endpoint &E) {
    if (E.Limit.perSecond() && !Listed.contains(E.Record.Id) &&
        Now - E.Limit.statedAt() > ReportTime)
      E.Limit.recordNone(Now);
  });
}

} // namespace hyssoprail::routing
