#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// From placement to the first event: prefill, transfer and the first step.
constexpr milliseconds TimeToFirstEvent{250};

/// A request whose caller leaves sooner than this cannot be served any more.
constexpr milliseconds LatestStart{400};

/// Callers honour a time to return up to this part of the time they have left.
constexpr double HonouredPart = 1.0 / 3;
constexpr milliseconds ShortestReturn{250};

constexpr double RunTimeSmoothing = 0.1;

/// A generation whose engine failed after its prompt was read may use this
/// multiple of the usual memory bound: to read it again would cost more than
/// the small risk of preemption.
constexpr double ReplacementShare = 1.15;

/// Extra cost of a decode engine in another zone, as a part of its memory.
constexpr double OtherZoneCost = 0.12;
constexpr double FailureCost = 1.0;

/// Extra cost of an engine that an entry could not reach, for the decode part
/// and in prompt tokens.
constexpr double SuspectCost = 2;
constexpr std::int64_t SuspectPrefillCost = 20'000;

/// Prompt tokens that the shorter way to a decode engine in the same zone is
/// worth; between zones a KV cache takes twice as long.
constexpr std::int64_t OtherZonePrefillCost = 2'500;

/// Prompt tokens that a prefill engine which always fails is taken to be
/// behind.
constexpr double FailurePrefillCost = 10'000;

/// Chance part of the cost of an engine of whose work nothing is known: up to
/// this part of a decode engine's memory.
constexpr double LargestSpread = 0.5;
constexpr double PrefillSpreadTokens = 6'000;

EndpointLoad decodeLoad(const StreamHold &Hold) { return {1, Hold.Tokens, 0}; }

EndpointLoad prefillLoad(const StreamHold &Hold) {
  return {1, 0, Hold.PromptTokens};
}

/// Rank of service; lower ranks go first. Urgent routes and accounts; within
/// them requests within their quota, then those who came back, then those that
/// can still be on time.
std::int32_t serviceRank(const StreamRequest &Need, TimePoint Now) {
  constexpr std::int32_t RanksOfPriority = 8;
  const bool Late = Now + TimeToFirstEvent > Need.ObjectiveDeadline;
  return Need.Priority * RanksOfPriority + (Need.BeyondQuota ? 4 : 0) +
         (Need.IsRetry ? 0 : 2) + (Late ? 1 : 0);
}

bool avoids(const StreamRequest &Need, const Endpoint &E) {
  return std::find(Need.ExcludedEndpoints.begin(), Need.ExcludedEndpoints.end(), E.Record.Id) !=
         Need.ExcludedEndpoints.end();
}

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

Duration fromSeconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}

} // namespace

// ---- What waits and what holds engines ------------------------------------

void StreamScheduler::submit(StreamRequest Need) {
  std::string Id = Need.Id;
  Waiting.insert_or_assign(std::move(Id),
                           Queued{std::move(Need), ++LastSerial});
}

void StreamScheduler::cancel(std::string_view Id) {
  const auto It = Waiting.find(Id);
  if (It != Waiting.end())
    Waiting.erase(It);
}

std::int64_t StreamScheduler::waitingTokens() const {
  std::int64_t Sum = 0;
  for (const auto &[Id, Q] : Waiting)
    Sum += requiredKvTokens(Q.Need);
  return Sum;
}

TimePoint StreamScheduler::nextDeadline() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Q] : Waiting)
    Next = std::min(Next, Q.Need.GiveUpAt - LatestStart);
  return Next;
}

void StreamScheduler::hold(StreamHold Hold, std::int64_t Backlog,
                           TimePoint Now) {
  Table.reserve(Hold.Decode, decodeLoad(Hold));
  if (!Hold.Prefill.empty())
    Table.reserve(Hold.Prefill, prefillLoad(Hold));
  AccountTokens[Hold.Account] += Hold.Tokens;
  std::string Id = Hold.Id;
  Running.insert_or_assign(std::move(Id),
                           Placed{std::move(Hold), Now, Backlog});
}

void StreamScheduler::adopt(const StreamHold &Hold, TimePoint Now) {
  cancel(Hold.Id);
  if (!holds(Hold.Id))
    hold(Hold, 0, Now);
}

void StreamScheduler::release(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  Placed &P = It->second;
  freePrefill(P);
  Table.release(P.Hold.Decode, decodeLoad(P.Hold));
  AccountTokens[P.Hold.Account] -= P.Hold.Tokens;
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
  const StreamHold &H = It->second.Hold;
  if (H.PromptTokens + Tokens >= H.Tokens)
    resize(Id, extendedKvTokens(H.PromptTokens, Tokens));
}

void StreamScheduler::resize(std::string_view Id, std::uint32_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Hold.Tokens == Tokens)
    return;
  StreamHold &H = It->second.Hold;
  Table.release(H.Decode, decodeLoad(H));
  AccountTokens[H.Account] += std::int64_t{Tokens} - H.Tokens;
  H.Tokens = Tokens;
  Table.reserve(H.Decode, decodeLoad(H));
}

