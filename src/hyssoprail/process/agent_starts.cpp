// Starts admitted work on the engine.
#include <algorithm>
#include <chrono>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Ratio of the transfer timeout to the predicted transfer time.
constexpr double TransferTimeoutFactor = 4;

/// Part of the transfer timeout that does not depend on the size.
constexpr milliseconds TransferTimeoutBase{1'000};

/// A decode stream that delivers nothing for this long has failed.
constexpr milliseconds StreamReadTimeout{10'000};

unsigned priorityOf(wire::RouteClass Class) {
  return static_cast<unsigned>(Class);
}

} // namespace

void AgentCore::dispatchDecodes(TimePoint Now) {
  while (!PendingDecodes.empty() && Running < runLimit()) {
    const WorkKey Key = PendingDecodes.front();
    PendingDecodes.pop_front();
    auto It = ActiveWork.find(Key);
    if (It != ActiveWork.end() && It->second.Phase == State::DecodePending)
      startDecode(It->second, Now);
  }
}

void AgentCore::markOnEngine(Work &W, TimePoint Now) {
  const unsigned Allowed = runLimit();
  // An engine answers a status query at once. A service has no status query, so
  // its last response counts for a while.
  const bool Answered = Options.Kind == AgentKind::Service &&
                        Now - LastSample < Options.ServiceIdleGrace;
  if (OpenCalls == 0 && !Answered) {
    LivenessConfirmed = false;
    LivenessUnknownSince = Now;
    if (Options.Kind == AgentKind::Engine)
      query(EngineQuery::Status, Now);
  }
  ++OpenCalls;
  W.ConnectionOpen = true;
  ++Running;
  RunningPeak = std::max(RunningPeak, Running);
  W.OnEngine = true;
  Checks.check(Invariant::ColdStartBound, Running <= Allowed,
               "more work was started than the cold-start limit allows",
               W.Key.RequestId);
}

void AgentCore::startPrefill(Work &W, TimePoint Now) {
  const wire::PrefillStart &Start = W.Start->prefill_start();
  Checks.check(Invariant::AtMostOnce,
               W.Call == 0 && !RetainedResults.contains(W.Key),
               "a prefill was started twice", W.Key.RequestId);
  markOnEngine(W, Now);
  W.Phase = State::Prefilling;
  W.Call = ++LastCall;
  W.Created = Now;
  WorkByCall[W.Call] = W.Key;
  recordEvent(EventKind::PrefillStarted, W.Key, W.Account, {});
  const auto Remaining = std::chrono::ceil<milliseconds>(W.Deadline - Now);
  Actions.emplace_back(PrefillCall{W.Call, engineWorkId(W.Key), Start.model(),
                                   Start.prompt(), Start.resumed_tokens(),
                                   priorityOf(Start.route_class()), Remaining});
  W.Start.reset();
}

void AgentCore::startDecode(Work &W, TimePoint Now) {
  const wire::DecodeStart &Start = W.Start->decode_start();
  Checks.check(Invariant::AtMostOnce,
               W.Call == 0 && !RetainedResults.contains(W.Key),
               "a decode was started twice", W.Key.RequestId);
  markOnEngine(W, Now);
  W.Phase = State::Decoding;
  W.Call = ++LastCall;
  W.Created = Now;
  WorkByCall[W.Call] = W.Key;
  milliseconds TransferTimeout = Options.DefaultTransferTimeout;
  if (TransferMicrosPerPiece > 0)
    TransferTimeout = TransferTimeoutBase +
                      std::chrono::duration_cast<milliseconds>(
                          std::chrono::microseconds(static_cast<std::int64_t>(
                              TransferTimeoutFactor * TransferMicrosPerPiece *
                              std::max(1U, piecesFor(W.PromptTokens)))));
  W.LegDeadline = W.Deadline;
  W.Deadline = std::min(W.Deadline, Now + TransferTimeout);
  recordEvent(EventKind::TransferStarted, W.Key, W.Account, {});
  Actions.emplace_back(DecodeCall{
      W.Call, engineWorkId(W.Key), Start.model(), Start.prompt(),
      Start.kv_handle(), Start.kv_source(), Start.max_tokens(),
      Start.first_index(), priorityOf(Start.route_class()), StreamReadTimeout});
  W.Start.reset();
}

} // namespace hyssoprail
