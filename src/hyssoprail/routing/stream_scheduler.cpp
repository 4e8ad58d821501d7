#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// Time from placement to the first event: prefill, transfer of the KV cache
/// and the first decode step.
constexpr milliseconds TimeToFirstEvent{250};

/// Callers honour a retry-after time up to this share of the time they have
/// left.
constexpr double MaxRetryAfterShare = 1.0 / 3;
constexpr milliseconds MinRetryAfter{250};

constexpr double RunTimeSmoothing = 0.1;

/// A generation whose engine failed after the prompt was prefilled may use this
/// multiple of the usual memory bound: a second prefill would cost more than
/// the small risk of preemption.
constexpr double ReplacementMemoryFactor = 1.15;

/// Extra cost of a decode engine in another zone, as a share of its memory.
constexpr double CrossZoneCost = 0.12;
constexpr double FailureCost = 1.0;

/// Extra cost of an engine that another entry could not reach: for decode as a
/// share of memory, for prefill in prompt tokens.
constexpr double SuspectCost = 2;
constexpr std::int64_t SuspectPrefillTokens = 20'000;

/// Extra cost in prompt tokens of a prefill engine in another zone than the
/// decode engine: between zones the transfer of a KV cache takes twice as long.
constexpr std::int64_t CrossZonePrefillTokens = 2'500;

/// Extra cost in prompt tokens of a prefill engine that always fails.
constexpr double FailurePrefillTokens = 10'000;

/// Maximum random cost, which applies if nothing is known of the fleet's load:
/// for decode as a share of memory, for prefill in prompt tokens.
constexpr double MaxDecodeJitter = 0.5;
constexpr double MaxPrefillJitterTokens = 6'000;

EndpointLoad decodeLoad(const StreamReservation &Reservation) {
  return {1, Reservation.Tokens, 0};
}

EndpointLoad prefillLoad(const StreamReservation &Reservation) {
  return {1, 0, Reservation.PromptTokens};
}

/// Order of dispatch, lower ranks first: by priority of route and account, then
/// requests within their quotas, then retries, then requests that can still
/// meet their latency objective.
std::int32_t dispatchRank(const StreamRequest &Request, TimePoint Now) {
  constexpr std::int32_t RanksPerPriority = 8;
  const bool Late = Now + TimeToFirstEvent > Request.ObjectiveDeadline;
  return Request.Priority * RanksPerPriority + (Request.BeyondQuota ? 4 : 0) +
         (Request.IsRetry ? 0 : 2) + (Late ? 1 : 0);
}

bool isExcluded(const StreamRequest &Request, const Endpoint &E) {
  return std::find(Request.ExcludedEndpoints.begin(),
                   Request.ExcludedEndpoints.end(),
                   E.Record.Id) != Request.ExcludedEndpoints.end();
}

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

Duration fromSeconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}

} // namespace

// ---- Queue and reservations -----------------------------------------------

void StreamScheduler::submit(StreamRequest Request) {
  std::string Id = Request.Id;
  Waiting.insert_or_assign(std::move(Id),
                           Queued{std::move(Request), ++LastSerial});
}

void StreamScheduler::cancel(std::string_view Id) {
  const auto It = Waiting.find(Id);
  if (It != Waiting.end())
    Waiting.erase(It);
}

std::int64_t StreamScheduler::waitingTokens() const {
  std::int64_t Sum = 0;
  for (const auto &[Id, Q] : Waiting)
    Sum += requiredKvTokens(Q.Request);
  return Sum;
}

TimePoint StreamScheduler::nextDeadline() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Q] : Waiting)
    Next = std::min(Next, Q.Request.GiveUpAt - MinServiceTime);
  return Next;
}

void StreamScheduler::reserveEngines(StreamReservation Reservation,
                                     std::int64_t Backlog, TimePoint Now) {
  Table.reserve(Reservation.Decode, decodeLoad(Reservation));
  if (!Reservation.Prefill.empty())
    Table.reserve(Reservation.Prefill, prefillLoad(Reservation));
  AccountTokens[Reservation.Account] += Reservation.Tokens;
  std::string Id = Reservation.Id;
  Running.insert_or_assign(std::move(Id),
                           Placed{std::move(Reservation), Now, Backlog});
}

void StreamScheduler::adopt(const StreamReservation &Reservation,
                            TimePoint Now) {
  cancel(Reservation.Id);
  if (!isRunning(Reservation.Id))
    reserveEngines(Reservation, 0, Now);
}

void StreamScheduler::release(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  Placed &P = It->second;
  releasePrefill(P);
  Table.release(P.Reservation.Decode, decodeLoad(P.Reservation));
  AccountTokens[P.Reservation.Account] -= P.Reservation.Tokens;
  MeanRunSeconds +=
      RunTimeSmoothing * (seconds(Now - P.Since) - MeanRunSeconds);
  Running.erase(It);
}

