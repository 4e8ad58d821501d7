#include "hyssoprail/routing/endpoint_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hyssoprail::routing {
namespace {

/// For how long an engine whose KV cache had vanished at its first use reads
/// no further prompts.
constexpr milliseconds HandlesLostPause{2'000};

/// For how long an endpoint that one entry could not reach is used last.
constexpr milliseconds SuspicionTime{1'200};

/// Part of the bound on starts that decode engines get. Their requests arrive
/// when their prompts have been read, so those of two seconds may meet in one.
constexpr std::size_t DecodeStartsDivisor = 2;

} // namespace

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &O) {
  Runs += O.Runs;
  Tokens += O.Tokens;
  PrefillTokens += O.PrefillTokens;
  return *this;
}

EndpointLoad &EndpointLoad::operator-=(const EndpointLoad &O) {
  Runs -= O.Runs;
  Tokens -= O.Tokens;
  PrefillTokens -= O.PrefillTokens;
  return *this;
}

EndpointLoad Endpoint::total() const {
  EndpointLoad Sum = Own;
  Sum += Peers;
  return Sum;
}

bool EndpointTable::apply(const EndpointRecord &Record) {
  auto [It, New] = ById.try_emplace(Record.Id);
  Endpoint &E = It->second;
  if (New) {
    E.Record = Record;
    for (const auto &[Peer, Loads] : PeerLoads)
      if (const auto Load = Loads.find(Record.Id); Load != Loads.end())
        E.Peers += Load->second;
    return true;
  }
  const bool Older =
      Record.Born < E.Record.Born ||
      (Record.Born == E.Record.Born && Record.Sequence < E.Record.Sequence);
  if (Older)
    return false;
  if (Record.Born > E.Record.Born) {
    E.Health = {};
    E.SuspectUntil = {};
    E.HandlesLostUntil = {};
    E.ChangingUntil = {};
  }
  const bool Changed = !E.Listed || Record.Born != E.Record.Born ||
                       Record.Draining != E.Record.Draining ||
                       Record.Stage != E.Record.Stage ||
                       Record.Address != E.Record.Address ||
                       (Record.ColdFor > milliseconds(0)) !=
                           (E.Record.ColdFor > milliseconds(0));
  E.Record = Record;
  E.Listed = true;
  return Changed;
}

void EndpointTable::remove(std::string_view Id) {
  const auto It = ById.find(Id);
  if (It == ById.end())
    return;
  It->second.Listed = false;
  forgetIfIdle(It->first);
}

void EndpointTable::forgetIfIdle(const std::string &Id) {
  const auto It = ById.find(Id);
  if (It != ById.end() && !It->second.Listed && It->second.Own.Runs == 0)
    ById.erase(It);
}

void EndpointTable::setZonesOut(std::set<std::string, std::less<>> Zones) {
  ZonesOut = std::move(Zones);
}

void EndpointTable::setPeerLoad(const std::string &Peer, LoadMap Loads) {
  LoadMap &Last = PeerLoads[Peer];
  for (const auto &[Id, Load] : Last)
    if (Endpoint *E = find(Id))
      E->Peers -= Load;
  for (const auto &[Id, Load] : Loads)
    if (Endpoint *E = find(Id))
      E->Peers += Load;
  Last = std::move(Loads);
}

void EndpointTable::record(std::string_view Id, HealthSignal What,
                           TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  if (What == HealthSignal::CacheLost) {
    E->HandlesLostUntil = Now + HandlesLostPause;
    return;
  }
  E->Health.record(What, Now);
  if (What == HealthSignal::Success)
    E->SuspectUntil = {};
}

void EndpointTable::recordOfPeer(const std::string &Peer, std::string_view Id,
                                 HealthSignal What, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  const bool MayBeCutOff =
      What == HealthSignal::Unreachable || What == HealthSignal::Unresponsive;
  const bool Confirmed = E->isSuspect(Now) && E->SuspectedBy != Peer;
  if (!MayBeCutOff || Confirmed)
    record(Id, What, Now);
  if (!MayBeCutOff)
    return;
  E->SuspectUntil = Now + SuspicionTime;
  E->SuspectedBy = Peer;
}

void EndpointTable::setStartsPerSecond(std::string_view Service,
                                       std::size_t Starts) {
  StartsPerSecond[std::string(Service)] = Starts;
}

Endpoint *EndpointTable::find(std::string_view Id) {
  const auto It = ById.find(Id);
  return It == ById.end() ? nullptr : &It->second;
}

bool EndpointTable::inService(const Endpoint &E) const {
  return E.Listed && !E.Record.Draining && !ZonesOut.contains(E.Record.Zone);
}

bool EndpointTable::mayStart(Endpoint &E, TimePoint Now) const {
  return mayReceive(E, Now) && !E.isChanging(Now) && withinStarts(E, Now);
}

bool EndpointTable::withinStarts(Endpoint &E, TimePoint Now) const {
  const auto Bound = StartsPerSecond.find(E.Record.Service);
  if (Bound == StartsPerSecond.end())
    return true;
  const std::size_t Divisor =
      E.Record.Stage == EngineStage::Decode ? DecodeStartsDivisor : 1;
  return E.Starts.allows(std::max<std::size_t>(1, Bound->second / Divisor),
                         Now);
}

std::vector<Endpoint *> EndpointTable::usable(std::string_view Service,
                                              TimePoint Now) {
  std::vector<Endpoint *> Out;
  for (auto &[Id, E] : ById)
    if (E.Record.Service == Service && mayStart(E, Now))
      Out.push_back(&E);
  return Out;
}

std::vector<Endpoint *> EndpointTable::avoided(std::string_view Service,
                                               TimePoint Now) {
  std::vector<Endpoint *> Out;
  for (auto &[Id, E] : ById)
    if (E.Record.Service == Service && inService(E) && !E.Health.usable(Now) &&
        E.Health.reachable(Now) && withinStarts(E, Now))
      Out.push_back(&E);
  return Out;
}

void EndpointTable::forEach(const std::function<void(Endpoint &)> &Visit) {
  for (auto &[Id, E] : ById)
    Visit(E);
}

void EndpointTable::reserve(std::string_view Id, const EndpointLoad &Load) {
  if (Endpoint *E = find(Id))
    E->Own += Load;
}

void EndpointTable::release(std::string_view Id, const EndpointLoad &Load) {
  if (Endpoint *E = find(Id)) {
    E->Own -= Load;
    forgetIfIdle(std::string(Id));
  }
}

void EndpointTable::sent(std::string_view Id, TimePoint Now) {
  if (Endpoint *E = find(Id))
    E->Starts.started(Now);
}

LoadMap EndpointTable::ownLoads() const {
  LoadMap Out;
  for (const auto &[Id, E] : ById)
    if (E.Own.Runs > 0)
      Out.emplace(Id, E.Own);
  return Out;
}

std::map<std::string, unsigned> EndpointTable::ownCalls() const {
  std::map<std::string, unsigned> Out;
  for (const auto &[Id, E] : ById)
    if (E.Record.Stage == EngineStage::None && E.Own.Runs > 0)
      Out.emplace(Id, static_cast<unsigned>(E.Own.Runs));
  return Out;
}

namespace {

/// Cost of leaving the zone, in units of a full endpoint.
constexpr double OtherZoneCost = 0.15;

/// Weight of an endpoint's failures against its load.
constexpr double FailureCost = 1.5;

/// Cost of an endpoint that an entry could not reach.
constexpr double SuspectCost = 2;

double callCost(const Endpoint &E, std::string_view Zone, TimePoint Now) {
  const double Slots = std::max(1U, E.Record.Slots);
  double Cost = E.total().Runs / Slots;
  if (E.Record.Zone != Zone)
    Cost += OtherZoneCost;
  if (E.isSuspect(Now))
    Cost += SuspectCost;
  return Cost + FailureCost * E.Health.failureShare();
}

Endpoint *cheapest(const std::vector<Endpoint *> &Candidates,
                   std::string_view Zone,
                   const std::set<std::string, std::less<>> &Tried,
                   TimePoint Now) {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Candidates) {
    if (Tried.contains(E->Record.Id))
      continue;
    const double Cost = callCost(*E, Zone, Now);
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

} // namespace

Endpoint *chooseForCall(EndpointTable &Table, std::string_view Service,
                        std::string_view Zone,
                        const std::set<std::string, std::less<>> &Tried,
                        TimePoint Now) {
  if (Endpoint *E = cheapest(Table.usable(Service, Now), Zone, Tried, Now))
    return E;
  return cheapest(Table.avoided(Service, Now), Zone, Tried, Now);
}

} // namespace hyssoprail::routing
