#include "hyssoprail/routing/endpoint_table.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::routing {
namespace {

/// An engine whose KV cache was missing at its first use gets no further
/// prompts to prefill for this time.
constexpr milliseconds CacheLossPause{2'000};

/// An endpoint that one entry could not reach is used only as a last resort for
/// this time.
constexpr milliseconds SuspicionTime{1'200};

/// Divides the start limit for decode engines. Their requests arrive only after
/// their prompts have been prefilled, so those placed during two seconds may
/// arrive within one.
constexpr std::size_t DecodeStartsDivisor = 2;

/// Endpoints that are not in the table whose statements are remembered. The
/// target fleet has 1,200 restarts a day.
constexpr std::size_t MaxUnregistered = 1'024;

/// Endpoints that a request names as refusing. The names travel with each
/// request that waits, so there is a bound; a placement at an endpoint that is
/// not named goes back to the queue.
constexpr std::size_t MaxRefusing = 16;

} // namespace

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &Other) {
  Runs += Other.Runs;
  Tokens += Other.Tokens;
  PrefillTokens += Other.PrefillTokens;
  return *this;
}

EndpointLoad &EndpointLoad::operator-=(const EndpointLoad &Other) {
  Runs -= Other.Runs;
  Tokens -= Other.Tokens;
  PrefillTokens -= Other.PrefillTokens;
  return *this;
}

EndpointLoad Endpoint::totalLoad() const {
  EndpointLoad Sum = OwnLoad;
  Sum += PeerLoad;
  return Sum;
}

bool EndpointTable::apply(const EndpointRecord &Record) {
  auto [It, New] = ById.try_emplace(Record.Id);
  Endpoint &E = It->second;
  if (New) {
    E.Record = Record;
    restoreUnregistered(E);
    E.Limit.setShare(LimitShare, TimePoint{});
    for (const auto &[Peer, Loads] : PeerLoads)
      if (const auto Load = Loads.find(Record.Id); Load != Loads.end())
        E.PeerLoad += Load->second;
    E.Availability.registered(Record.StartedAtMs, Record.Address);
    takeAddress(E);
    listLeaving(E);
    return true;
  }
  const bool Older = Record.StartedAtMs < E.Record.StartedAtMs ||
                     (Record.StartedAtMs == E.Record.StartedAtMs &&
                      Record.Sequence < E.Record.Sequence);
  if (Older)
    return false;
  if (Record.StartedAtMs > E.Record.StartedAtMs) {
    E.Health = {};
    E.Limit.restart();
    E.SuspectUntil = {};
    E.CacheLossUntil = {};
    E.StageChangeDeadline = {};
    E.SpeedFactor = 1;
  }
  const bool Changed =
      !E.Registered || Record.StartedAtMs != E.Record.StartedAtMs ||
      Record.Draining != E.Record.Draining || Record.Stage != E.Record.Stage ||
      Record.Address != E.Record.Address ||
      (Record.ColdFor > milliseconds(0)) !=
          (E.Record.ColdFor > milliseconds(0));
  if (Changed)
    Addresses.remove(E.Record);
  E.Record = Record;
  E.Registered = true;
  if (Changed) {
    E.Availability.registered(Record.StartedAtMs, Record.Address);
    takeAddress(E);
  }
  listLeaving(E);
  return Changed;
}

/// An address belongs to the process that started last.
void EndpointTable::takeAddress(Endpoint &E) {
  const EndpointRecord &Record = E.Record;
  Addresses.add(Record);
  if (Addresses.hasNewer(Record))
    E.Availability.recordReplaced(Record.Address, Record.StartedAtMs);
  for (const std::string &Id : Addresses.replacedBy(Record))
    if (Endpoint *Earlier = find(Id))
      Earlier->Availability.recordReplaced(Record.Address,
                                           Earlier->Record.StartedAtMs);
}

void EndpointTable::remove(std::string_view Id) {
  const auto It = ById.find(Id);
  if (It == ById.end())
    return;
  Endpoint &E = It->second;
  E.Registered = false;
  Addresses.remove(E.Record);
  // Without a start time, a later incarnation could not be told apart.
  if (E.Record.StartedAtMs == 0)
    E.Availability = {};
  listLeaving(E);
  eraseIfIdle(std::string(Id));
}

void EndpointTable::eraseIfIdle(const std::string &Id) {
  const auto It = ById.find(Id);
  if (It == ById.end() || It->second.Registered || It->second.OwnLoad.Runs != 0)
    return;
  const Endpoint &E = It->second;
  if (E.Availability.hasStatement())
    unregistered(Id).Availability = E.Availability;
  // Without a start time, a later incarnation could not be told apart.
  if (E.Limit.perSecond() && E.Record.StartedAtMs > 0) {
    UnregisteredEndpoint &Kept = unregistered(Id);
    Kept.Limit = E.Limit;
    Kept.LimitedIncarnation = E.Record.StartedAtMs;
  }
  ById.erase(It);
}

/// The process may have gone on while its registration was not listed, so what
/// it has stated still holds.
void EndpointTable::restoreUnregistered(Endpoint &E) {
  const auto It = Unregistered.find(E.Record.Id);
  if (It == Unregistered.end())
    return;
  const UnregisteredEndpoint &Known = It->second;
  E.Availability = Known.Availability;
  if (Known.Limit.perSecond() && E.Record.StartedAtMs > 0) {
    E.Limit = Known.Limit;
    if (E.Record.StartedAtMs > Known.LimitedIncarnation)
      E.Limit.restart();
    LimitedServices.insert(E.Record.Service);
  }
  forgetUnregistered(E.Record.Id);
}

EndpointTable::UnregisteredEndpoint &
EndpointTable::unregistered(const std::string &Id) {
  const auto [It, New] = Unregistered.try_emplace(Id);
  if (New)
    UnregisteredOrder.push_back(Id);
  if (Unregistered.size() > MaxUnregistered)
    forgetUnregistered(std::string(UnregisteredOrder.front()));
  return It->second;
}

void EndpointTable::forgetUnregistered(const std::string &Id) {
  Unregistered.erase(Id);
  std::erase(UnregisteredOrder, Id);
}

void EndpointTable::listLeaving(const Endpoint &E) {
  const auto Incarnation = E.Availability.leavingIncarnation();
  if (E.Registered && Incarnation)
    Leaving.set(E.Record.Id, *Incarnation);
  else
    Leaving.erase(E.Record.Id);
}

bool EndpointTable::recordLeaving(std::string_view Id,
                                  std::int64_t StartedAtMs) {
  Endpoint *E = find(Id);
  if (!E)
    return StartedAtMs > 0 && unregistered(std::string(Id))
                                  .Availability.recordLeaving(StartedAtMs);
  if (StartedAtMs < E->Record.StartedAtMs ||
      !E->Availability.recordLeaving(StartedAtMs))
    return false;
  listLeaving(*E);
  return true;
}

void EndpointTable::setExcludedZones(std::set<std::string, std::less<>> Zones) {
  ExcludedZones = std::move(Zones);
}

/// Numbers beyond these are errors of the peer. The sum over all peers must not
/// overflow, or a full endpoint would look empty.
void EndpointTable::setPeerLoad(const std::string &Peer, LoadMap Loads) {
  constexpr std::int32_t MaxRuns = 1'000'000;
  constexpr std::int64_t MaxTokens = 1'000'000'000'000;
  for (auto &[Id, Load] : Loads) {
    Load.Runs = std::clamp(Load.Runs, 0, MaxRuns);
    Load.Tokens = std::clamp<std::int64_t>(Load.Tokens, 0, MaxTokens);
    Load.PrefillTokens =
        std::clamp<std::int64_t>(Load.PrefillTokens, 0, MaxTokens);
  }
  LoadMap &Last = PeerLoads[Peer];
  for (const auto &[Id, Load] : Last)
    if (Endpoint *E = find(Id))
      E->PeerLoad -= Load;
  for (const auto &[Id, Load] : Loads)
    if (Endpoint *E = find(Id))
      E->PeerLoad += Load;
  Last = std::move(Loads);
}

void EndpointTable::record(std::string_view Id, HealthSignal What,
                           TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  if (What == HealthSignal::CacheLost) {
    E->CacheLossUntil = Now + CacheLossPause;
    return;
  }
  E->Health.record(What, Now);
  if (What == HealthSignal::Success)
    E->SuspectUntil = {};
}

void EndpointTable::recordFromPeer(const std::string &Peer, std::string_view Id,
                                   HealthSignal What, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  const bool MayBeReporterFault =
      What == HealthSignal::Unreachable || What == HealthSignal::Unresponsive;
  const bool Confirmed = E->isSuspect(Now) && E->SuspectedBy != Peer;
  if (!MayBeReporterFault || Confirmed)
    record(Id, What, Now);
  if (!MayBeReporterFault)
    return;
  E->SuspectUntil = Now + SuspicionTime;
  E->SuspectedBy = Peer;
}

void EndpointTable::setStartRateLimit(std::string_view Service,
                                      StartRateLimit Limit) {
  StartRateLimits[std::string(Service)] = Limit;
}

void EndpointTable::recordLimit(std::string_view Id,
                                std::optional<double> PerSecond, TimePoint At) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  if (!PerSecond)
    return E->Limit.recordNone(At);
  E->Limit.recordStated(*PerSecond, At);
  LimitedServices.insert(E->Record.Service);
}

