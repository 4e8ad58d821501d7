// The part of StreamScheduler that keeps the queue and decides on its requests.
#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Callers honour a retry-after time up to this share of the time they have
/// left.
constexpr double MaxRetryAfterShare = 1.0 / 3;

/// Order of dispatch, lower ranks first: by priority of route and account, then
/// requests within their quotas, then retries, then requests that can still
/// meet their latency objective.
std::int32_t dispatchRank(const StreamRequest &Request, TimePoint Now) {
  constexpr std::int32_t RanksPerPriority = 8;
  const bool Late = Now + TimeToFirstEvent > Request.ObjectiveDeadline;
  return Request.Priority * RanksPerPriority + (Request.BeyondQuota ? 4 : 0) +
         (Request.IsRetry ? 0 : 2) + (Late ? 1 : 0);
}

} // namespace

// ---- Queue ----------------------------------------------------------------

void StreamScheduler::submit(StreamRequest Request) {
  if (Options.Overload != OverloadMode::Arrival && !Request.Began) {
    OverloadState &State = Overloads[Request.Service];
    State.Arrivals.record(Request.Priority, requiredKvTokens(Request),
                          Request.Arrival);
    if (!Request.IsRetry)
      State.Shares.arrived(Request.Priority, Request.Arrival);
  }
  Queued Q{std::move(Request), ++LastSerial, std::nullopt};
  const StreamRequest &R = Q.Request;
  const auto State = Overloads.find(R.Service);
  if (R.IsRetry && !R.Began && State != Overloads.end())
    Q.PromisedPriority =
        State->second.Returns.redeem(R.Account, R.PromptTokens, R.Arrival);
  std::string Id = R.Id;
  Waiting.insert_or_assign(std::move(Id), std::move(Q));
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
  std::map<PoolKey, Pool> Pools;
  std::vector<std::string> Done;
  const auto UnderPolicy = queuesUnderPolicy(Pools, Now);
  for (const auto &[Key, Queue] : UnderPolicy)
    decideByPolicy(Key.first, Queue, Pools.at(Key), Now, Out, Done);
  QueueAhead Ahead;
  for (const StreamRequest *Request : dispatchOrder(Now)) {
    const PoolKey Key(Request->Service, Request->Version);
    if (UnderPolicy.contains(Key))
      continue;
    auto Engines = Pools.find(Key);
    if (Engines == Pools.end())
      Engines = Pools.emplace(Key, makePool(Key.first, Key.second, Now)).first;
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

/// The latest retry-after time that the caller honours.
Duration StreamScheduler::maxRetryAfter(const StreamRequest &Request,
                                        TimePoint Now) {
  const Duration Left = std::max<Duration>(
      Request.Arrival + Request.CallerBudget - Now, Duration{0});
  return fromSeconds(seconds(Left) * MaxRetryAfterShare);
}

StreamRefusal StreamScheduler::makeRefusal(const StreamRequest &Request,
                                           StreamRefusalReason Reason,
                                           Duration ExpectedWait,
                                           TimePoint Now) const {
  const Duration MaxRetryAfter = maxRetryAfter(Request, Now);
  const Duration RetryAfter = std::clamp<Duration>(
      ExpectedWait, std::min<Duration>(MinRetryAfter, MaxRetryAfter),
      MaxRetryAfter);
  return {Request.Id, Reason,
          std::chrono::duration_cast<milliseconds>(RetryAfter), ExpectedWait,
          std::nullopt};
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
  const double Capacity =
      static_cast<double>(Engines.Bound) * Engines.DecodeSpeed;
  return fromSeconds(static_cast<double>(MissingTokens) * MeanRunSeconds /
                     Capacity);
}

} // namespace hyssoprail::routing
