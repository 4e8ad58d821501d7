#include <algorithm>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// A longer time between two ticks means that this process was paused; the
/// entries' messages of that time have not been read yet.
constexpr milliseconds PauseGap{500};

/// A status call without any result by then is repeated.
constexpr milliseconds StatusPatience{1'500};

/// Sessions of silent entries are kept for this long, so that their delayed
/// messages are still recognised as stale.
constexpr milliseconds SessionKeep{60'000};

} // namespace

void AgentCore::remember(const WorkKey &Key, Ended Record, TimePoint Now) {
  Record.At = Now;
  if (auto Owner = Entries.find(Record.Entry); Owner != Entries.end())
    Owner->second.Unread.insert(Key);
  EndedOrder.emplace_back(Now, Key);
  EndedWork[Key] = std::move(Record);
}

void AgentCore::detach(Work &W) {
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end())
    Owner->second.Live.erase(W.Key);
  W.Entry = 0;
}

void AgentCore::closeCall(Work &W) {
  if (W.Call != 0)
    Calls.erase(W.Call);
  W.Call = 0;
  OpenCalls -= W.Open ? 1 : 0;
  W.Open = false;
}

void AgentCore::leaveEngine(Work &W) {
  closeCall(W);
  Running -= W.OnEngine ? 1 : 0;
  W.OnEngine = false;
  Dirty = true;
}

void AgentCore::removeWork(Work &W) {
  leaveEngine(W);
  unhold(W);
  detach(W);
  Queue.remove(W.Key);
  if (W.Phase == State::Promised)
    Promises.erase({W.Due, engineWorkId(W.Key)});
  const WorkKey Key = W.Key;
  Works.erase(Key);
}

void AgentCore::endWork(Work &W, wire::Envelope Result, TimePoint Now) {
  LastResult = Now;
  Ended Record;
  Record.Entry = W.Entry;
  Record.Result = std::move(Result);
  Record.FirstIndex = W.FirstIndex;
  Record.Tokens = std::move(W.Tokens);
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end()) {
    Record.SentTo = Owner->second.Peer;
    send(Owner->second, Record.Result);
  }
  // Replies of calls are kept by the outcome store.
  if (!Record.Result.has_call_reply())
    remember(W.Key, std::move(Record), Now);
  removeWork(W);
}

void AgentCore::giveUp(Work &W, wire::RefusalReason Reason,
                       std::string_view Why, bool Tell, TimePoint Now) {
  if (W.Phase == State::Cancelling)
    return;
  const bool OnEngine = W.Phase == State::Prefilling ||
                        W.Phase == State::HoldingKv ||
                        W.Phase == State::Decoding || W.Phase == State::Calling;
  note(EventKind::GrantReleased, W.Key, W.Account, Why);
  if (W.Phase == State::Calling && !W.Start->call_start().repeatable()) {
    // The call cannot be taken back; its outcome is still recorded.
    detach(W);
    return;
  }
  if (!EndedWork.contains(W.Key)) {
    Ended Record;
    Record.Entry = W.Entry;
    wire::Failed &Failure = *Record.Result.mutable_failed();
    *Failure.mutable_work() = workRef(W.Key);
    Failure.set_reason(Reason);
    Failure.set_not_run(!OnEngine);
    Failure.set_message(std::string(Why));
    if (auto Owner = Entries.find(W.Entry); Tell && Owner != Entries.end()) {
      LastResult = Now;
      Record.SentTo = Owner->second.Peer;
      send(Owner->second, Record.Result);
    }
    remember(W.Key, std::move(Record), Now);
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
  detach(W);
  closeCall(W);
  W.Phase = State::Cancelling;
  W.Call = ++LastCall;
  W.Deadline = Now + Options.CancelRetry;
  Calls[W.Call] = W.Key;
  Actions.emplace_back(CancelCall{W.Call, engineWorkId(W.Key)});
}

void AgentCore::expireLeases(TimePoint Now) {
  for (auto It = Entries.begin(); It != Entries.end();) {
    Entry &E = It->second;
    const Duration Silence = Now - E.LastHeard;
    if (Silence >= Options.Lease && !E.Live.empty()) {
      ++Counts.LeasesExpired;
      note(EventKind::LeaseExpired, {}, {}, "an entry is silent");
      const std::vector<WorkKey> Owned(E.Live.begin(), E.Live.end());
      for (const WorkKey &Key : Owned)
        giveUp(Works.at(Key), wire::REFUSAL_REASON_STALE,
               "the entry's lease expired", false, Now);
    }
    if (Silence > SessionKeep && E.Live.empty())
      It = Entries.erase(It);
    else
      ++It;
  }
  for (const Work *W : Holders) {
    auto Owner = Entries.find(W->Entry);
    Checks.check(
        Invariant::NoOrphanedMemory,
        Owner == Entries.end() ||
            Now - Owner->second.LastHeard <= Options.Lease + Options.Heartbeat,
        "memory is held for an entry whose lease expired", W->Key.RequestId);
  }
}

void AgentCore::expireWork(TimePoint Now) {
  std::vector<WorkKey> Late;
  for (const auto &[Key, W] : Works)
    if (W.Deadline != TimePoint{} && Now >= W.Deadline)
      Late.push_back(Key);
  for (const WorkKey &Key : Late) {
    Work &W = Works.at(Key);
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
      break; // the call has its own timeout
    case State::HoldingKv:
      giveUp(W, wire::REFUSAL_REASON_TIMEOUT, "the KV cache expired", false,
             Now);
      break;
    default:
      giveUp(W, wire::REFUSAL_REASON_TIMEOUT, "the time for it is over", true,
             Now);
    }
  }
}

void AgentCore::expireEnded(TimePoint Now) {
  while (!EndedOrder.empty() &&
         (Now - EndedOrder.front().first > Options.EndedKeep ||
          EndedOrder.size() > Options.EndedLimit)) {
    const auto [At, Key] = EndedOrder.front();
    EndedOrder.pop_front();
    auto It = EndedWork.find(Key);
    if (It == EndedWork.end() || It->second.At != At)
      continue;
    if (auto Owner = Entries.find(It->second.Entry); Owner != Entries.end())
      Owner->second.Unread.erase(Key);
    EndedWork.erase(It);
  }
  Outcomes.expire(Now);
}

void AgentCore::onTick(TimePoint Now) {
  const bool Paused = Now - LastTick > PauseGap;
  LastTick = Now;
  if (Paused)
    Orders.processPaused(Now);
  if (Options.Kind == AgentKind::Engine) {
    const bool Waits = StatusCall != 0 && Now - StatusAsked < StatusPatience;
    if (!Waits && Now - StatusAsked >= Options.StatusInterval)
      query(EngineQuery::Status, Now);
    if (EngineUp && Now - HeldAsked >= Options.HeldInterval)
      query(EngineQuery::Held, Now);
    if (EngineUp && Now - LoadAsked >= Options.HeldInterval)
      query(EngineQuery::Load, Now);
  }
  if (!Paused) {
    expireLeases(Now);
    expireWork(Now);
  }
  expireEnded(Now);
  giveOrders(Now);
  Dirty = true;
  settle(Now);
}

} // namespace hyssoprail
