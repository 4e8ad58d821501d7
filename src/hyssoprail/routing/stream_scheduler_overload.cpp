// The part of StreamScheduler that decides by OverloadPolicy.
#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::routing {
namespace {

/// Share of the room that is promised. The rest is left for fresh requests,
/// which would otherwise all have to come twice.
constexpr double PromisedShare = 0.5;

/// Largest share of the decode engines that are kept free for requests which
/// missed their turn. With less, the largest requests are served less than half
/// as often as all.
constexpr double MaxKeptShare = 0.5;

} // namespace

bool StreamScheduler::usesPolicy(std::string_view Service,
                                 const Pool &Engines) const {
  if (overloadPolicyConfigured(Options.Overload, *Config, Service))
    return true;
  const auto Uneven = [](const Endpoint *E) { return E->SpeedFactor != 1; };
  return Options.Overload == OverloadMode::Auto &&
         (std::any_of(Engines.Decode.begin(), Engines.Decode.end(), Uneven) ||
          std::any_of(Engines.Prefill.begin(), Engines.Prefill.end(), Uneven));
}

std::map<StreamScheduler::PoolKey, std::vector<const StreamScheduler::Queued *>>
StreamScheduler::queuesUnderPolicy(std::map<PoolKey, Pool> &Pools,
                                   TimePoint Now) {
  std::map<PoolKey, std::vector<const Queued *>> Out;
  if (Options.Overload == OverloadMode::Arrival)
    return Out;
  std::map<PoolKey, bool> InForce;
  for (const auto &[Id, Q] : Waiting) {
    const PoolKey Key(Q.Request.Service, Q.Request.Version);
    const auto [It, New] = InForce.try_emplace(Key);
    if (New) {
      const auto Engines =
          Pools.emplace(Key, makePool(Key.first, Key.second, Now)).first;
      It->second = usesPolicy(Key.first, Engines->second);
    }
    if (It->second)
      Out[Key].push_back(&Q);
  }
  return Out;
}

OverloadInput StreamScheduler::overloadInput(const Queued &Q,
                                             double RunSeconds) const {
  const StreamRequest &R = Q.Request;
  return {.Id = R.Id,
          .Priority =
              std::min(R.Priority, Q.PromisedPriority.value_or(R.Priority)),
          .RoutePriority = R.RoutePriority,
          .Promised = Q.PromisedPriority.has_value(),
          .Returns = R.IsRetry && !R.Began && !Q.PromisedPriority,
          .BeyondQuota = R.BeyondQuota,
          .Began = R.Began,
          .AccountLoad = accountLoad(R.Account),
          .Work = requiredKvTokens(R) * RunSeconds,
          .Arrival = R.Arrival,
          .ObjectiveDeadline = R.ObjectiveDeadline,
          .GiveUpAt = R.GiveUpAt};
}

/// Decides on the queue of one service, in the order of the policy.
class StreamScheduler::PolicyRound {
public:
  PolicyRound(StreamScheduler &Owner, const std::vector<const Queued *> &Queue,
              Pool &Engines, OverloadState &State, TimePoint Now)
      : Owner(Owner), Queue(Queue), Engines(Engines), State(State), Now(Now) {
    double Fastest = 0;
    for (const Endpoint *E : Engines.Decode)
      Fastest = std::max(Fastest, E->SpeedFactor);
    setCapacity(Fastest);
    const double RunSeconds =
        Owner.MeanRunSeconds / (Fastest > 0 ? Fastest : 1);
    Inputs.reserve(Queue.size());
    for (const Queued *Q : Queue)
      Inputs.push_back(Owner.overloadInput(*Q, RunSeconds));
    sortByAge();
    Decided.resize(Queue.size());
    for (const auto &[Key, Tokens] : State.Returns.due(Now))
      Promises.push_back({Key.first, Owner.accountLoad(Key.second), Tokens});
    std::erase_if(State.PassedOver, [&](const std::string &Id) {
      return !Owner.Waiting.contains(Id);
    });
  }

