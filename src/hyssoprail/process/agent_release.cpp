#include <algorithm>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// A longer time between two ticks means that this process was paused. Messages
/// that entries sent meanwhile have not been read yet.
constexpr milliseconds PauseThreshold{500};

/// A status query without a result is repeated after this time.
constexpr milliseconds StatusTimeout{1'500};

/// Sessions of silent entries are kept for this long so that their delayed
/// messages are still recognized as stale.
constexpr milliseconds SessionRetention{60'000};

} // namespace

void AgentCore::retainResult(const WorkKey &Key, RetainedResult Record,
                             TimePoint Now) {
  Record.At = Now;
  if (auto Owner = Entries.find(Record.Entry); Owner != Entries.end())
    Owner->second.Unconfirmed.insert(Key);
  RetentionOrder.emplace_back(Now, Key);
  RetainedResults[Key] = std::move(Record);
}

void AgentCore::detachFromEntry(Work &W) {
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end())
    Owner->second.Live.erase(W.Key);
  W.Entry = 0;
}

void AgentCore::closeCall(Work &W) {
  if (W.Call != 0)
    WorkByCall.erase(W.Call);
  W.Call = 0;
  OpenCalls -= W.ConnectionOpen ? 1 : 0;
  W.ConnectionOpen = false;
}

void AgentCore::markOffEngine(Work &W) {
  closeCall(W);
  Running -= W.OnEngine ? 1 : 0;
  W.OnEngine = false;
  DispatchNeeded = true;
}

void AgentCore::removeWork(Work &W) {
  markOffEngine(W);
  release(W);
  detachFromEntry(W);
  Queue.remove(W.Key);
  if (W.Phase == State::AdvanceReserved)
    AdvanceReservations.erase({W.NeededAt, engineWorkId(W.Key)});
  const WorkKey Key = W.Key;
  ActiveWork.erase(Key);
}

void AgentCore::finishWork(Work &W, wire::Envelope Result, TimePoint Now) {
  LastResult = Now;
  RetainedResult Record;
  Record.Entry = W.Entry;
  Record.Result = std::move(Result);
  Record.FirstIndex = W.FirstIndex;
  Record.Tokens = std::move(W.Tokens);
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end()) {
    Record.SentTo = Owner->second.Peer;
    send(Owner->second, Record.Result);
  }
  // CallOutcomes keeps the replies of service calls.
  if (!Record.Result.has_call_reply())
    retainResult(W.Key, std::move(Record), Now);
  removeWork(W);
}

void AgentCore::cancelWork(Work &W, wire::RefusalReason Reason,
                           std::string_view Cause, bool NotifyEntry,
                           TimePoint Now) {
  if (W.Phase == State::Cancelling)
    return;
  const bool OnEngine = W.Phase == State::Prefilling ||
                        W.Phase == State::HoldingKv ||
                        W.Phase == State::Decoding || W.Phase == State::Calling;
  recordEvent(EventKind::GrantReleased, W.Key, W.Account, Cause);
  if (W.Phase == State::Calling && !W.Start->call_start().repeatable()) {
    // The call cannot be undone. Its outcome is still recorded when it ends.
    detachFromEntry(W);
    return;
  }
  if (!RetainedResults.contains(W.Key)) {
    RetainedResult Record;
    Record.Entry = W.Entry;
    wire::Failed &Failure = *Record.Result.mutable_failed();
    *Failure.mutable_work() = workRef(W.Key);
    Failure.set_reason(Reason);
    Failure.set_not_run(!OnEngine);
    Failure.set_message(std::string(Cause));
    if (auto Owner = Entries.find(W.Entry);
        NotifyEntry && Owner != Entries.end()) {
      LastResult = Now;
      Record.SentTo = Owner->second.Peer;
      send(Owner->second, Record.Result);
    }
    retainResult(W.Key, std::move(Record), Now);
  }
  if (W.Phase == State::QueuedCall)
    Outcomes.recordNotRun(W.Key.RequestId, W.Key.Attempt, Now);
  if (W.Phase == State::Calling)
    Outcomes.recordResult(W.Key.RequestId, wire::CALL_OUTCOME_UNKNOWN, {}, Now);
  if (W.Call != 0)
    Actions.emplace_back(AbandonCall{W.Call});
  if (!OnEngine || W.Phase == State::Calling) {
    removeWork(W);
    return;
  }
  cancelOnEngine(W, Now);
}

