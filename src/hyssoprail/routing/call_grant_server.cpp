#include "hyssoprail/routing/call_grant_server.hpp"
#include "hyssoprail/routing/endpoint_choice.hpp"

#include <algorithm>
#include <cmath>

namespace hyssoprail::routing {
namespace {

constexpr milliseconds SilenceTimeout{5'000};

/// Times to return of denied callers are spread up to this time.
constexpr milliseconds MaxRetryAfter{1'000};

/// Time to return if this coordinator can grant nothing, for example because it
/// has lost touch with most entries.
constexpr milliseconds NoShareRetryAfter{400};

/// An entry asks again after this time at the latest, as an endpoint may appear
/// or its limit may end.
constexpr milliseconds MaxNextGrant{200};

std::uint32_t millis(Duration D) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(std::max(D, Duration{0})).count());
}

} // namespace

void CallGrantServer::clear() {
  Entries.clear();
  Due.clear();
  LastReturn.clear();
}

void CallGrantServer::handleReport(const wire::EntryReport &Report,
                                   TimePoint Now) {
  applyLimits(Report, Now);
  Entry &E = Entries[Report.sender()];
  if (E.Incarnation != Report.incarnation())
    E = {};
  E.Incarnation = Report.incarnation();
  E.LastReportAt = Now;
  std::set<std::uint64_t> Wanted;
  for (const wire::CallWant &W : Report.call_wants())
    Wanted.insert(W.key());
  const auto NotWanted = [&](const auto &Item) {
    return !Wanted.contains(Item.first);
  };
  std::erase_if(E.Granted, NotWanted);
  std::erase_if(E.Denied, NotWanted);
  for (const wire::CallWant &W : Report.call_wants()) {
    Due.insert(Report.sender());
    if (!E.Granted.contains(W.key()) && !E.Denied.contains(W.key()))
      decide(E, W, Report.zone(), Now);
  }
}

void CallGrantServer::applyLimits(const wire::EntryReport &Report,
                                  TimePoint Now) {
  for (const wire::EndpointLimit &L : Report.limits()) {
    if (!std::isfinite(L.per_second()) || L.per_second() < 0)
      continue;
    Table.recordLimit(L.endpoint(),
                      L.stated() ? std::optional(L.per_second()) : std::nullopt,
                      Now - milliseconds(L.age_ms()));
  }
}

void CallGrantServer::decide(Entry &E, const wire::CallWant &Want,
                             const std::string &Zone, TimePoint Now) {
  const std::set<std::string, std::less<>> Tried(Want.avoid().begin(),
                                                 Want.avoid().end());
  Endpoint *Chosen = chooseGrantable(Table, Want.service(), Zone, Tried, Now);
  if (!Chosen) {
    E.Denied[Want.key()] = makeDenial(Want, Now);
    return;
  }
  Table.recordGrant(Chosen->Record.Id, Now);
  wire::CallGrant &G = E.Granted[Want.key()];
  G.set_key(Want.key());
  G.set_endpoint(Chosen->Record.Id);
}

/// Callers that return all at once would be denied again, so each gets a time
/// of its own at the rate at which the service can take them.
wire::CallDenial CallGrantServer::makeDenial(const wire::CallWant &Want,
                                             TimePoint Now) {
  const GrantForecast Next = Table.grantForecast(Want.service(), Now);
  wire::CallDenial D;
  D.set_key(Want.key());
  if (Next.PerSecond <= 0) {
    D.set_retry_after_ms(millis(NoShareRetryAfter));
    D.set_next_grant_ms(millis(MaxNextGrant));
    return D;
  }
  const auto Interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Next.PerSecond));
  TimePoint &Last = LastReturn[Want.service()];
  Last =
      std::clamp<TimePoint>(Last + Interval, Now + Next.Wait,
                            Now + std::max<Duration>(Next.Wait, MaxRetryAfter));
  D.set_retry_after_ms(millis(Last - Now));
  D.set_next_grant_ms(millis(std::min<Duration>(Next.Wait, MaxNextGrant)));
  return D;
}

void CallGrantServer::fillUpdate(const std::string &Name,
                                 wire::CoordinatorUpdate &Update,
                                 TimePoint Now) {
  Due.erase(Name);
  if (Update.has_totals())
    Table.forEach([&](Endpoint &E) {
      if (!E.Limit.perSecond())
        return;
      wire::EndpointLimit *L = Update.add_limits();
      L->set_endpoint(E.Record.Id);
      L->set_stated(true);
      L->set_per_second(*E.Limit.perSecond());
      L->set_age_ms(millis(Now - E.Limit.statedAt()));
    });
  const auto It = Entries.find(Name);
  if (It == Entries.end())
    return;
  for (const auto &[Key, Grant] : It->second.Granted)
    *Update.add_call_grants() = Grant;
  for (const auto &[Key, Denial] : It->second.Denied)
    *Update.add_call_denials() = Denial;
}

void CallGrantServer::expireSilentEntries(TimePoint Now) {
  std::erase_if(Entries, [&](const auto &Item) {
    return Now - Item.second.LastReportAt > SilenceTimeout;
  });
}

} // namespace hyssoprail::routing
