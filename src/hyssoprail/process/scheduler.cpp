#include "hyssoprail/process/scheduler.hpp"
#include "hyssoprail/process/scheduler_parts.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Cost of an output token in uncached prompt tokens. An output token occupies
/// a decode slot for a whole step, a prompt token only a part of a prefill.
constexpr double OutputTokenCost = 4.0;

/// Cost of a plain call in tokens.
constexpr double CallCost = 100.0;

/// Added to the cost of a prefill endpoint in cold start, so that it is chosen
/// when the warm ones are busy.
constexpr double ColdPenaltyMs = 200.0;

/// How long an endpoint is passed over after it had no room or failed. A load
/// report ends the first one earlier.
constexpr milliseconds FullPause{250};
constexpr milliseconds FailedPause{500};

/// Time after which an endpoint that is out of service counts as violated if
/// it is chosen.
constexpr milliseconds OutGrace{3'000};

/// Longest and default wait in an agent's queue for a decode slot.
constexpr milliseconds LongestReserveWait{500};

constexpr std::uint64_t PruneEveryPolls = 4'096;

std::string workKey(std::string_view RequestId, bool Decode) {
  return std::string(RequestId) + (Decode ? "/d" : "/p");
}

} // namespace

Scheduler::Scheduler(SchedulerOptions Options, Invariants &Checks,
                     std::uint64_t Seed)
    : Options(std::move(Options)), Checks(Checks), Random(Seed),
      Config(std::make_shared<const ConfigState>()) {}

Scheduler::~Scheduler() = default;

void Scheduler::configure(ConfigPtr Next, TimePoint Now) {
  Config = std::move(Next);
  CandidateCache.clear();
  HasSelectors = !Config->objects(wire::OBJECT_KIND_SELECTOR).empty();
  const wire::AvailabilityZone *Own = Config->zone(Options.Zone);
  Region = Own != nullptr ? Own->region() : std::string();
  for (const wire::Endpoint *E : Config->endpoints()) {
    auto &Slot = Endpoints[E->name()];
    if (!Slot)
      Slot = std::make_unique<Endpoint>();
    Slot->Config = *E;
    if (const wire::Vm *Vm = Config->vm(E->vm()))
      Slot->Zone = Vm->zone();
    if (const wire::AvailabilityZone *Zone = Config->zone(Slot->Zone))
      Slot->Region = Zone->region();
    const bool Serves = Config->inService(*E);
    if (Slot->InService && !Serves)
      Slot->OutSince = Now;
    Slot->InService = Serves;
  }
  // A removed endpoint is kept while work of this entry may refer to it.
  for (auto &[Name, Slot] : Endpoints)
    if (Config->endpoint(Name) == nullptr)
      Slot->InService = false;
}

void Scheduler::updateLoad(std::string_view Endpoint,
                           const wire::LoadReport &Load, bool Leaving,
                           TimePoint Now) {
  const auto It = Endpoints.find(Endpoint);
  if (It == Endpoints.end())
    return;
  It->second->View.report(Load, Leaving, Now);
  It->second->View.reachable(true);
}

void Scheduler::setReachable(std::string_view Endpoint, bool Value) {
  const auto It = Endpoints.find(Endpoint);
  if (It != Endpoints.end())
    It->second->View.reachable(Value);
}