void AgentCore::cancelOnEngine(Work &W, TimePoint Now) {
  detachFromEntry(W);
  closeCall(W);
  W.Phase = State::Cancelling;
  W.Call = ++LastCall;
  W.Deadline = Now + Options.CancelRetryInterval;
  WorkByCall[W.Call] = W.Key;
  Actions.emplace_back(CancelCall{W.Call, engineWorkId(W.Key)});
}

void AgentCore::expireLeases(TimePoint Now) {
  for (auto It = Entries.begin(); It != Entries.end();) {
    Entry &E = It->second;
    const Duration Silence = Now - E.LastHeard;
    if (Silence >= Options.LeaseTimeout && !E.Live.empty()) {
      ++Counts.LeasesExpired;
      recordEvent(EventKind::LeaseExpired, {}, {}, "an entry is silent");
      const std::vector<WorkKey> Keys(E.Live.begin(), E.Live.end());
      for (const WorkKey &Key : Keys)
        cancelWork(ActiveWork.at(Key), wire::REFUSAL_REASON_STALE,
                   "the entry's lease expired", false, Now);
    }
    if (Silence > SessionRetention && E.Live.empty())
      It = Entries.erase(It);
    else
      ++It;
  }
  for (const Work *W : CapacityHolders) {
    auto Owner = Entries.find(W->Entry);
    Checks.check(Invariant::NoOrphanedMemory,
                 Owner == Entries.end() ||
                     Now - Owner->second.LastHeard <=
                         Options.LeaseTimeout + Options.HeartbeatInterval,
                 "memory is held for an entry whose lease expired",
                 W->Key.RequestId);
  }
}

void AgentCore::expireWork(TimePoint Now) {
  std::vector<WorkKey> Expired;
  for (const auto &[Key, W] : ActiveWork)
    if (W.Deadline != TimePoint{} && Now >= W.Deadline)
      Expired.push_back(Key);
  for (const WorkKey &Key : Expired) {
    Work &W = ActiveWork.at(Key);
    switch (W.Phase) {
    case State::QueuedReserve:
      replyReserve(Entries.at(W.Entry), Key, false,
                   Ramp.cold() ? wire::REFUSAL_REASON_COLD
                               : wire::REFUSAL_REASON_FULL,
                   Now);
      removeWork(W);
      break;
    case State::Cancelling:
      cancelOnEngine(W, Now);
      break;
    case State::Calling:
      break; // the service call has its own timeout
    case State::HoldingKv:
      cancelWork(W, wire::REFUSAL_REASON_TIMEOUT, "the KV cache expired", false,
                 Now);
      break;
    default:
      cancelWork(W, wire::REFUSAL_REASON_TIMEOUT, "the time for it is over",
                 true, Now);
    }
  }
}

void AgentCore::expireResults(TimePoint Now) {
  while (!RetentionOrder.empty() &&
         (Now - RetentionOrder.front().first > Options.ResultRetention ||
          RetentionOrder.size() > Options.MaxRetainedResults)) {
    const auto [At, Key] = RetentionOrder.front();
    RetentionOrder.pop_front();
    auto It = RetainedResults.find(Key);
    if (It == RetainedResults.end() || It->second.At != At)
      continue;
    if (auto Owner = Entries.find(It->second.Entry); Owner != Entries.end())
      Owner->second.Unconfirmed.erase(Key);
    RetainedResults.erase(It);
  }
  Outcomes.expire(Now);
}

void AgentCore::onTick(TimePoint Now) {
  const bool Paused = Now - LastTick > PauseThreshold;
  LastTick = Now;
  if (Paused)
    Orders.processPaused(Now);
  if (Options.Kind == AgentKind::Engine) {
    const bool StatusPending =
        StatusCall != 0 && Now - StatusQueriedAt < StatusTimeout;
    if (!StatusPending && Now - StatusQueriedAt >= Options.StatusInterval)
      query(EngineQuery::Status, Now);
    if (EngineUp && Now - HeldQueriedAt >= Options.HeldInterval)
      query(EngineQuery::Held, Now);
    if (EngineUp && Now - LoadQueriedAt >= Options.HeldInterval)
      query(EngineQuery::Load, Now);
  }
  if (!Paused) {
    expireLeases(Now);
    expireWork(Now);
  }
  expireResults(Now);
  issueOrders(Now);
  DispatchNeeded = true;
  dispatch(Now);
}

} // namespace hyssoprail
