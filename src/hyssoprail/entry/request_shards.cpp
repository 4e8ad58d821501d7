#include "hyssoprail/entry/request_shards.hpp"

#include <algorithm>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::entry {
namespace {

bool sameLeg(const LiveLeg &Left, const LiveLeg &Right) {
  return Left.Endpoint == Right.Endpoint &&
         Left.Work.attempt() == Right.Work.attempt() &&
         Left.Work.leg() == Right.Work.leg();
}

bool contains(const std::vector<LiveLeg> &Legs, const LiveLeg &Leg) {
  return std::any_of(Legs.begin(), Legs.end(),
                     [&](const LiveLeg &Other) { return sameLeg(Leg, Other); });
}

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

void RequestShards::accept(std::unique_ptr<RequestFlow> Flow,
                           Responder Answer) {
  const std::string Id = Flow->spec().RequestId;
  Shard &S = shard(Id);
  std::lock_guard Lock(S.Mutex);
  const auto [It, Added] = S.Requests.emplace(
      Id, Running{std::move(Flow), std::move(Answer), {}, TimePoint::max(), 0});
  ++Count;
  run(S, It, [](RequestFlow &F, TimePoint Now, FlowActions &Out) {
    F.start(Now, Out);
  });
}

void RequestShards::post(std::string_view RequestId, const FlowEvent &Event) {
  Shard &S = shard(RequestId);
  std::lock_guard Lock(S.Mutex);
  const auto It = S.Requests.find(RequestId);
  if (It != S.Requests.end())
    run(S, It, Event);
}

void RequestShards::postAll(const FlowEvent &Event) {
  for (Shard &S : Shards) {
    std::lock_guard Lock(S.Mutex);
    for (auto It = S.Requests.begin(); It != S.Requests.end();) {
      const auto Current = It++;
      run(S, Current, Event);
    }
  }
}

void RequestShards::tick() {
  const TimePoint Now = Time.now();
  for (Shard &S : Shards) {
    std::lock_guard Lock(S.Mutex);
    while (!S.Timers.empty() && S.Timers.begin()->first <= Now) {
      const auto It = S.Requests.find(S.Timers.begin()->second);
      S.Timers.erase(S.Timers.begin());
      if (It == S.Requests.end())
        continue;
      It->second.WakeAt = TimePoint::max();
      run(S, It, [](RequestFlow &F, TimePoint At, FlowActions &Out) {
        F.tick(At, Out);
      });
    }
  }
}

RequestShards::Shard &RequestShards::shard(std::string_view RequestId) {
  return Shards[stableHash(RequestId) % ShardCount];
}

void RequestShards::run(Shard &S, RequestMap::iterator It,
                        const FlowEvent &Event) {
  const TimePoint Now = Time.now();
  Running &R = It->second;
  FlowActions Actions;
  Event(*R.Flow, Now, Actions);
  while (!Actions.empty()) {
    updateLegs(R);
    FlowActions Batch;
    Batch.swap(Actions);
    carryOut(R, Batch, Now);
    // Answers that were known at once are among the new actions.
    Actions.swap(Batch);
  }
  updateLegs(R);
  const TimePoint WakeAt = R.Flow->wakeAt();
  if (WakeAt != R.WakeAt) {
    S.Timers.erase({R.WakeAt, It->first});
    R.WakeAt = WakeAt;
    if (WakeAt != TimePoint::max())
      S.Timers.emplace(WakeAt, It->first);
  }
  if (!R.Flow->finished())
    return;
  Ports.requestEnded(R.Flow->spec(), R.Emitted);
  S.Timers.erase({R.WakeAt, It->first});
  S.Requests.erase(It);
  --Count;
}

void RequestShards::carryOut(Running &R, FlowActions &Actions, TimePoint Now) {
  const FlowSpec &Spec = R.Flow->spec();
  FlowActions Next;
  for (FlowAction &Action : Actions)
    std::visit(
        Overloaded{[&](DebitAccount &A) {
                     if (auto Answer = Ports.debit(Spec, A.Tokens))
                       R.Flow->debited(*Answer, Now, Next);
                   },
                   [&](RefundTokens &A) { Ports.refund(Spec, A.Tokens); },
                   [&](FindPlacement &A) { Ports.schedule(Spec, A); },
                   [&](EndWork &A) { Ports.workEnded(Spec, A); },
                   [&](SendMessage &A) {
                     Ports.sendTo(A.Endpoint, std::move(A.Message));
                   },
                   [&](AppendClaim &A) { Ports.claim(Spec, A.Claim); },
                   [&](RecordOutcome &A) { Ports.recordOutcome(A.Outcome); },
                   [&](EmitTokens &A) {
                     R.Emitted += static_cast<std::uint32_t>(A.Tokens.size());
                     R.Answer.emit(A);
                   },
                   [&](FinishAnswer &A) { R.Answer.finish(A); },
                   [&](AnswerCall &A) { R.Answer.answer(A.Reply); },
                   [&](RefuseRequest &A) { R.Answer.refuse(A.Details); },
                   [&](AbortAnswer & /*A*/) { R.Answer.abort(); }},
        Action);
  Actions = std::move(Next);
}

void RequestShards::updateLegs(Running &R) {
  const std::vector<LiveLeg> &Current = R.Flow->liveLegs();
  for (const LiveLeg &Leg : Current)
    if (!contains(R.Legs, Leg))
      Live.add(Leg.Endpoint, Leg.Work);
  for (const LiveLeg &Leg : R.Legs)
    if (!contains(Current, Leg))
      Live.remove(Leg.Endpoint, Leg.Work);
  R.Legs = Current;
}

} // namespace hyssoprail::entry