void EndpointTable::setLimitShare(double Share, TimePoint Now) {
  if (Share == LimitShare)
    return;
  LimitShare = Share;
  for (auto &[Id, E] : ById)
    E.Limit.setShare(Share, Now);
  for (auto &[Id, Known] : Unregistered)
    Known.Limit.setShare(Share, Now);
}

void EndpointTable::noteSeen(std::string_view Id, TimePoint SeenAt,
                             TimePoint HeldUntil) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  E->SeenAt = SeenAt;
  E->HeldUntil = HeldUntil;
}

Endpoint *EndpointTable::find(std::string_view Id) {
  const auto It = ById.find(Id);
  return It == ById.end() ? nullptr : &It->second;
}

bool EndpointTable::inService(const Endpoint &E) const {
  return E.Registered && !E.Record.Draining && !E.Availability.leaving() &&
         !E.Availability.replaced() && !ExcludedZones.contains(E.Record.Zone);
}

bool EndpointTable::mayStart(Endpoint &E, TimePoint Now, Sender From) const {
  return mayReceive(E, Now, From) && !E.isChangingStage(Now) &&
         isWithinStartRate(E, Now) && E.Limit.allows(Now);
}

bool EndpointTable::startsByGrant(std::string_view Service) const {
  const auto Bound = StartRateLimits.find(Service);
  return Bound != StartRateLimits.end() && Bound->second.ByGrant;
}