void Scheduler::submit(ScheduleRequest Request, TimePoint Now) {
  dropWork(Request.RequestId, true);
  dropWork(Request.RequestId, false);
  std::size_t &OfAccount = QueuedPerAccount[Request.Account];
  if (OfAccount >= Options.MaxQueuedPerAccount && !Request.Resumed) {
    Pending.emplace_back(ScheduleRefusal{
        Request.RequestId,
        {ErrorKind::NoCapacity, "too many requests of the account wait",
         "send fewer requests at once", "", milliseconds(1'000)}});
    return;
  }
  ++OfAccount;
  const std::string Id = Request.RequestId;
  const TimePoint Until = latestStart(Request, Now);
  auto &Pool = Pools.try_emplace(Request.Pool, Counters).first->second;
  Pool.Queue.push(Request.Class, Request.Account, Id, Request.Resumed);
  Expiry.emplace(Until, Id);
  Waiting.insert_or_assign(Id, Queued{std::move(Request), Until});
}

/// Latest time at which a prefill must start to meet the target.
TimePoint Scheduler::latestStart(const ScheduleRequest &Request,
                                 TimePoint Now) {
  const TimePoint Longest = Now + Options.MaxWait;
  if (Request.FirstTokenBy == TimePoint::max() || Request.Resumed)
    return Longest;
  milliseconds Shortest{0};
  bool Known = false;
  if (!Request.PlainCall)
    for (const Endpoint *E : candidates(Request).Prefill) {
      const milliseconds Time =
          E->View.prefillTime(uncached(*E, Request)) - E->View.prefillTime(0);
      if (E->View.usable(Now) && (!Known || Time < Shortest)) {
        Shortest = Time;
        Known = true;
      }
    }
  return std::min(Longest, Request.FirstTokenBy - Shortest);
}

void Scheduler::cancel(std::string_view RequestId) {
  const auto It = Waiting.find(RequestId);
  if (It == Waiting.end())
    return;
  const ScheduleRequest &Request = It->second.Request;
  Pools.at(Request.Pool)
      .Queue.remove(Request.Class, Request.Account, RequestId);
  Expiry.erase({It->second.Until, Request.RequestId});
  if (--QueuedPerAccount[Request.Account] == 0)
    QueuedPerAccount.erase(Request.Account);
  Waiting.erase(It);
}

std::vector<ScheduleDecision> Scheduler::poll(TimePoint Now) {
  std::vector<ScheduleDecision> Out;
  Out.swap(Pending);
  refuseLate(Now, Out);
  for (auto &[Name, Pool] : Pools)
    while (Pool.Queue.serveOne([&](const std::string &RequestId) {
      return place(RequestId, Now, Out);
    }))
      ;
  if (++PollCount % PruneEveryPolls == 0)
    Counters.prune([this](const std::string &Account) {
      return QueuedPerAccount.contains(Account);
    });
  return Out;
}

void Scheduler::refuseLate(TimePoint Now, std::vector<ScheduleDecision> &Out) {
  while (!Expiry.empty() && Expiry.begin()->first <= Now) {
    const std::string Id = Expiry.begin()->second;
    const ScheduleRequest Request = Waiting.at(Id).Request;
    cancel(Id);
    Out.emplace_back(ScheduleRefusal{Request.RequestId, tooLate(Request)});
  }
}

Error Scheduler::tooLate(const ScheduleRequest &Request) const {
  // Come back when about half of the queue ahead has gone.
  const std::size_t Ahead = Waiting.size();
  const auto Pause = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(Ahead) * 10, 100, 5'000);
  if (Request.FirstTokenBy == TimePoint::max() || Request.Resumed)
    return {ErrorKind::NoCapacity, "no endpoint had room in time",
            "send the request again later", "", milliseconds(Pause)};
  return {ErrorKind::DeadlineExceeded,
          "the target for the first token cannot be met any more",
          "send the request again later", "", milliseconds(Pause)};
}

FairQueue::Offer Scheduler::place(const std::string &RequestId, TimePoint Now,
                                  std::vector<ScheduleDecision> &Out) {
  const auto It = Waiting.find(RequestId);
  const ScheduleRequest &Request = It->second.Request;
  const bool Left = Request.PlainCall ? placeCall(Request, Now, Out)
                                      : placeCompletion(Request, Now, Out);
  // Without selectors every request of the pool has the same candidates. The
  // first one waits for room and is not passed over by smaller ones.
  if (!Left)
    return HasSelectors ? FairQueue::Offer::Blocked : FairQueue::Offer::Stop;
  Expiry.erase({It->second.Until, RequestId});
  if (--QueuedPerAccount[Request.Account] == 0)
    QueuedPerAccount.erase(Request.Account);
  Waiting.erase(It);
  return FairQueue::Offer::Left;
}

bool Scheduler::placeCall(const ScheduleRequest &Request, TimePoint Now,
                          std::vector<ScheduleDecision> &Out) {
  const std::vector<Endpoint *> &From = candidates(Request).Service;
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *From[I];
    if (!E.InService || !E.View.usable(Now))
      return -1.0;
    const std::int64_t Slots = E.View.slots();
    if (Slots > 0 && E.View.usedSlots() >= Slots)
      return -1.0;
    const double Avoided = E.Config.name() == Request.AvoidEndpoint ? 1'000 : 0;
    return static_cast<double>(E.View.usedSlots()) /
               static_cast<double>(std::max<std::int64_t>(1, Slots)) +
           Avoided;
  };
  const std::size_t Choice =
      Options.Placement->choose(From.size(), CostOf, Random);
  if (Choice == PlacementStrategy::None)
    return false;
  Endpoint &Chosen = *From[Choice];
  checkChoice(Chosen, Request, Now);
  charge(Request);
  startWork(Request.RequestId, true, Chosen, 0, 0);
  SchedulePlacement P;
  P.RequestId = Request.RequestId;
  P.Decode = Chosen.Config.name();
  P.Version = Config->version();
  Out.emplace_back(std::move(P));
  return true;
}

bool Scheduler::placeCompletion(const ScheduleRequest &Request, TimePoint Now,
                                std::vector<ScheduleDecision> &Out) {
  const Candidates &From = candidates(Request);
  Endpoint *Prefill = choosePrefill(From, Request, Now);
  if (Prefill == nullptr)
    return false;
  const std::uint32_t Uncached = uncached(*Prefill, Request);
  const milliseconds PrefillTime = Prefill->View.prefillTime(Uncached);
  const milliseconds Transfer = transferTime(*Prefill, Request.PromptTokens);
  const milliseconds NeededIn = PrefillTime + Transfer;
  Endpoint *Decode = chooseDecode(From, Request, NeededIn, Now);
  if (Decode == nullptr)
    return false;
  if (!Request.Resumed && Request.FirstTokenBy != TimePoint::max() &&
      Now + NeededIn > Request.FirstTokenBy) {
    Out.emplace_back(ScheduleRefusal{Request.RequestId, tooLate(Request)});
    return true;
  }
  checkChoice(*Prefill, Request, Now);
  checkChoice(*Decode, Request, Now);
  charge(Request);
  startWork(Request.RequestId, true, *Decode, 0,
            pieces(Request.PromptTokens + Request.MaxTokens));
  startWork(Request.RequestId, false, *Prefill, Uncached, 0);
  SchedulePlacement P;
  P.RequestId = Request.RequestId;
  P.Decode = Decode->Config.name();
  P.Prefill = Prefill->Config.name();
  P.ReserveFirst = Options.Scheduling->reservesFirst();
  P.NeededIn = Options.Scheduling->reserveFor(NeededIn);
  P.ReserveWait = LongestReserveWait;
  if (Request.FirstTokenBy != TimePoint::max() && !Request.Resumed)
    P.ReserveWait = std::clamp(std::chrono::duration_cast<milliseconds>(
                                   Request.FirstTokenBy - Now - NeededIn),
                               milliseconds(0), LongestReserveWait);
  P.PrefillEstimate = PrefillTime;
  P.TransferEstimate = Transfer;
  P.Version = Config->version();
  Out.emplace_back(std::move(P));
  return true;
}

Scheduler::Endpoint *Scheduler::choosePrefill(const Candidates &From,
                                              const ScheduleRequest &Request,
                                              TimePoint Now) {
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *From.Prefill[I];
    if (!E.InService || !E.View.usable(Now))
      return -1.0;
    // An endpoint in cold start takes no more than its limit.
    if (E.View.cold() && E.View.usedSlots() >= E.View.slots())
      return -1.0;
    const milliseconds Time = E.View.prefillTime(uncached(E, Request)) +
                              transferTime(E, Request.PromptTokens);
    const double Cold = E.View.cold() ? ColdPenaltyMs : 0;
    const double Avoided = E.Config.name() == Request.AvoidEndpoint ? 1e6 : 0;
    return static_cast<double>(Time.count()) + Cold + Avoided;
  };
  const std::size_t Choice =
      Options.Placement->choose(From.Prefill.size(), CostOf, Random);
  return Choice == PlacementStrategy::None ? nullptr : From.Prefill[Choice];
}

Scheduler::Endpoint *Scheduler::chooseDecode(const Candidates &From,
                                             const ScheduleRequest &Request,
                                             milliseconds NeededIn,
                                             TimePoint Now) {
  const std::uint32_t Pieces = pieces(Request.PromptTokens + Request.MaxTokens);
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *From.Decode[I];
    if (!E.InService || !E.View.usable(Now) ||
        !Options.Scheduling->hasRoom(E.View.room(Pieces, Now), NeededIn))
      return -1.0;
    const double Avoided = E.Config.name() == Request.AvoidEndpoint ? 1'000 : 0;
    return static_cast<double>(E.View.usedSlots()) /
               static_cast<double>(std::max<std::int64_t>(1, E.View.slots())) +
           Avoided;
  };
  const std::size_t Choice =
      Options.Placement->choose(From.Decode.size(), CostOf, Random);
  return Choice == PlacementStrategy::None ? nullptr : From.Decode[Choice];
}

std::uint32_t Scheduler::uncached(const Endpoint &Where,
                                  const ScheduleRequest &Request) const {
  if (!Where.View.holdsPrefixes())
    return Request.PromptTokens;
  for (std::size_t Blocks = Request.Prefixes.size(); Blocks > 0; --Blocks)
    if (Where.View.holdsPrefix(Request.Prefixes[Blocks - 1]))
      return Request.PromptTokens -
             std::min(Request.PromptTokens, static_cast<std::uint32_t>(Blocks) *
                                                Request.PrefixBlockTokens);
  return Request.PromptTokens;
}

milliseconds Scheduler::transferTime(const Endpoint &Where,
                                     std::uint32_t Tokens) const {
  return Where.View.transferTime(
      static_cast<std::uint64_t>(CacheBytesPerToken * Tokens));
}

void Scheduler::learnCacheSize(std::uint64_t Bytes, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  const double PerToken =
      static_cast<double>(Bytes) / static_cast<double>(Tokens);
  CacheBytesPerToken = CacheBytesPerToken == 0
                           ? PerToken
                           : 0.9 * CacheBytesPerToken + 0.1 * PerToken;
}

std::uint32_t Scheduler::pieces(std::uint32_t Tokens) const {
  return (Tokens + Options.PieceTokens - 1) / Options.PieceTokens;
}

void Scheduler::checkChoice(const Endpoint &Where,
                            const ScheduleRequest &Request,
                            TimePoint Now) const {
  Checks.check(
      Invariant::ZoneOut, Where.InService || Now - Where.OutSince < OutGrace,
      "an endpoint that is out of service is chosen", Request.RequestId);
  Checks.check(Invariant::LeavingEndpoint, !Where.View.leaving(),
               "a leaving endpoint is chosen", Request.RequestId);
}

void Scheduler::charge(const ScheduleRequest &Request) {
  if (Request.Resumed && Charges.contains(Request.RequestId))
    return;
  const double Weight = std::max(1.0, Request.Weight);
  const double Cost =
      Request.PlainCall
          ? CallCost
          : Request.PromptTokens + OutputTokenCost * Request.MaxTokens;
  Charges.insert_or_assign(Request.RequestId,
                           Charge{Request.Account, Weight, Request.MaxTokens});
  addCost(Request.Account, Cost / Weight);
}

void Scheduler::addCost(const std::string &Account, double Cost) {
  Counters.charge(Account, Cost);
  for (auto &[Name, Pool] : Pools)
    Pool.Queue.reposition(Account);
}

void Scheduler::completed(std::string_view RequestId,
                          std::uint32_t OutputTokens) {
  dropWork(RequestId, true);
  dropWork(RequestId, false);
  const auto It = Charges.find(RequestId);
  if (It == Charges.end())
    return;
  const Charge Paid = It->second;
  Charges.erase(It);
  if (OutputTokens < Paid.MaxTokens)
    addCost(Paid.Account,
            -OutputTokenCost * (Paid.MaxTokens - OutputTokens) / Paid.Weight);
}

void Scheduler::startWork(const std::string &RequestId, bool Decode,
                          Endpoint &Where, std::uint32_t Tokens,
                          std::uint32_t Pieces) {
  dropWork(RequestId, Decode);
  Work.emplace(
      workKey(RequestId, Decode),
      PlacedWork{Where.Config.name(), Where.View.started(Tokens, Pieces)});
}

void Scheduler::dropWork(std::string_view RequestId, bool Decode) {
  const auto It = Work.find(workKey(RequestId, Decode));
  if (It == Work.end())
    return;
  Endpoints.at(It->second.Endpoint)->View.ended(It->second.Local);
  Work.erase(It);
}

void Scheduler::workEnded(std::string_view RequestId, bool Decode,
                          std::string_view Endpoint, ScheduledEnd How,
                          TimePoint Now) {
  dropWork(RequestId, Decode);
  const auto Where = Endpoints.find(Endpoint);
  if (Where == Endpoints.end())
    return;
  EndpointView &View = Where->second->View;
  if (How == ScheduledEnd::Refused)
    View.full(Now + FullPause);
  if (How == ScheduledEnd::Failed)
    View.failed(Now + FailedPause);
}

std::size_t Scheduler::queued(wire::RouteClass Class) const {
  std::size_t Sum = 0;
  for (const auto &[Name, Pool] : Pools)
    Sum += Pool.Queue.size(Class);
  return Sum;
}

} // namespace hyssoprail