void StreamScheduler::clear(TimePoint Now) {
  Waiting.clear();
  const double KeptMean = MeanRunSeconds;
  while (!Running.empty())
    release(std::string(Running.begin()->first), Now);
  MeanRunSeconds = KeptMean;
}

void StreamScheduler::outputGrew(std::string_view Id, std::uint64_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  const StreamReservation &H = It->second.Reservation;
  if (H.PromptTokens + Tokens >= H.Tokens)
    resize(Id, extendedKvTokens(H.PromptTokens, Tokens));
}

void StreamScheduler::resize(std::string_view Id, std::uint32_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Reservation.Tokens == Tokens)
    return;
  StreamReservation &H = It->second.Reservation;
  Table.release(H.Decode, decodeLoad(H));
  AccountTokens[H.Account] += std::int64_t{Tokens} - H.Tokens;
  H.Tokens = Tokens;
  Table.reserve(H.Decode, decodeLoad(H));
}

void StreamScheduler::prefillEnded(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Reservation.Prefill.empty())
    return;
  Placed &P = It->second;
  Utilization[P.Reservation.Service].recordPrefill(
      P.Reservation.PromptTokens, Now - P.Since,
      P.Backlog == P.Reservation.PromptTokens);
  releasePrefill(P);
}

void StreamScheduler::releasePrefill(Placed &P) {
  if (!P.Reservation.Prefill.empty())
    Table.release(P.Reservation.Prefill, prefillLoad(P.Reservation));
  P.Reservation.Prefill.clear();
}

void StreamScheduler::sampleUtilization(TimePoint Now) {
  std::map<std::string_view, std::int64_t> Held;
  for (const auto &[Id, P] : Running)
    Held[P.Reservation.Service] += P.Reservation.Tokens;
  if (!Config)
    return;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Engine)
      Utilization[Name].sample(static_cast<double>(Held[Name]) /
                                   static_cast<double>(memoryBound(Name)),
                               Now);
}

const EngineUtilization &
StreamScheduler::utilization(std::string_view Service) const {
  static const EngineUtilization Unknown;
  const auto It = Utilization.find(Service);
  return It == Utilization.end() ? Unknown : It->second;
}

double StreamScheduler::accountLoad(const std::string &Account) const {
  const auto Tokens = AccountTokens.find(Account);
  if (Tokens == AccountTokens.end())
    return 0;
  const auto Policy = Config->Accounts.find(Account);
  const double Rate =
      Policy == Config->Accounts.end() ? 0 : Policy->second.RatePerSecond;
  return static_cast<double>(Tokens->second) / std::max(1.0, Rate);
}

// ---- Decisions ------------------------------------------------------------

/// Queued requests in order of dispatch: by rank; within a rank by account, the
/// one with the least reserved memory relative to its rate first; then by
/// arrival.
std::vector<const StreamRequest *>
StreamScheduler::dispatchOrder(TimePoint Now) const {
  using Key = std::tuple<std::int32_t, double, TimePoint, std::uint64_t,
                         const StreamRequest *>;
  std::vector<Key> Keys;
  Keys.reserve(Waiting.size());
  for (const auto &[Id, Q] : Waiting)
    Keys.emplace_back(dispatchRank(Q.Request, Now),
                      accountLoad(Q.Request.Account), Q.Request.Arrival,
                      Q.Serial, &Q.Request);
  std::sort(Keys.begin(), Keys.end());
  std::vector<const StreamRequest *> Out;
  Out.reserve(Keys.size());
  for (const Key &K : Keys)
    Out.push_back(std::get<const StreamRequest *>(K));
  return Out;
}

std::vector<StreamDecision> StreamScheduler::poll(TimePoint Now) {
  std::vector<StreamDecision> Out;
  if (Waiting.empty() || !Config)
    return Out;
  std::map<std::string_view, Pool> Pools;
  std::vector<std::string> Done;
  QueueAhead Ahead;
  for (const StreamRequest *Request : dispatchOrder(Now)) {
    auto Engines = Pools.find(Request->Service);
    if (Engines == Pools.end())
      Engines = Pools.emplace(Request->Service, makePool(Request->Service, Now))
                    .first;
    if (decide(*Request, Engines->second, Ahead, Now, Out) != Verdict::Waits) {
      Done.push_back(Request->Id);
      continue;
    }
    Ahead.Tokens += requiredKvTokens(*Request);
    ++Ahead.Requests;
  }
  for (const std::string &Id : Done)
    Waiting.erase(Id);
  return Out;
}