void StreamScheduler::prefillEnded(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Hold.Prefill.empty())
    return;
  Placed &P = It->second;
  Utilization[P.Hold.Service].recordPrefill(P.Hold.PromptTokens, Now - P.Since,
                                  P.Backlog == P.Hold.PromptTokens);
  freePrefill(P);
}

void StreamScheduler::freePrefill(Placed &P) {
  if (!P.Hold.Prefill.empty())
    Table.release(P.Hold.Prefill, prefillLoad(P.Hold));
  P.Hold.Prefill.clear();
}

void StreamScheduler::sampleUtilization(TimePoint Now) {
  std::map<std::string_view, std::int64_t> Held;
  for (const auto &[Id, P] : Running)
    Held[P.Hold.Service] += P.Hold.Tokens;
  if (!Config)
    return;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Engine)
      Utilization[Name].sample(static_cast<double>(Held[Name]) /
                             static_cast<double>(memoryBound(Name)),
                         Now);
}

const EngineUtilization &StreamScheduler::utilization(std::string_view Service) const {
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

/// Order of service: by rank; within a rank the account with the least running
/// work for its rate, then the earliest.
std::vector<const StreamRequest *>
StreamScheduler::serviceOrder(TimePoint Now) const {
  using Key = std::tuple<std::int32_t, double, TimePoint, std::uint64_t,
                         const StreamRequest *>;
  std::vector<Key> Keys;
  Keys.reserve(Waiting.size());
  for (const auto &[Id, Q] : Waiting)
    Keys.emplace_back(serviceRank(Q.Need, Now), accountLoad(Q.Need.Account),
                      Q.Need.Arrival, Q.Serial, &Q.Need);
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
  std::int64_t TokensAhead = 0;
  for (const StreamRequest *Need : serviceOrder(Now)) {
    auto Engines = Pools.find(Need->Service);
    if (Engines == Pools.end())
      Engines =
          Pools.emplace(Need->Service, makePool(Need->Service, Now)).first;
    if (consider(*Need, Engines->second, TokensAhead, Now, Out) ==
        Verdict::Waits)
      TokensAhead += requiredKvTokens(*Need);
    else
      Done.push_back(Need->Id);
  }
  for (const std::string &Id : Done)
    Waiting.erase(Id);
  return Out;
}

StreamScheduler::Pool StreamScheduler::makePool(std::string_view Service,
                                                TimePoint Now) {
  Pool P;
  P.Bound = memoryBound(Service);
  for (Endpoint *E : Table.usable(Service, Now))
    (E->Record.Stage == EngineStage::Prefill ? P.Prefill : P.Decode)
        .push_back(E);
  measure(P);
  return P;
}

void StreamScheduler::measure(Pool &P) {
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

StreamScheduler::Room StreamScheduler::emptiestDecodeEngine(std::string_view Service,
                                                std::string_view Except,
                                                TimePoint Now) {
  Room Out;
  if (!Config)
    return Out;
  const Pool P = makePool(Service, Now);
  for (const Endpoint *E : P.Decode) {
    const EndpointLoad Load = E->totalLoad();
    const std::int64_t Free = P.Bound - Load.Tokens;
    if (Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        Free <= Out.Free || E->Record.Id == Except)
      continue;
    Out = {E->Record.Id, Free};
  }
  return Out;
}

bool StreamScheduler::hasRoom(std::string_view Service, std::int64_t Tokens,
                              std::string_view Except, TimePoint Now) {
  return emptiestDecodeEngine(Service, Except, Now).Free >= Tokens;
}

StreamScheduler::Verdict
StreamScheduler::consider(const StreamRequest &Need, Pool &Engines,
                          std::int64_t TokensAhead, TimePoint Now,
                          std::vector<StreamDecision> &Out) {
  if (requiredKvTokens(Need) > Engines.Bound) {
    Out.push_back(refusal(Need, StreamRefusalReason::TooLarge, {}, Now));
    return Verdict::Refused;
  }
  if (Endpoint *Decode = chooseDecode(Need, Engines, Now)) {
    Out.push_back(place(Need, Engines, *Decode, Now));
    return Verdict::Placed;
  }
  const Duration Wait = expectedWait(Need, Engines, TokensAhead, Now);
  if (Now + LatestStart >= Need.GiveUpAt) {
    Out.push_back(refusal(Need, StreamRefusalReason::WaitedTooLong, Wait, Now));
    return Verdict::Refused;
  }
  // Those who came back have no further try, so they wait as long as they can.
  if (Need.IsRetry || Now + Wait + LatestStart < Need.GiveUpAt)
    return Verdict::Waits;
  Out.push_back(refusal(Need, StreamRefusalReason::QueueTooLong, Wait, Now));
  return Verdict::Refused;
}

StreamPlacement StreamScheduler::place(const StreamRequest &Need, Pool &Engines,
                                   Endpoint &Decode, TimePoint Now) {
  StreamPlacement Out;
  Out.Id = Need.Id;
  Out.Decode = Decode.Record.Id;
  Out.QueueTime = Now - Need.Arrival;
  Out.DecodeLoad = Decode.totalLoad();
  Out.RequiredTokens = requiredKvTokens(Need);
  Endpoint *Prefill = nullptr;
  if (Options.UsePrefillEngines && !Need.HasKvCache)
    Prefill = choosePrefill(Need, Engines, Decode.Record.Zone, Now);
  if (Prefill) {
    Out.Prefill = Prefill->Record.Id;
    Out.PrefillBacklog = Prefill->totalLoad().PrefillTokens + Need.PromptTokens;
  }
  hold({Need.Id, Need.Service, Need.Account, Out.Decode, Out.Prefill,
        requiredKvTokens(Need), Need.PromptTokens},
       Out.PrefillBacklog, Now);
  Table.recordSend(Out.Decode, Now);
  if (Prefill)
    Table.recordSend(Out.Prefill, Now);
  measure(Engines);
  return Out;
}

StreamRefusal StreamScheduler::refusal(const StreamRequest &Need,
                                       StreamRefusalReason Reason,
                                       Duration ExpectedWait,
                                       TimePoint Now) const {
  const Duration Left =
      std::max<Duration>(Need.Arrival + Need.CallerBudget - Now, Duration{0});
  const Duration Longest = fromSeconds(seconds(Left) * HonouredPart);
  const Duration Return = std::clamp<Duration>(
      ExpectedWait, std::min<Duration>(ShortestReturn, Longest), Longest);
  return {Need.Id, Reason, std::chrono::duration_cast<milliseconds>(Return),
          ExpectedWait};
}

std::int64_t StreamScheduler::memoryBound(std::string_view Service) const {
  const ServicePolicy *Policy = Config->service(Service);
  if (!Policy || !Policy->Engine)
    return std::numeric_limits<std::int64_t>::max();
  return static_cast<std::int64_t>(Policy->Engine->KvTokens *
                                   Options.MemoryShare);
}

/// Number in [0, 1 - KnownShare) that differs between requests and engines.
double StreamScheduler::spread(const StreamRequest &Need,
                               const Endpoint &E) const {
  if (KnownShare >= 1)
    return 0;
  constexpr double Range = 18'446'744'073'709'551'616.0; // 2^64
  const double Chance =
      static_cast<double>(rendezvousWeight(Need.Id, E.Record.Id)) / Range;
  return (1 - KnownShare) * Chance;
}

Endpoint *StreamScheduler::chooseDecode(const StreamRequest &Need,
                                        const Pool &Engines,
                                        TimePoint Now) const {
  const std::int64_t Bound =
      Need.HasKvCache ? static_cast<std::int64_t>(
                          static_cast<double>(Engines.Bound) * ReplacementShare)
                    : Engines.Bound;
  const std::int64_t Tokens = requiredKvTokens(Need);
  if (Tokens > Engines.LargestFree + (Bound - Engines.Bound))
    return nullptr;
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Decode) {
    const EndpointLoad Load = E->totalLoad();
    if (Load.Tokens + Tokens > Bound ||
        Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        avoids(Need, *E) || !Table.mayStart(*E, Now))
      continue;
    double Cost =
        static_cast<double>(Load.Tokens) / static_cast<double>(Engines.Bound);
    if (E->Record.Zone != Need.Zone)
      Cost += OtherZoneCost;
    Cost += FailureCost * E->Health.failureShare();
    Cost += LargestSpread * spread(Need, *E);
    if (E->isSuspect(Now))
      Cost += SuspectCost;
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

Endpoint *StreamScheduler::choosePrefill(const StreamRequest &Need,
                                         const Pool &Engines,
                                         std::string_view Zone,
                                         TimePoint Now) const {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Prefill) {
    const std::int64_t Backlog = E->totalLoad().PrefillTokens;
    if (Backlog > Options.PrefillBacklog || avoids(Need, *E) ||
        Now < E->CacheLossUntil || !Table.mayStart(*E, Now))
      continue;
    const std::int64_t Known =
        Backlog + (E->Record.Zone == Zone ? 0 : OtherZonePrefillCost) +
        (E->isSuspect(Now) ? SuspectPrefillCost : 0);
    const double Cost = static_cast<double>(Known) +
                        FailurePrefillCost * E->Health.failureShare() +
                        PrefillSpreadTokens * spread(Need, *E);
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

/// Time until the memory for which others wait has been freed, if engines free
/// it evenly over the mean time that a generation runs.
Duration StreamScheduler::expectedWait(const StreamRequest &Need,
                                       const Pool &Engines,
                                       std::int64_t TokensAhead,
                                       TimePoint Now) const {
  if (Engines.Decode.empty())
    return Need.GiveUpAt - Now;
  const std::int64_t Missing = requiredKvTokens(Need) + TokensAhead - Engines.Free;
  if (Missing <= 0)
    return Duration{0};
  const double Capacity = static_cast<double>(Engines.Bound) *
                          static_cast<double>(Engines.Decode.size());
  return fromSeconds(static_cast<double>(Missing) * MeanRunSeconds / Capacity);
}

} // namespace hyssoprail::routing
