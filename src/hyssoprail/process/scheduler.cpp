#include "hyssoprail/process/scheduler.hpp"
#include "hyssoprail/process/scheduler_types.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Cost of an output token, in uncached prompt tokens. An output token occupies
/// a decode slot for a whole step, a prompt token only a part of a prefill.
constexpr double OutputTokenCost = 4.0;

/// Cost of a plain call, in uncached prompt tokens.
constexpr double PlainCallCost = 100.0;

/// Added to the cost of a prefill endpoint in cold start, so that it is chosen
/// only when the warm ones are busy.
constexpr double ColdPenaltyMs = 200.0;

/// How long an endpoint is not chosen after it refused work or failed. A load
/// report ends FullBackoff early.
constexpr milliseconds FullBackoff{250};
constexpr milliseconds FailedBackoff{500};

/// Choosing an endpoint that has been out of service for this long or longer is
/// an invariant violation.
constexpr milliseconds OutOfServiceGrace{3'000};

/// Default and upper bound of the wait for a decode slot in an agent's queue.
constexpr milliseconds MaxReserveWait{500};

constexpr std::uint64_t PruneEveryPolls = 4'096;

std::string placedWorkKey(std::string_view RequestId, bool Decode) {
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
  const wire::AvailabilityZone *OwnZone = Config->zone(Options.Zone);
  Region = OwnZone != nullptr ? OwnZone->region() : std::string();
  for (const wire::Endpoint *E : Config->endpoints()) {
    auto &State = Endpoints[E->name()];
    if (!State)
      State = std::make_unique<Endpoint>();
    State->Config = *E;
    if (const wire::Vm *Vm = Config->vm(E->vm()))
      State->Zone = Vm->zone();
    if (const wire::AvailabilityZone *Zone = Config->zone(State->Zone))
      State->Region = Zone->region();
    const bool IsInService = Config->inService(*E);
    if (State->InService && !IsInService)
      State->OutOfServiceSince = Now;
    State->InService = IsInService;
  }
  // A removed endpoint is kept, because work of this entry may refer to it.
  for (auto &[Name, State] : Endpoints)
    if (Config->endpoint(Name) == nullptr)
      State->InService = false;
}

void Scheduler::updateLoad(std::string_view Endpoint,
                           const wire::LoadReport &Load, bool Leaving,
                           TimePoint Now) {
  const auto It = Endpoints.find(Endpoint);
  if (It == Endpoints.end())
    return;
  It->second->View.updateLoad(Load, Leaving, Now);
  It->second->View.setReachable(true);
}

void Scheduler::setReachable(std::string_view Endpoint, bool Value) {
  const auto It = Endpoints.find(Endpoint);
  if (It != Endpoints.end())
    It->second->View.setReachable(Value);
}

void Scheduler::submit(ScheduleRequest Request, TimePoint Now) {
  releaseWork(Request.RequestId, true);
  releaseWork(Request.RequestId, false);
  std::size_t &AccountQueued = QueuedPerAccount[Request.Account];
  if (AccountQueued >= Options.MaxQueuedPerAccount && !Request.Resumed) {
    PendingDecisions.emplace_back(ScheduleRefusal{
        Request.RequestId,
        {ErrorKind::NoCapacity, "too many requests of the account wait",
         "send fewer requests at once", "", milliseconds(1'000)}});
    return;
  }
  ++AccountQueued;
  const std::string Id = Request.RequestId;
  const TimePoint Deadline = latestStart(Request, Now);
  auto &Pool = Pools.try_emplace(Request.Pool, Counters).first->second;
  Pool.Queue.push(Request.Class, Request.Account, Id, Request.Resumed);
  WaitingByDeadline.emplace(Deadline, Id);
  Waiting.insert_or_assign(Id, Queued{std::move(Request), Deadline});
}

/// Returns the latest time at which the request can be placed: its target for
/// the first token minus the shortest possible prefill, at most MaxWait from
/// now.
TimePoint Scheduler::latestStart(const ScheduleRequest &Request,
                                 TimePoint Now) {
  const TimePoint MaxDeadline = Now + Options.MaxWait;
  if (Request.FirstTokenBy == TimePoint::max() || Request.Resumed)
    return MaxDeadline;
  milliseconds ShortestPrefill{0};
  bool Known = false;
  if (!Request.PlainCall)
    for (const Endpoint *E : candidates(Request).Prefill) {
      const milliseconds Time =
          E->View.prefillTime(uncachedTokens(*E, Request)) -
          E->View.prefillTime(0);
      if (E->View.usable(Now) && (!Known || Time < ShortestPrefill)) {
        ShortestPrefill = Time;
        Known = true;
      }
    }
  return std::min(MaxDeadline, Request.FirstTokenBy - ShortestPrefill);
}

void Scheduler::cancel(std::string_view RequestId) {
  const auto It = Waiting.find(RequestId);
  if (It == Waiting.end())
    return;
  const ScheduleRequest &Request = It->second.Request;
  Pools.at(Request.Pool)
      .Queue.remove(Request.Class, Request.Account, RequestId);
  WaitingByDeadline.erase({It->second.Deadline, Request.RequestId});
  if (--QueuedPerAccount[Request.Account] == 0)
    QueuedPerAccount.erase(Request.Account);
  Waiting.erase(It);
}

std::vector<ScheduleDecision> Scheduler::poll(TimePoint Now) {
  std::vector<ScheduleDecision> Out;
  Out.swap(PendingDecisions);
  refuseExpired(Now, Out);
  for (auto &[Name, Pool] : Pools)
    while (Pool.Queue.dispatchOne([&](const std::string &RequestId) {
      return place(RequestId, Now, Out);
    }))
      ;
  if (++PollCount % PruneEveryPolls == 0)
    Counters.prune([this](const std::string &Account) {
      return QueuedPerAccount.contains(Account);
    });
  return Out;
}

void Scheduler::refuseExpired(TimePoint Now,
                              std::vector<ScheduleDecision> &Out) {
  while (!WaitingByDeadline.empty() &&
         WaitingByDeadline.begin()->first <= Now) {
    const std::string Id = WaitingByDeadline.begin()->second;
    const ScheduleRequest Request = Waiting.at(Id).Request;
    cancel(Id);
    Out.emplace_back(ScheduleRefusal{Request.RequestId, expiryError(Request)});
  }
}

Error Scheduler::expiryError(const ScheduleRequest &Request) const {
  // Suggest a retry when about half of the queue has drained.
  const std::size_t QueueLength = Waiting.size();
  const auto RetryAfterMs = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(QueueLength) * 10, 100, 5'000);
  if (Request.FirstTokenBy == TimePoint::max() || Request.Resumed)
    return {ErrorKind::NoCapacity, "no endpoint had room in time",
            "send the request again later", "", milliseconds(RetryAfterMs)};
  return {ErrorKind::DeadlineExceeded,
          "the target for the first token cannot be met any more",
          "send the request again later", "", milliseconds(RetryAfterMs)};
}

FairQueue::DispatchResult Scheduler::place(const std::string &RequestId,
                                           TimePoint Now,
                                           std::vector<ScheduleDecision> &Out) {
  const auto It = Waiting.find(RequestId);
  const ScheduleRequest &Request = It->second.Request;
  const bool Dequeued = Request.PlainCall ? placePlainCall(Request, Now, Out)
                                          : placeCompletion(Request, Now, Out);
  // Without selectors every request of the pool has the same candidates. The
  // first one waits for capacity, so that smaller ones cannot overtake it.
  if (!Dequeued)
    return HasSelectors ? FairQueue::DispatchResult::Blocked
                        : FairQueue::DispatchResult::PoolBlocked;
  WaitingByDeadline.erase({It->second.Deadline, RequestId});
  if (--QueuedPerAccount[Request.Account] == 0)
    QueuedPerAccount.erase(Request.Account);
  Waiting.erase(It);
  return FairQueue::DispatchResult::Dequeued;
}

bool Scheduler::placePlainCall(const ScheduleRequest &Request, TimePoint Now,
                               std::vector<ScheduleDecision> &Out) {
  const std::vector<Endpoint *> &Eligible = candidates(Request).Service;
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *Eligible[I];
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
      Options.Placement->choose(Eligible.size(), CostOf, Random);
  if (Choice == PlacementStrategy::None)
    return false;
  Endpoint &Chosen = *Eligible[Choice];
  checkInvariants(Chosen, Request, Now);
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
  const Candidates &Eligible = candidates(Request);
  Endpoint *Prefill = choosePrefill(Eligible, Request, Now);
  if (Prefill == nullptr)
    return false;
  const std::uint32_t Uncached = uncachedTokens(*Prefill, Request);
  const milliseconds PrefillTime = Prefill->View.prefillTime(Uncached);
  const milliseconds Transfer = transferTime(*Prefill, Request.PromptTokens);
  const milliseconds NeededIn = PrefillTime + Transfer;
  Endpoint *Decode = chooseDecode(Eligible, Request, NeededIn, Now);
  if (Decode == nullptr)
    return false;
  if (!Request.Resumed && Request.FirstTokenBy != TimePoint::max() &&
      Now + NeededIn > Request.FirstTokenBy) {
    Out.emplace_back(ScheduleRefusal{Request.RequestId, expiryError(Request)});
    return true;
  }
  checkInvariants(*Prefill, Request, Now);
  checkInvariants(*Decode, Request, Now);
  charge(Request);
  startWork(Request.RequestId, true, *Decode, 0,
            pieces(Request.PromptTokens + Request.MaxTokens));
  startWork(Request.RequestId, false, *Prefill, Uncached, 0);
  SchedulePlacement P;
  P.RequestId = Request.RequestId;
  P.Decode = Decode->Config.name();
  P.Prefill = Prefill->Config.name();
  P.ReserveFirst = Options.Scheduling->reservesBeforePrefill();
  P.NeededIn = Options.Scheduling->reservationLeadTime(NeededIn);
  P.ReserveWait = MaxReserveWait;
  if (Request.FirstTokenBy != TimePoint::max() && !Request.Resumed)
    P.ReserveWait = std::clamp(std::chrono::duration_cast<milliseconds>(
                                   Request.FirstTokenBy - Now - NeededIn),
                               milliseconds(0), MaxReserveWait);
  P.PrefillEstimate = PrefillTime;
  P.TransferEstimate = Transfer;
  P.Version = Config->version();
  Out.emplace_back(std::move(P));
  return true;
}

Scheduler::Endpoint *Scheduler::choosePrefill(const Candidates &Eligible,
                                              const ScheduleRequest &Request,
                                              TimePoint Now) {
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *Eligible.Prefill[I];
    if (!E.InService || !E.View.usable(Now))
      return -1.0;
    // An endpoint in cold start must not exceed its admission limit.
    if (E.View.cold() && E.View.usedSlots() >= E.View.slots())
      return -1.0;
    const milliseconds Time = E.View.prefillTime(uncachedTokens(E, Request)) +
                              transferTime(E, Request.PromptTokens);
    const double Cold = E.View.cold() ? ColdPenaltyMs : 0;
    const double Avoided = E.Config.name() == Request.AvoidEndpoint ? 1e6 : 0;
    return static_cast<double>(Time.count()) + Cold + Avoided;
  };
  const std::size_t Choice =
      Options.Placement->choose(Eligible.Prefill.size(), CostOf, Random);
  return Choice == PlacementStrategy::None ? nullptr : Eligible.Prefill[Choice];
}

Scheduler::Endpoint *Scheduler::chooseDecode(const Candidates &Eligible,
                                             const ScheduleRequest &Request,
                                             milliseconds NeededIn,
                                             TimePoint Now) {
  const std::uint32_t Pieces = pieces(Request.PromptTokens + Request.MaxTokens);
  const auto CostOf = [&](std::size_t I) {
    const Endpoint &E = *Eligible.Decode[I];
    if (!E.InService || !E.View.usable(Now) ||
        !Options.Scheduling->hasCapacity(E.View.decodeCapacity(Pieces, Now),
                                         NeededIn))
      return -1.0;
    const double Avoided = E.Config.name() == Request.AvoidEndpoint ? 1'000 : 0;
    return static_cast<double>(E.View.usedSlots()) /
               static_cast<double>(std::max<std::int64_t>(1, E.View.slots())) +
           Avoided;
  };
  const std::size_t Choice =
      Options.Placement->choose(Eligible.Decode.size(), CostOf, Random);
  return Choice == PlacementStrategy::None ? nullptr : Eligible.Decode[Choice];
}

std::uint32_t Scheduler::uncachedTokens(const Endpoint &Target,
                                        const ScheduleRequest &Request) const {
  if (!Target.View.reportsCachedPrefixes())
    return Request.PromptTokens;
  for (std::size_t Blocks = Request.Prefixes.size(); Blocks > 0; --Blocks)
    if (Target.View.hasCachedPrefix(Request.Prefixes[Blocks - 1]))
      return Request.PromptTokens -
             std::min(Request.PromptTokens, static_cast<std::uint32_t>(Blocks) *
                                                Request.PrefixBlockTokens);
  return Request.PromptTokens;
}

milliseconds Scheduler::transferTime(const Endpoint &Target,
                                     std::uint32_t Tokens) const {
  return Target.View.transferTime(
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

void Scheduler::checkInvariants(const Endpoint &Target,
                                const ScheduleRequest &Request,
                                TimePoint Now) const {
  Checks.check(
      Invariant::ZoneOut,
      Target.InService || Now - Target.OutOfServiceSince < OutOfServiceGrace,
      "an endpoint that is out of service is chosen", Request.RequestId);
  Checks.check(Invariant::LeavingEndpoint, !Target.View.leaving(),
               "a leaving endpoint is chosen", Request.RequestId);
}

void Scheduler::charge(const ScheduleRequest &Request) {
  if (Request.Resumed && Charges.contains(Request.RequestId))
    return;
  const double Weight = std::max(1.0, Request.Weight);
  const double Cost =
      Request.PlainCall
          ? PlainCallCost
          : Request.PromptTokens + OutputTokenCost * Request.MaxTokens;
  Charges.insert_or_assign(Request.RequestId,
                           Charge{Request.Account, Weight, Request.MaxTokens});
  chargeAccount(Request.Account, Cost / Weight);
}

void Scheduler::chargeAccount(const std::string &Account, double Cost) {
  Counters.charge(Account, Cost);
  for (auto &[Name, Pool] : Pools)
    Pool.Queue.reposition(Account);
}

void Scheduler::completed(std::string_view RequestId,
                          std::uint32_t OutputTokens) {
  releaseWork(RequestId, true);
  releaseWork(RequestId, false);
  const auto It = Charges.find(RequestId);
  if (It == Charges.end())
    return;
  const Charge Charged = It->second;
  Charges.erase(It);
  if (OutputTokens < Charged.MaxTokens)
    chargeAccount(Charged.Account, -OutputTokenCost *
                                       (Charged.MaxTokens - OutputTokens) /
                                       Charged.Weight);
}

void Scheduler::startWork(const std::string &RequestId, bool Decode,
                          Endpoint &Target, std::uint32_t Tokens,
                          std::uint32_t Pieces) {
  releaseWork(RequestId, Decode);
  Work.emplace(
      placedWorkKey(RequestId, Decode),
      PlacedWork{Target.Config.name(), Target.View.addWork(Tokens, Pieces)});
}

void Scheduler::releaseWork(std::string_view RequestId, bool Decode) {
  const auto It = Work.find(placedWorkKey(RequestId, Decode));
  if (It == Work.end())
    return;
  Endpoints.at(It->second.Endpoint)->View.removeWork(It->second.Local);
  Work.erase(It);
}

void Scheduler::workEnded(std::string_view RequestId, bool Decode,
                          std::string_view Endpoint, ScheduledEnd Outcome,
                          TimePoint Now) {
  releaseWork(RequestId, Decode);
  const auto Target = Endpoints.find(Endpoint);
  if (Target == Endpoints.end())
    return;
  EndpointView &View = Target->second->View;
  if (Outcome == ScheduledEnd::Refused)
    View.markFull(Now + FullBackoff);
  if (Outcome == ScheduledEnd::Failed)
    View.markFailed(Now + FailedBackoff);
}

std::size_t Scheduler::queued(wire::RouteClass Class) const {
  std::size_t Sum = 0;
  for (const auto &[Name, Pool] : Pools)
    Sum += Pool.Queue.size(Class);
  return Sum;
}

} // namespace hyssoprail