StreamScheduler::Pool StreamScheduler::makePool(std::string_view Service,
                                                TimePoint Now) {
  Pool P;
  P.Bound = memoryBound(Service);
  for (Endpoint *E : Table.usable(Service, Now, Sender::AnyEntry))
    (E->Record.Stage == EngineStage::Prefill ? P.Prefill : P.Decode)
        .push_back(E);
  for (Endpoint *E : Table.grantable(Service, Now, Sender::AnyEntry))
    if (E->Record.Stage != EngineStage::Prefill && !E->Limit.allows(Now))
      P.LimitedPerSecond += E->Limit.grantRate();
  updateFreeMemory(P);
  return P;
}

void StreamScheduler::updateFreeMemory(Pool &P) {
  P.LargestFree = 0;
  P.Free = 0;
  for (const Endpoint *E : P.Decode) {
    const EndpointLoad Load = E->totalLoad();
    if (Load.Runs >= static_cast<std::int32_t>(E->Record.Slots))
      continue;
    const std::int64_t Free = std::max<std::int64_t>(0, P.Bound - Load.Tokens);
    P.Free += Free;
    P.LargestFree = std::max(P.LargestFree, Free);
  }
}

StreamScheduler::Room StreamScheduler::emptiestDecodeEngine(
    std::string_view Service, const EngineFilter &MayUse, TimePoint Now) {
  Room Out;
  if (!Config)
    return Out;
  const Pool P = makePool(Service, Now);
  for (const Endpoint *E : P.Decode) {
    const EndpointLoad Load = E->totalLoad();
    const std::int64_t Free = P.Bound - Load.Tokens;
    if (Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        Free <= Out.Free || !MayUse(E->Record.Id))
      continue;
    Out = {E->Record.Id, Free};
  }
  return Out;
}

bool StreamScheduler::hasRoom(std::string_view Service, std::int64_t Tokens,
                              const EngineFilter &MayUse, TimePoint Now) {
  return emptiestDecodeEngine(Service, MayUse, Now).Free >= Tokens;
}

StreamScheduler::Verdict
StreamScheduler::decide(const StreamRequest &Request, Pool &Engines,
                        const QueueAhead &Ahead, TimePoint Now,
                        std::vector<StreamDecision> &Out) {
  if (requiredKvTokens(Request) > Engines.Bound) {
    Out.push_back(makeRefusal(Request, StreamRefusalReason::TooLarge, {}, Now));
    return Verdict::Refused;
  }
  if (Endpoint *Decode = chooseDecode(Request, Engines, Now)) {
    Out.push_back(place(Request, Engines, *Decode, Now));
    return Verdict::Placed;
  }
  const Duration Wait = expectedWait(Request, Engines, Ahead, Now);
  if (Now + MinServiceTime >= Request.GiveUpAt) {
    Out.push_back(
        makeRefusal(Request, StreamRefusalReason::WaitedTooLong, Wait, Now));
    return Verdict::Refused;
  }
  // A retry has no further try, so it waits as long as it can.
  if (Request.IsRetry || Now + Wait + MinServiceTime < Request.GiveUpAt)
    return Verdict::Waits;
  Out.push_back(
      makeRefusal(Request, StreamRefusalReason::QueueTooLong, Wait, Now));
  return Verdict::Refused;
}

StreamPlacement StreamScheduler::place(const StreamRequest &Request,
                                       Pool &Engines, Endpoint &Decode,
                                       TimePoint Now) {
  StreamPlacement Out;
  Out.Id = Request.Id;
  Out.Decode = Decode.Record.Id;
  Out.QueueTime = Now - Request.Arrival;
  Out.DecodeLoad = Decode.totalLoad();
  Out.RequiredTokens = requiredKvTokens(Request);
  Endpoint *Prefill = nullptr;
  if (Options.UsePrefillEngines && !Request.HasKvCache)
    Prefill = choosePrefill(Request, Engines, Decode.Record.Zone, Now);
  if (Prefill) {
    Out.Prefill = Prefill->Record.Id;
    Out.PrefillBacklog =
        Prefill->totalLoad().PrefillTokens + Request.PromptTokens;
  }
  reserveEngines({Request.Id, Request.Service, Request.Account, Out.Decode,
                  Out.Prefill, requiredKvTokens(Request), Request.PromptTokens},
                 Out.PrefillBacklog, Now);
  Table.recordSend(Out.Decode, Now);
  if (Prefill)
    Table.recordSend(Out.Prefill, Now);
  updateFreeMemory(Engines);
  return Out;
}