bool EndpointTable::isWithinStartRate(Endpoint &E, TimePoint Now) const {
  const auto Bound = StartRateLimits.find(E.Record.Service);
  if (Bound == StartRateLimits.end())
    return true;
  const std::size_t Divisor =
      E.Record.Stage == EngineStage::Decode ? DecodeStartsDivisor : 1;
  const StartRateLimit &Limit = Bound->second;
  const std::size_t Least = Limit.PerSecond > 0 ? 1 : 0;
  return E.StartLimiter.allows(std::max(Least, Limit.PerSecond / Divisor), Now);
}

bool EndpointTable::recordPause(std::string_view Id, std::int64_t StartedAtMs,
                                TimePoint Until) {
  Endpoint *E = find(Id);
  if (!E || StartedAtMs < E->Record.StartedAtMs ||
      !E->Availability.recordPause(StartedAtMs, Until))
    return false;
  LastPauseEnd = std::max(LastPauseEnd, Until);
  return true;
}

/// An endpoint in a short backoff may answer soon, so requests wait for it; one
/// that cannot be reached does not count.
std::optional<milliseconds> EndpointTable::pauseWait(std::string_view Service,
                                                     TimePoint Now) const {
  if (Now >= LastPauseEnd)
    return std::nullopt;
  TimePoint End = TimePoint::max();
  for (const auto &[Id, E] : ById) {
    if (E.Record.Service != Service || !inService(E) ||
        E.Record.Stage == EngineStage::Prefill)
      continue;
    if (E.Availability.paused(Now))
      End = std::min(End, E.Availability.pausedUntil());
    else if (E.Health.reachable(Now))
      return std::nullopt;
  }
  if (End == TimePoint::max())
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(End - Now);
}

bool EndpointTable::hasDecodeEngine(std::string_view Service,
                                    const EngineFilter &MayUse,
                                    TimePoint Now) const {
  return std::any_of(ById.begin(), ById.end(), [&](const auto &Item) {
    const Endpoint &E = Item.second;
    return E.Record.Service == Service &&
           E.Record.Stage != EngineStage::Prefill && takesWork(E, Now) &&
           MayUse(Item.first);
  });
}

std::vector<std::string> EndpointTable::refusing(std::string_view Service,
                                                 TimePoint Now) const {
  std::vector<std::string> Out;
  if (Now >= LastPauseEnd && Leaving.all().empty())
    return Out;
  for (const auto &[Id, E] : ById)
    if (Out.size() < MaxRefusing && E.Record.Service == Service &&
        E.Registered && !E.Record.Draining &&
        (E.Availability.leaving() || E.Availability.paused(Now)))
      Out.push_back(Id);
  return Out;
}

