#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>
#include <tuple>

#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

constexpr std::uint32_t BlockTokens = 16;

/// What a generation that is longer than expected is expected to add.
constexpr std::uint32_t GrowthTokens = 320;

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

/// Extra cost of an engine that a peer could not reach, for the decode part and
/// in prompt tokens.
constexpr double SuspectCost = 2;
constexpr std::int64_t SuspectPrefillCost = 20'000;

/// Prompt tokens that the shorter way to a decode engine in the same zone is
/// worth; between zones a KV cache takes twice as long.
constexpr std::int64_t OtherZonePrefillCost = 2'500;

/// Entries hear of each other's placements some time later. So that they do not
/// all choose the engine that was emptiest in the last reports, each request
/// adds a chance part to the cost of each engine: up to this part of a decode
/// engine's memory, and up to this many prompt tokens.
constexpr double DecodeSpread = 0.2;
constexpr std::int64_t PrefillSpread = 3'000;

constexpr std::array<EnumName<StreamRefusalReason>, 4> RefusalNames{{
    {StreamRefusalReason::NoEngine, "no_engine"},
    {StreamRefusalReason::TooLarge, "too_large"},
    {StreamRefusalReason::QueueTooLong, "queue_too_long"},
    {StreamRefusalReason::WaitedTooLong, "waited_too_long"},
}};

std::int64_t memoryNeed(const StreamNeed &Need) {
  const std::int64_t Tokens =
      std::int64_t{Need.PromptTokens} + Need.OutputTokens;
  return (Tokens + BlockTokens - 1) / BlockTokens * BlockTokens;
}

EndpointLoad decodeLoad(const StreamNeed &Need) {
  return {1, memoryNeed(Need), 0};
}

EndpointLoad prefillLoad(const StreamNeed &Need) {
  return {1, 0, Need.PromptTokens};
}

/// Number in [0, 1) that differs between entries, requests and engines.
double chanceOf(const std::string &Entry, const std::string &Request,
                const std::string &EndpointId) {
  constexpr double Range = 18'446'744'073'709'551'616.0; // 2^64
  return static_cast<double>(
             rendezvousWeight(Entry + '/' + Request, EndpointId)) /
         Range;
}

/// Rank of service; lower ranks go first. Urgent routes and accounts; within
/// them requests within their quota, then those who came back, then those that
/// can still be on time.
std::int32_t serviceRank(const StreamNeed &Need, TimePoint Now) {
  constexpr std::int32_t RanksOfPriority = 8;
  const bool Late = Now + TimeToFirstEvent > Need.OnTimeUntil;
  return Need.Priority * RanksOfPriority + (Need.BeyondQuota ? 4 : 0) +
         (Need.Returning ? 0 : 2) + (Late ? 1 : 0);
}

WaitingRequest asWaiting(const StreamNeed &Need, TimePoint Now) {
  return {Need.Service, serviceRank(Need, Now), Need.Arrival, memoryNeed(Need)};
}

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

Duration fromSeconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}

} // namespace

std::string_view streamRefusalName(StreamRefusalReason Reason) {
  return enumName(RefusalNames, Reason);
}

void StreamScheduler::submit(StreamNeed Need) {
  Waiting.push_back(std::move(Need));
}

void StreamScheduler::cancel(std::string_view Id) {
  std::erase_if(Waiting, [&](const StreamNeed &N) { return N.Id == Id; });
}

void StreamScheduler::setPeersWaiting(std::int64_t Tokens,
                                      std::vector<WaitingRequest> Requests) {
  PeersWaiting = Tokens;
  PeerRequests = std::move(Requests);
  std::sort(PeerRequests.begin(), PeerRequests.end(),
            [](const WaitingRequest &A, const WaitingRequest &B) {
              return A.servedBefore(B);
            });
}

std::vector<WaitingRequest> StreamScheduler::firstWaiting(std::size_t Count,
                                                          TimePoint Now) const {
  std::vector<WaitingRequest> Out;
  for (const std::size_t I : serviceOrder(Now)) {
    if (Out.size() == Count)
      break;
    Out.push_back(asWaiting(Waiting[I], Now));
  }
  return Out;
}