StreamRefusal StreamScheduler::makeRefusal(const StreamRequest &Request,
                                           StreamRefusalReason Reason,
                                           Duration ExpectedWait,
                                           TimePoint Now) const {
  const Duration Left = std::max<Duration>(
      Request.Arrival + Request.CallerBudget - Now, Duration{0});
  const Duration MaxRetryAfter =
      fromSeconds(seconds(Left) * MaxRetryAfterShare);
  const Duration RetryAfter = std::clamp<Duration>(
      ExpectedWait, std::min<Duration>(MinRetryAfter, MaxRetryAfter),
      MaxRetryAfter);
  return {Request.Id, Reason,
          std::chrono::duration_cast<milliseconds>(RetryAfter), ExpectedWait};
}

std::int64_t StreamScheduler::memoryBound(std::string_view Service) const {
  const ServicePolicy *Policy = Config->service(Service);
  if (!Policy || !Policy->Engine)
    return std::numeric_limits<std::int64_t>::max();
  return static_cast<std::int64_t>(Policy->Engine->KvTokens *
                                   Options.MemoryFactor);
}

/// Pseudo-random number in [0, 1 - KnownLoadShare) that differs between
/// requests and engines.
double StreamScheduler::placementJitter(const StreamRequest &Request,
                                        const Endpoint &E) const {
  if (KnownLoadShare >= 1)
    return 0;
  constexpr double Range = 18'446'744'073'709'551'616.0; // 2^64
  const double Fraction =
      static_cast<double>(rendezvousWeight(Request.Id, E.Record.Id)) / Range;
  return (1 - KnownLoadShare) * Fraction;
}

Endpoint *StreamScheduler::chooseDecode(const StreamRequest &Request,
                                        const Pool &Engines,
                                        TimePoint Now) const {
  const std::int64_t Bound =
      Request.HasKvCache
          ? static_cast<std::int64_t>(static_cast<double>(Engines.Bound) *
                                      ReplacementMemoryFactor)
          : Engines.Bound;
  const std::int64_t Tokens = requiredKvTokens(Request);
  if (Tokens > Engines.LargestFree + (Bound - Engines.Bound))
    return nullptr;
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Decode) {
    const EndpointLoad Load = E->totalLoad();
    if (Load.Tokens + Tokens > Bound ||
        Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        isExcluded(Request, *E) || !Table.mayStart(*E, Now, Sender::AnyEntry))
      continue;
    double Cost =
        static_cast<double>(Load.Tokens) / static_cast<double>(Engines.Bound);
    if (E->Record.Zone != Request.Zone)
      Cost += CrossZoneCost;
    Cost += FailureCost * E->Health.failureShare();
    Cost += MaxDecodeJitter * placementJitter(Request, *E);
    if (E->isSuspect(Now))
      Cost += SuspectCost;
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

Endpoint *StreamScheduler::choosePrefill(const StreamRequest &Request,
                                         const Pool &Engines,
                                         std::string_view Zone,
                                         TimePoint Now) const {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Prefill) {
    const std::int64_t Backlog = E->totalLoad().PrefillTokens;
    if (Backlog > Options.PrefillBacklog || isExcluded(Request, *E) ||
        Now < E->CacheLossUntil || !Table.mayStart(*E, Now, Sender::AnyEntry))
      continue;
    const std::int64_t TokenCost =
        Backlog + (E->Record.Zone == Zone ? 0 : CrossZonePrefillTokens) +
        (E->isSuspect(Now) ? SuspectPrefillTokens : 0);
    const double Cost = static_cast<double>(TokenCost) +
                        FailurePrefillTokens * E->Health.failureShare() +
                        MaxPrefillJitterTokens * placementJitter(Request, *E);
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

/// Time until enough memory for this request and those ahead of it is free, if
/// engines free their memory evenly over the mean duration of a generation; or
/// until the stated limits of the engines admit them.
Duration StreamScheduler::expectedWait(const StreamRequest &Request,
                                       const Pool &Engines,
                                       const QueueAhead &Ahead,
                                       TimePoint Now) const {
  if (Engines.Decode.empty() && Engines.LimitedPerSecond > 0)
    return fromSeconds(static_cast<double>(Ahead.Requests + 1) /
                       Engines.LimitedPerSecond);
  if (Engines.Decode.empty())
    return Request.GiveUpAt - Now;
  const std::int64_t MissingTokens =
      requiredKvTokens(Request) + Ahead.Tokens - Engines.Free;
  if (MissingTokens <= 0)
    return Duration{0};
  const double Capacity = static_cast<double>(Engines.Bound) *
                          static_cast<double>(Engines.Decode.size());
  return fromSeconds(static_cast<double>(MissingTokens) * MeanRunSeconds /
                     Capacity);
}

} // namespace hyssoprail::routing