std::vector<Endpoint *> EndpointTable::usable(std::string_view Service,
                                              TimePoint Now, Sender From) {
  std::vector<Endpoint *> Out;
  for (auto &[Id, E] : ById)
    if (E.Record.Service == Service && mayStart(E, Now, From))
      Out.push_back(&E);
  return Out;
}

std::vector<Endpoint *> EndpointTable::avoided(std::string_view Service,
                                               TimePoint Now) {
  std::vector<Endpoint *> Out;
  for (auto &[Id, E] : ById)
    if (E.Record.Service == Service && takesWork(E, Now) &&
        !E.Health.usable(Now) && E.Health.reachable(Now) &&
        isWithinStartRate(E, Now) && E.Limit.allows(Now))
      Out.push_back(&E);
  return Out;
}

std::vector<Endpoint *> EndpointTable::grantable(std::string_view Service,
                                                 TimePoint Now, Sender From) {
  std::vector<Endpoint *> Out;
  const bool ByGrant = startsByGrant(Service);
  const auto Limited = LimitedServices.find(Service);
  if (!ByGrant && Limited == LimitedServices.end())
    return Out;
  bool AnyLimit = false;
  for (auto &[Id, E] : ById) {
    if (E.Record.Service != Service)
      continue;
    AnyLimit = AnyLimit || E.Limit.perSecond();
    if ((ByGrant || E.Limit.perSecond()) && mayReceive(E, Now, From) &&
        !E.isChangingStage(Now))
      Out.push_back(&E);
  }
  if (!AnyLimit && Limited != LimitedServices.end())
    LimitedServices.erase(Limited);
  return Out;
}

void EndpointTable::recordGrant(std::string_view Id, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  E->Limit.take(Now);
  if (startsByGrant(E->Record.Service))
    E->StartLimiter.recordStart(Now);
}

GrantForecast EndpointTable::grantForecast(std::string_view Service,
                                           TimePoint Now) {
  GrantForecast Out;
  const auto Starts = StartRateLimits.find(Service);
  for (Endpoint *E : grantable(Service, Now, Sender::AnyEntry)) {
    const double Rate = E->Limit.perSecond()
                            ? E->Limit.grantRate()
                            : static_cast<double>(Starts->second.PerSecond);
    if (Rate <= 0)
      continue;
    const Duration Wait = E->Limit.perSecond()
                              ? E->Limit.waitTime(Now)
                              : std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(1 / Rate));
    Out.PerSecond += Rate;
    Out.Wait = std::min(Out.Wait, Wait);
  }
  return Out;
}

void EndpointTable::forEach(const std::function<void(Endpoint &)> &Visit) {
  for (auto &[Id, E] : ById)
    Visit(E);
}

bool EndpointTable::hasOtherVersion(std::string_view Service,
                                    std::string_view Version) const {
  return std::any_of(ById.begin(), ById.end(), [&](const auto &Item) {
    const EndpointRecord &R = Item.second.Record;
    return R.Service == Service && R.Version != Version;
  });
}

void EndpointTable::reserve(std::string_view Id, const EndpointLoad &Load) {
  if (Endpoint *E = find(Id))
    E->OwnLoad += Load;
}

void EndpointTable::release(std::string_view Id, const EndpointLoad &Load) {
  if (Endpoint *E = find(Id)) {
    E->OwnLoad -= Load;
    eraseIfIdle(std::string(Id));
  }
}

void EndpointTable::recordSend(std::string_view Id, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  E->StartLimiter.recordStart(Now);
  E->Limit.take(Now);
}

LoadMap EndpointTable::ownLoads() const {
  LoadMap Out;
  for (const auto &[Id, E] : ById)
    if (E.OwnLoad.Runs > 0)
      Out.emplace(Id, E.OwnLoad);
  return Out;
}

std::map<std::string, unsigned> EndpointTable::ownCalls() const {
  std::map<std::string, unsigned> Out;
  for (const auto &[Id, E] : ById)
    if (E.Record.Stage == EngineStage::None && E.OwnLoad.Runs > 0)
      Out.emplace(Id, static_cast<unsigned>(E.OwnLoad.Runs));
  return Out;
}

} // namespace hyssoprail::routing