std::int64_t StreamScheduler::waitingTokens() const {
  std::int64_t Sum = 0;
  for (const StreamNeed &N : Waiting)
    Sum += memoryNeed(N);
  return Sum;
}

TimePoint StreamScheduler::nextDeadline() const {
  TimePoint Next = TimePoint::max();
  for (const StreamNeed &N : Waiting)
    Next = std::min(Next, N.GiveUpAt - LatestStart);
  return Next;
}

double StreamScheduler::accountLoad(const std::string &Account) const {
  std::int64_t Tokens = 0;
  for (const auto &[Id, P] : Running)
    if (P.Need.Account == Account)
      Tokens += memoryNeed(P.Need);
  const auto Policy = Config->Accounts.find(Account);
  const double Rate =
      Policy == Config->Accounts.end() ? 0 : Policy->second.RatePerSecond;
  return static_cast<double>(Tokens) / std::max(1.0, Rate);
}

/// Order of service: by rank; within a rank the account with the least running
/// work for its rate, then the earliest.
std::vector<std::size_t> StreamScheduler::serviceOrder(TimePoint Now) const {
  using Key = std::tuple<std::int32_t, double, TimePoint>;
  std::map<std::string, double> AccountLoads;
  std::vector<Key> Keys;
  Keys.reserve(Waiting.size());
  for (const StreamNeed &N : Waiting) {
    const auto [Load, New] = AccountLoads.try_emplace(N.Account, 0);
    if (New)
      Load->second = accountLoad(N.Account);
    Keys.emplace_back(serviceRank(N, Now), Load->second, N.Arrival);
  }
  std::vector<std::size_t> Order(Waiting.size());
  std::iota(Order.begin(), Order.end(), 0U);
  std::sort(Order.begin(), Order.end(),
            [&](std::size_t A, std::size_t B) { return Keys[A] < Keys[B]; });
  return Order;
}

std::vector<StreamDecision> StreamScheduler::poll(TimePoint Now) {
  std::vector<StreamDecision> Out;
  if (Waiting.empty() || !Config)
    return Out;
  std::vector<bool> Done(Waiting.size(), false);
  std::int64_t TokensAhead = PeersWaiting;
  PeerClaims.clear();
  auto Peer = PeerRequests.begin();
  for (const std::size_t I : serviceOrder(Now)) {
    const WaitingRequest Own = asWaiting(Waiting[I], Now);
    for (; Peer != PeerRequests.end() && Peer->servedBefore(Own); ++Peer)
      leaveToPeer(*Peer, Now);
    Done[I] = consider(Waiting[I], TokensAhead, Now, Out) != Verdict::Waits;
    if (!Done[I])
      TokensAhead += memoryNeed(Waiting[I]);
  }
  std::size_t Index = 0;
  std::erase_if(Waiting, [&](const StreamNeed &) { return Done[Index++]; });
  PeerClaims.clear();
  return Out;
}

/// Sets memory aside for a request of another entry, at the engine with the
/// least load. A request that fits nowhere holds up nobody.
void StreamScheduler::leaveToPeer(const WaitingRequest &Request,
                                  TimePoint Now) {
  const std::int64_t Bound = memoryBound(Request.Service);
  const Endpoint *Best = nullptr;
  std::int64_t BestLoad = std::numeric_limits<std::int64_t>::max();
  for (const Endpoint *E : Table.usable(Request.Service, Now)) {
    const std::int64_t Load = loadWithClaims(*E);
    if (E->Record.Stage == EngineStage::Prefill ||
        Load + Request.Tokens > Bound || Load >= BestLoad)
      continue;
    Best = E;
    BestLoad = Load;
  }
  if (Best)
    PeerClaims[Best->Record.Id] += Request.Tokens;
}

std::int64_t StreamScheduler::loadWithClaims(const Endpoint &E) const {
  const auto Claim = PeerClaims.find(E.Record.Id);
  return E.total().Tokens + (Claim == PeerClaims.end() ? 0 : Claim->second);
}

