// Starts of admitted work on the engine.
#include <algorithm>
#include <chrono>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// A transfer may take this many times its predicted time.
constexpr double TransferSlack = 4;

/// Part of a transfer timeout that does not depend on its size.
constexpr milliseconds TransferFloor{1'000};

/// An engine stream that is silent for this long has failed.
constexpr milliseconds StreamSilence{10'000};

unsigned priorityOf(wire::RouteClass Class) {
  return static_cast<unsigned>(Class);
}

} // namespace

void AgentCore::settleStarts(TimePoint Now) {
  while (!Starts.empty() && Running < runLimit()) {
    const WorkKey Key = Starts.front();
    Starts.pop_front();
    auto It = Works.find(Key);
    if (It != Works.end() && It->second.Phase == State::StartWaiting)
      startDecode(It->second, Now);
  }
}

void AgentCore::markOnEngine(Work &W, TimePoint Now) {
  const unsigned Allowed = runLimit();
  // An engine answers a status query at once; a service has none, so its last
  // result counts for a while.
  const bool Answered = Options.Kind == AgentKind::Service &&
                        Now - LastSample < Options.ServiceIdleGrace;
  if (OpenCalls == 0 && !Answered) {
    Evidence = false;
    IdleSince = Now;
    if (Options.Kind == AgentKind::Engine)
      query(EngineQuery::Status, Now);
  }
  ++OpenCalls;
  W.Open = true;
  ++Running;
  RunningPeak = std::max(RunningPeak, Running);
  W.OnEngine = true;
  Checks.check(Invariant::ColdStartBound, Running <= Allowed,
               "more work was started than the cold-start limit allows",
               W.Key.RequestId);
}

void AgentCore::startPrefill(Work &W, TimePoint Now) {
  const wire::PrefillStart &Start = W.Start->prefill_start();
  Checks.check(Invariant::AtMostOnce, W.Call == 0 && !EndedWork.contains(W.Key),
               "a prefill was started twice", W.Key.RequestId);
  markOnEngine(W, Now);
  W.Phase = State::Prefilling;
  W.Call = ++LastCall;
  W.Created = Now;
  Calls[W.Call] = W.Key;
  note(EventKind::PrefillStarted, W.Key, W.Account, {});
  const auto Left = std::chrono::ceil<milliseconds>(W.Deadline - Now);
  Actions.emplace_back(PrefillCall{W.Call, engineWorkId(W.Key), Start.model(),
                                   Start.prompt(), Start.resumed_tokens(),
                                   priorityOf(Start.route_class()), Left});
  W.Start.reset();
}

void AgentCore::startDecode(Work &W, TimePoint Now) {
  const wire::DecodeStart &Start = W.Start->decode_start();
  Checks.check(Invariant::AtMostOnce, W.Call == 0 && !EndedWork.contains(W.Key),
               "a decode was started twice", W.Key.RequestId);
  markOnEngine(W, Now);
  W.Phase = State::Decoding;
  W.Call = ++LastCall;
  W.Created = Now;
  Calls[W.Call] = W.Key;
  milliseconds Transfer = Options.DefaultTransferTimeout;
  if (TransferMicrosPerPiece > 0)
    Transfer =
        TransferFloor + std::chrono::duration_cast<milliseconds>(
                            std::chrono::microseconds(static_cast<std::int64_t>(
                                TransferSlack * TransferMicrosPerPiece *
                                std::max(1U, piecesFor(W.PromptTokens)))));
  W.LegEnd = W.Deadline;
  W.Deadline = std::min(W.Deadline, Now + Transfer);
  note(EventKind::TransferStarted, W.Key, W.Account, {});
  Actions.emplace_back(DecodeCall{
      W.Call, engineWorkId(W.Key), Start.model(), Start.prompt(),
      Start.kv_handle(), Start.kv_source(), Start.max_tokens(),
      Start.first_index(), priorityOf(Start.route_class()), StreamSilence});
  W.Start.reset();
}

} // namespace hyssoprail