  void run(std::vector<StreamDecision> &Out, std::vector<std::string> &Done) {
    const std::vector<std::size_t> Order =
        OverloadPolicy::order(Inputs, Capacity.TimeToFirstEvent, Now);
    serveOwed(Order, Out);
    for (const std::size_t I : Order) {
      serveLongestWaiting(Out);
      if (!Decided[I])
        decide(I, Out);
    }
    for (std::size_t I = 0; I < Queue.size(); ++I)
      if (Decided[I])
        Done.push_back(Queue[I]->Request.Id);
  }

private:
  /// Room for callers that may return now or have returned.
  struct PromisedRoom {
    int Priority = 0;
    double AccountLoad = 0;
    double Tokens = 0;
  };

  /// \p Fastest is the largest speed factor of the decode engines, 0 if there
  /// are none.
  void setCapacity(double Fastest) {
    Capacity.TokensPerSecond = static_cast<double>(Engines.Bound) *
                               Engines.DecodeSpeed / Owner.MeanRunSeconds;
    Capacity.AllArrivals = State.Arrivals.all(Now);
    Capacity.TimeToFirstEvent =
        Fastest > 0
            ? std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(TimeToFirstEvent) / Fastest)
            : Duration(TimeToFirstEvent);
  }

  void sortByAge() {
    ByAge.resize(Queue.size());
    std::iota(ByAge.begin(), ByAge.end(), std::size_t{0});
    std::sort(ByAge.begin(), ByAge.end(), [&](std::size_t A, std::size_t B) {
      return std::tie(Inputs[A].Arrival, Inputs[A].Id) <
             std::tie(Inputs[B].Arrival, Inputs[B].Id);
    });
  }

  bool canBeOnTime(std::size_t I) const {
    return OverloadPolicy::canBeOnTime(Inputs[I], Capacity.TimeToFirstEvent,
                                       Now);
  }

  /// True if there were enough other dispatches for one more turn of a longest
  /// waiting request. Each that had its turn but still waits for room has used
  /// up as many.
  bool isTurnDue() const {
    return State.DispatchesSinceTurn >=
           (Kept.size() + Missed.size() + 1) * (OverloadPolicy::FairTurn - 1);
  }

  bool hasKeptEngine(std::size_t I) const {
    return std::any_of(Kept.begin(), Kept.end(),
                       [&](const auto &K) { return K.first == I; });
  }

  bool isOvertaken(std::size_t I) const {
    return Inputs[I].Arrival < State.LastDispatchedArrival;
  }

  /// Serves the longest waiting of the overtaken requests while it is their
  /// turn. One that fits nowhere misses its turn; an engine is kept for it once
  /// another request was dispatched instead.
  void serveLongestWaiting(std::vector<StreamDecision> &Out) {
    for (; NextByAge < ByAge.size() && isTurnDue(); ++NextByAge) {
      const std::size_t I = ByAge[NextByAge];
      if (Decided[I])
        continue;
      if (!isOvertaken(I))
        return;
      if (tryPlace(I, Out, true))
        continue;
      if (State.PassedOver.contains(Queue[I]->Request.Id))
        keepEngineFor(I);
      else
        Missed.push_back(I);
    }
  }

  /// Serves the first request of each priority that is owed a dispatch, before
  /// all others, but for room that is promised. One that fits nowhere waits for
  /// the next room.
  void serveOwed(const std::vector<std::size_t> &Order,
                 std::vector<StreamDecision> &Out) {
    std::set<int> Seen;
    for (const std::size_t I : Order) {
      const int Priority = Queue[I]->Request.Priority;
      if (!Seen.insert(Priority).second || !State.Shares.isOwed(Priority, Now))
        continue;
      if (!tryPlace(I, Out, false))
        Owed.push_back(I);
    }
  }

  bool isOwed(std::size_t I) const {
    return std::find(Owed.begin(), Owed.end(), I) != Owed.end();
  }

  void keepEngineFor(std::size_t I) {
    const std::size_t MaxKept = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               MaxKeptShare * static_cast<double>(Engines.Decode.size())));
    const Endpoint *Emptiest = nullptr;
    if (Kept.size() >= MaxKept)
      return;
    for (const Endpoint *E : Engines.Decode)
      if (!isKeptForAny(E) &&
          (!Emptiest || E->totalLoad().Tokens < Emptiest->totalLoad().Tokens))
        Emptiest = E;
    if (Emptiest)
      Kept.emplace_back(I, Emptiest);
  }

  bool isKeptForAny(const Endpoint *E) const {
    return std::any_of(Kept.begin(), Kept.end(),
                       [&](const auto &K) { return K.second == E; });
  }

  /// Engines on which request \p I must not be placed. Work that is on time and
  /// more urgent than the one that an engine is kept for may use it.
  std::vector<const Endpoint *> enginesClosedTo(std::size_t I) const {
    std::vector<const Endpoint *> Out;
    for (const auto &[For, E] : Kept)
      if (For != I &&
          !(canBeOnTime(I) && Inputs[I].Priority < Inputs[For].Priority))
        Out.push_back(E);
    return Out;
  }

  /// True if the room is promised to callers of higher order that may return
  /// now, or that have returned and wait.
  bool isPromisedToOthers(std::size_t I) const {
    const OverloadInput &R = Inputs[I];
    const bool OnTime = canBeOnTime(I);
    double Promised = 0;
    for (const PromisedRoom &P : Promises)
      if (!OnTime || P.Priority < R.Priority ||
          (P.Priority == R.Priority && P.AccountLoad <= R.AccountLoad &&
           !R.Promised && !R.Began))
        Promised += P.Tokens;
    return Promised > 0 &&
           static_cast<double>(Engines.Free -
                               requiredKvTokens(Queue[I]->Request)) < Promised;
  }

  bool tryPlace(std::size_t I, std::vector<StreamDecision> &Out, bool IsTurn) {
    const StreamRequest &Request = Queue[I]->Request;
    if (requiredKvTokens(Request) > Engines.Bound)
      return false;
    Endpoint *Decode =
        Owner.chooseDecode(Request, Engines, Now, enginesClosedTo(I));
    if (!Decode || (!IsTurn && isPromisedToOthers(I)))
      return false;
    recordDispatch(I, IsTurn);
    Out.push_back(Owner.place(Request, Engines, *Decode, Now));
    Decided[I] = true;
    return true;
  }

  /// Counts the dispatch of request \p I for the turns of the longest waiting
  /// requests; \p IsTurn: it was one of them.
  void recordDispatch(std::size_t I, bool IsTurn) {
    // Bounded, so that a long queue does not accumulate turns.
    constexpr unsigned MaxDispatches = 4 * OverloadPolicy::FairTurn;
    if (IsTurn)
      State.DispatchesSinceTurn -=
          std::min(State.DispatchesSinceTurn, OverloadPolicy::FairTurn - 1);
    else {
      State.DispatchesSinceTurn =
          std::min(State.DispatchesSinceTurn + 1, MaxDispatches);
      for (const std::size_t Other : Missed)
        if (Other != I)
          State.PassedOver.insert(Queue[Other]->Request.Id);
    }
    State.Shares.served(Queue[I]->Request.Priority, Now);
    State.LastDispatchedArrival =
        std::max(State.LastDispatchedArrival, Inputs[I].Arrival);
  }

  /// Sets the time at which the caller finds room, or else the latest allowed
  /// one. Returns true if room is promised.
  bool promiseReturn(std::size_t I, StreamRefusal &Refusal) {
    const StreamRequest &Request = Queue[I]->Request;
    const Duration Longest = Owner.maxRetryAfter(Request, Now);
    const Duration Soonest = std::min<Duration>(MinRetryAfter, Longest);
    const double Rate = OverloadPolicy::remainingRate(
        Capacity.TokensPerSecond,
        State.Arrivals.moreUrgentThan(Inputs[I].Priority, Now));
    const std::optional<TimePoint> At = State.Returns.promise(
        {Request.Account, Request.PromptTokens, Request.Priority,
         static_cast<double>(requiredKvTokens(Request))},
        Rate * PromisedShare, Now + Soonest, Now + Longest, Now);
    Refusal.RetryAfter =
        std::chrono::duration_cast<milliseconds>(At ? *At - Now : Longest);
    return At.has_value();
  }

  void refuse(std::size_t I, StreamRefusalReason Reason, Duration Wait,
              std::vector<StreamDecision> &Out) {
    StreamRefusal Refusal =
        Owner.makeRefusal(Queue[I]->Request, Reason, Wait, Now);
    const bool Promised =
        Reason != StreamRefusalReason::TooLarge && promiseReturn(I, Refusal);
    Refusal.Inputs = RefusalInputs{AheadRequests + 1, Inputs[I].Work, Promised};
    Out.push_back(std::move(Refusal));
    Decided[I] = true;
  }

  void decide(std::size_t I, std::vector<StreamDecision> &Out) {
    const StreamRequest &Request = Queue[I]->Request;
    const std::int64_t Tokens = requiredKvTokens(Request);
    if (Tokens > Engines.Bound)
      return refuse(I, StreamRefusalReason::TooLarge, {}, Out);
    if (tryPlace(I, Out, hasKeptEngine(I)))
      return;
    const Duration Wait = expectedWait(I, Tokens);
    if (Now + MinServiceTime >= Request.GiveUpAt)
      return refuse(I, StreamRefusalReason::WaitedTooLong, Wait, Out);
    if (!hasKeptEngine(I) && !isOwed(I) &&
        OverloadPolicy::mustRefuse(Inputs[I], Wait, Now))
      return refuse(I, StreamRefusalReason::QueueTooLong, Wait, Out);
    AheadTokens += Tokens;
    ++AheadRequests;
    if (Inputs[I].Promised)
      Promises.push_back({Inputs[I].Priority, Inputs[I].AccountLoad,
                          static_cast<double>(Tokens)});
  }

  Duration expectedWait(std::size_t I, std::int64_t Tokens) {
    if (Engines.Decode.empty())
      return Owner.expectedWait(Queue[I]->Request, Engines,
                                {AheadTokens, AheadRequests}, Now);
    Capacity.UrgentArrivals =
        State.Arrivals.moreUrgentThan(Inputs[I].Priority, Now);
    return OverloadPolicy::expectedWait(
        Inputs[I], static_cast<double>(Tokens + AheadTokens - Engines.Free),
        Capacity, Now);
  }

  StreamScheduler &Owner;
  const std::vector<const Queued *> &Queue;
  Pool &Engines;
  OverloadState &State;
  TimePoint Now;
  OverloadCapacity Capacity;
  std::vector<OverloadInput> Inputs;
  std::vector<std::size_t> ByAge; ///< positions, longest waiting first
  std::size_t NextByAge = 0;      ///< all before it in ByAge had their turn
  std::vector<bool> Decided;
  /// Requests with the engines that are kept free for them.
  std::vector<std::pair<std::size_t, const Endpoint *>> Kept;
  std::vector<std::size_t> Missed; ///< had their turn but fit nowhere
  std::vector<std::size_t> Owed;   ///< of serveOwed(), fit nowhere
  std::vector<PromisedRoom> Promises;
  std::int64_t AheadTokens = 0;
  std::size_t AheadRequests = 0;
};

void StreamScheduler::decideByPolicy(std::string_view Service,
                                     const std::vector<const Queued *> &Queue,
                                     Pool &Engines, TimePoint Now,
                                     std::vector<StreamDecision> &Out,
                                     std::vector<std::string> &Done) {
  const auto State = Overloads.try_emplace(std::string(Service)).first;
  PolicyRound(*this, Queue, Engines, State->second, Now).run(Out, Done);
}

} // namespace hyssoprail::routing