StreamScheduler::Verdict
StreamScheduler::consider(const StreamNeed &Need, std::int64_t TokensAhead,
                          TimePoint Now, std::vector<StreamDecision> &Out) {
  if (memoryNeed(Need) > memoryBound(Need.Service)) {
    Out.push_back(refusal(Need, StreamRefusalReason::TooLarge, {}, Now));
    return Verdict::Refused;
  }
  if (Endpoint *Decode = chooseDecode(Need, memoryBound(Need.Service), Now)) {
    Endpoint *Prefill = nullptr;
    if (Options.UsePrefillEngines)
      Prefill = choosePrefill(Need, Decode->Record.Zone, Now);
    Placed P{Need, Decode->Record.Id, Prefill ? Prefill->Record.Id : "", Now};
    const EndpointLoad Before = Decode->total();
    Table.reserve(P.Decode, decodeLoad(Need));
    if (Prefill)
      Table.reserve(P.Prefill, prefillLoad(Need));
    Out.push_back(StreamPlace{Need.Id, P.Decode, P.Prefill, Now - Need.Arrival,
                              Waiting.size(), Before, memoryNeed(Need)});
    Running[Need.Id] = std::move(P);
    return Verdict::Placed;
  }
  if (Now + LatestStart >= Need.GiveUpAt) {
    Out.push_back(refusal(Need, StreamRefusalReason::WaitedTooLong,
                          expectedWait(Need, TokensAhead, Now), Now));
    return Verdict::Refused;
  }
  const Duration Wait = expectedWait(Need, TokensAhead, Now);
  if (Now + Wait + LatestStart < Need.GiveUpAt)
    return Verdict::Waits;
  // Those who came back have no further try, so they wait as long as they can.
  if (Need.Returning)
    return Verdict::Waits;
  Out.push_back(refusal(Need, StreamRefusalReason::QueueTooLong, Wait, Now));
  return Verdict::Refused;
}

StreamRefusal StreamScheduler::refusal(const StreamNeed &Need,
                                       StreamRefusalReason Reason,
                                       Duration ExpectedWait,
                                       TimePoint Now) const {
  const Duration Left =
      std::max<Duration>(Need.Arrival + Need.TimeLeft - Now, Duration{0});
  const Duration Longest = fromSeconds(seconds(Left) * HonouredPart);
  const Duration Return = std::clamp<Duration>(
      ExpectedWait, std::min<Duration>(ShortestReturn, Longest), Longest);
  return {Need.Id, Reason, std::chrono::duration_cast<milliseconds>(Return),
          ExpectedWait, Waiting.size()};
}

std::int64_t StreamScheduler::memoryBound(std::string_view Service) const {
  const ServicePolicy *Policy = Config->service(Service);
  if (!Policy || !Policy->Engine)
    return std::numeric_limits<std::int64_t>::max();
  return static_cast<std::int64_t>(Policy->Engine->KvTokens *
                                   Options.MemoryShare);
}

Endpoint *StreamScheduler::chooseDecode(const StreamNeed &Need,
                                        std::int64_t Bound, TimePoint Now) {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Table.usable(Need.Service, Now)) {
    if (E->Record.Stage == EngineStage::Prefill || E->Record.Id == Need.Avoid)
      continue;
    const std::int64_t Tokens = loadWithClaims(*E);
    if (Tokens + memoryNeed(Need) > Bound ||
        E->total().Runs >= static_cast<std::int32_t>(E->Record.Slots))
      continue;
    double Cost = static_cast<double>(Tokens) / static_cast<double>(Bound);
    if (E->Record.Zone != Options.Zone)
      Cost += OtherZoneCost;
    Cost += FailureCost * E->Health.failureShare();
    Cost += DecodeSpread * chanceOf(Options.Name, Need.Id, E->Record.Id);
    if (E->isSuspect(Now))
      Cost += SuspectCost;
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

Endpoint *StreamScheduler::choosePrefill(const StreamNeed &Need,
                                         std::string_view Zone, TimePoint Now) {
  Endpoint *Best = nullptr;
  std::int64_t BestCost = std::numeric_limits<std::int64_t>::max();
  for (Endpoint *E : Table.usable(Need.Service, Now)) {
    if (E->Record.Stage != EngineStage::Prefill || E->Record.Id == Need.Avoid ||
        Now < E->HandlesLostUntil)
      continue;
    const std::int64_t Backlog = E->total().PrefillTokens;
    if (Backlog > Options.PrefillBacklog)
      continue;
    const std::int64_t Cost =
        Backlog + (E->Record.Zone == Zone ? 0 : OtherZonePrefillCost) +
        (E->isSuspect(Now) ? SuspectPrefillCost : 0) +
        static_cast<std::int64_t>(E->Health.failureShare() * 10'000) +
        static_cast<std::int64_t>(
            PrefillSpread * chanceOf(Options.Name, Need.Id, E->Record.Id));
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

/// Time until the memory for which others wait has been freed, if engines free
/// it evenly over the mean time that a generation runs.
Duration StreamScheduler::expectedWait(const StreamNeed &Need,
                                       std::int64_t TokensAhead,
                                       TimePoint Now) {
  std::int64_t Capacity = 0;
  std::int64_t Used = 0;
  const std::int64_t Bound = memoryBound(Need.Service);
  for (Endpoint *E : Table.usable(Need.Service, Now)) {
    if (E->Record.Stage == EngineStage::Prefill)
      continue;
    Capacity += Bound;
    Used += E->total().Tokens;
  }
  if (Capacity == 0)
    return Need.GiveUpAt - Now;
  const std::int64_t Missing = memoryNeed(Need) + TokensAhead -
                               std::max<std::int64_t>(0, Capacity - Used);
  if (Missing <= 0)
    return Duration{0};
  const double FreedPerSecond = static_cast<double>(Capacity) / MeanRunSeconds;
  return fromSeconds(static_cast<double>(Missing) / FreedPerSecond);
}

void StreamScheduler::release(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  prefillEnded(Id);
  Placed &P = It->second;
  Table.release(P.Decode, decodeLoad(P.Need));
  MeanRunSeconds +=
      RunTimeSmoothing * (seconds(Now - P.Since) - MeanRunSeconds);
  Running.erase(It);
}

void StreamScheduler::outputGrew(std::string_view Id, std::uint64_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end() || Tokens < It->second.Need.OutputTokens)
    return;
  Placed &P = It->second;
  Table.release(P.Decode, decodeLoad(P.Need));
  P.Need.OutputTokens = static_cast<std::uint32_t>(Tokens) + GrowthTokens;
  Table.reserve(P.Decode, decodeLoad(P.Need));
}

void StreamScheduler::prefillEnded(std::string_view Id) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Prefill.empty())
    return;
  Table.release(It->second.Prefill, prefillLoad(It->second.Need));
  It->second.Prefill.clear();
}

std::string StreamScheduler::replacePrefill(std::string_view Id,
                                            TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return {};
  Placed &P = It->second;
  if (!P.Prefill.empty())
    P.Need.Avoid = P.Prefill;
  prefillEnded(Id);
  const Endpoint *Decode = Table.find(P.Decode);
  Endpoint *Next =
      choosePrefill(P.Need, Decode ? Decode->Record.Zone : Options.Zone, Now);
  if (!Next)
    return {};
  P.Prefill = Next->Record.Id;
  Table.reserve(P.Prefill, prefillLoad(P.Need));
  return P.Prefill;
}

std::int64_t StreamScheduler::prefillBacklog(std::string_view Id) const {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return 0;
  const Endpoint *E = Table.find(It->second.Prefill);
  return E ? E->total().PrefillTokens : 0;
}

Endpoint *StreamScheduler::chooseReplacement(const Placed &P, TimePoint Now) {
  const auto Bound = static_cast<std::int64_t>(
      static_cast<double>(memoryBound(P.Need.Service)) * ReplacementShare);
  StreamNeed Need = P.Need;
  Need.Avoid = P.Decode;
  return chooseDecode(Need, Bound, Now);
}

bool StreamScheduler::canReplaceDecode(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  return It != Running.end() && chooseReplacement(It->second, Now);
}

std::string StreamScheduler::replaceDecode(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return {};
  Placed &P = It->second;
  Table.release(P.Decode, decodeLoad(P.Need));
  Endpoint *Next = chooseReplacement(P, Now);
  P.Need.Avoid = P.Decode;
  P.Decode = Next ? Next->Record.Id : "";
  if (Next)
    Table.reserve(P.Decode, decodeLoad(P.Need));
  return P.Decode;
}

} // namespace hyssoprail::routing
