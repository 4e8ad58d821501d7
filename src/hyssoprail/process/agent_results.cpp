#include <algorithm>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Consecutive failed status queries after which the engine counts as lost. A
/// refused connection counts at once.
constexpr unsigned MaxStatusFailures = 3;

/// Weight of a new sample in the exponential moving averages.
constexpr double MeanWeight = 0.1;

/// The fixed cost of a prefill dominates for prompts shorter than this.
constexpr unsigned MinPrefillTokens = 64;

double micros(Duration D) {
  return std::chrono::duration<double, std::micro>(D).count();
}

void addToMean(double &Mean, double Sample) {
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * MeanWeight;
}

std::string_view describe(CallStatusCode Code) {
  static constexpr std::array<EnumName<CallStatusCode>, 8> Names{{
      {CallStatusCode::Ok, "the call succeeded"},
      {CallStatusCode::NotSent, "the engine refused the connection"},
      {CallStatusCode::Busy, "the engine is overloaded"},
      {CallStatusCode::Gone, "the KV cache is gone"},
      {CallStatusCode::Conflict, "the engine reported a conflict"},
      {CallStatusCode::OtherError, "the engine refused the request"},
      {CallStatusCode::ConnectionLost, "the connection to the engine broke"},
      {CallStatusCode::Timeout, "the engine did not answer in time"},
  }};
  return enumName(Names, Code);
}

} // namespace

void AgentCore::onResult(const AgentResult &Result, TimePoint Now) {
  std::visit([&](const auto &R) { on(R, Now); }, Result);
  dispatch(Now);
}

AgentCore::Work *AgentCore::findWork(CallId Call) {
  auto It = WorkByCall.find(Call);
  if (It == WorkByCall.end())
    return nullptr;
  auto Found = ActiveWork.find(It->second);
  if (Found == ActiveWork.end() || Found->second.Call != Call)
    return nullptr;
  return &Found->second;
}

void AgentCore::query(EngineQuery Query, TimePoint Now) {
  const CallId Call = ++LastCall;
  switch (Query) {
  case EngineQuery::Status:
    StatusCall = Call;
    StatusQueriedAt = Now;
    break;
  case EngineQuery::Held:
    HeldCall = Call;
    HeldQueriedAt = Now;
    break;
  case EngineQuery::Load:
    LoadCall = Call;
    LoadQueriedAt = Now;
    break;
  }
  Actions.emplace_back(QueryCall{Call, Query});
}

void AgentCore::addLatencySample(double Ratio, TimePoint Now) {
  LivenessConfirmed = true;
  LastSample = Now;
  DispatchNeeded = true;
  switch (Ramp.addSample(Ratio, Running, Now)) {
  case RampSignal::None:
    return;
  case RampSignal::Suspect:
    if (Options.Kind == AgentKind::Service)
      return;
    // No further starts until the engine reports whether it is cold.
    if (!std::exchange(StartsSuspended, true))
      query(EngineQuery::Status, Now);
    return;
  case RampSignal::ColdStart:
    ++Counts.ColdStarts;
    recordEvent(EventKind::ColdStart, {}, {},
                "latency is far above the warm baseline");
    return;
  }
}

void AgentCore::on(const PrefillResult &R, TimePoint Now) {
  Work *W = findWork(R.Call);
  if (W == nullptr)
    return;
  if (R.Code != CallStatusCode::Ok) {
    failEngineCall(*W, R.Code, Now);
    return;
  }
  const unsigned Uncached =
      R.PromptTokens - std::min(R.CachedTokens, R.PromptTokens);
  const double PerToken =
      micros(R.Duration) / std::max(MinPrefillTokens, Uncached);
  addToMean(PrefillMicros, PerToken);
  addLatencySample(PerToken / Options.PrefillLatencyBound, Now);
  recordEvent(EventKind::PrefillDone, W->Key, W->Account, {});
  markOffEngine(*W);
  // The KV cache keeps its pieces. The slot is free for the next prefill.
  SlotsUsed -= W->HeldSlots;
  W->HeldSlots = 0;
  W->Phase = State::HoldingKv;
  W->Deadline = Now + (R.KvTtl.count() > 0 ? R.KvTtl : Options.DefaultKvTtl);
  LastResult = Now;
  RetainedResult Record;
  Record.Entry = W->Entry;
  wire::PrefillDone &Done = *Record.Result.mutable_prefill_done();
  *Done.mutable_work() = workRef(W->Key);
  Done.set_kv_handle(R.KvHandle);
  Done.set_kv_source(Options.EngineAddress);
  Done.set_cached_tokens(R.CachedTokens);
  Done.set_duration_ms(static_cast<std::uint32_t>(R.Duration.count()));
  Done.set_kv_bytes(R.KvBytes);
  if (auto Owner = Entries.find(W->Entry); Owner != Entries.end()) {
    Record.SentTo = Owner->second.Peer;
    send(Owner->second, Record.Result);
  }
  retainResult(W->Key, std::move(Record), Now);
}

void AgentCore::on(const DecodeTokens &R, TimePoint Now) {
  Work *W = findWork(R.Call);
  if (W == nullptr || W->Phase != State::Decoding)
    return;
  const std::uint32_t Next =
      W->FirstIndex + static_cast<std::uint32_t>(W->Tokens.size());
  if (R.Index > Next) {
    failEngineCall(*W, CallStatusCode::OtherError, Now);
    return;
  }
  const std::size_t Skip = Next - R.Index;
  if (R.Tokens.size() <= Skip)
    return;
  const std::size_t NewTokens = R.Tokens.size() - Skip;
  if (W->Tokens.empty()) {
    addToMean(TransferMicrosPerPiece,
              micros(Now - W->Created) /
                  std::max(1U, piecesFor(W->PromptTokens)));
    W->Deadline = W->LegDeadline;
    LivenessConfirmed = true;
    DispatchNeeded = true;
    recordEvent(EventKind::DecodeStarted, W->Key, W->Account, {});
  } else {
    const double Step =
        micros(Now - W->LastToken) / static_cast<double>(NewTokens);
    addToMean(StepMicros, Step);
    addLatencySample(Step / Options.StepLatencyBound, Now);
  }
  W->LastToken = Now;
  wire::Envelope Message;
  wire::Chunk &Chunk = *Message.mutable_chunk();
  *Chunk.mutable_work() = workRef(W->Key);
  Chunk.set_index(Next);
  for (std::size_t I = Skip; I < R.Tokens.size(); ++I) {
    Chunk.add_tokens(R.Tokens[I]);
    W->Tokens.push_back(R.Tokens[I]);
  }
  if (auto Owner = Entries.find(W->Entry); Owner != Entries.end())
    send(Owner->second, std::move(Message));
}

void AgentCore::on(const DecodeEnd &R, TimePoint Now) {
  Work *W = findWork(R.Call);
  if (W == nullptr || W->Phase != State::Decoding)
    return;
  if (R.Code != CallStatusCode::Ok) {
    failEngineCall(*W, R.Code, Now);
    return;
  }
  LivenessConfirmed = true;
  wire::Envelope Result;
  wire::Finished &Done = *Result.mutable_finished();
  *Done.mutable_work() = workRef(W->Key);
  Done.set_output_tokens(W->FirstIndex +
                         static_cast<std::uint32_t>(W->Tokens.size()));
  Done.set_finish_reason(R.FinishReason);
  recordEvent(EventKind::DecodeFinished, W->Key, W->Account, R.FinishReason);
  markOffEngine(*W);
  finishWork(*W, std::move(Result), Now);
}

void AgentCore::failEngineCall(Work &W, CallStatusCode Code, TimePoint Now) {
  const bool Decode = W.Phase == State::Decoding;
  if (Code == CallStatusCode::Busy || Code == CallStatusCode::ConnectionLost)
    Ramp.onFailure(Now);
  if (Code != CallStatusCode::Gone && Code != CallStatusCode::Conflict) {
    // The engine may have restarted: no further starts until its status is
    // known.
    StartsSuspended = true;
    query(EngineQuery::Status, Now);
  }
  wire::Envelope Result;
  wire::Failed &Failure = *Result.mutable_failed();
  *Failure.mutable_work() = workRef(W.Key);
  Failure.set_reason(Code == CallStatusCode::Timeout
                         ? wire::REFUSAL_REASON_TIMEOUT
                         : wire::REFUSAL_REASON_ENGINE);
  Failure.set_not_run(Code == CallStatusCode::NotSent ||
                      (Code == CallStatusCode::Busy && Decode));
  Failure.set_message(std::string(describe(Code)));
  recordEvent(EventKind::AttemptFailed, W.Key, W.Account, describe(Code));
  const bool MayHoldMemory = Code == CallStatusCode::ConnectionLost ||
                             Code == CallStatusCode::Timeout ||
                             Code == CallStatusCode::OtherError;
  if (!MayHoldMemory) {
    markOffEngine(W);
    finishWork(W, std::move(Result), Now);
    return;
  }
  // The engine may still hold memory for the work: cancel it there first.
  LastResult = Now;
  RetainedResult Record;
  Record.Entry = W.Entry;
  Record.Result = std::move(Result);
  Record.FirstIndex = W.FirstIndex;
  Record.Tokens = W.Tokens;
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end()) {
    Record.SentTo = Owner->second.Peer;
    send(Owner->second, Record.Result);
  }
  retainResult(W.Key, std::move(Record), Now);
  Actions.emplace_back(AbandonCall{W.Call});
  cancelOnEngine(W, Now);
}

void AgentCore::on(const CancelResult &R, TimePoint) {
  Work *W = findWork(R.Call);
  if (W == nullptr || W->Phase != State::Cancelling)
    return;
  if (R.Code != CallStatusCode::Ok && R.Code != CallStatusCode::Gone)
    return; // repeated after CancelRetryInterval
  markOffEngine(*W);
  removeWork(*W);
}

void AgentCore::on(const StatusResult &R, TimePoint Now) {
  if (R.Call != StatusCall)
    return;
  StatusCall = 0;
  if (R.Code != CallStatusCode::Ok) {
    ++StatusFailures;
    if (EngineUp && (R.Code == CallStatusCode::NotSent ||
                     StatusFailures >= MaxStatusFailures))
      onEngineLost("the engine cannot be reached", Now);
    return;
  }
  StatusFailures = 0;
  StartsSuspended = false;
  const bool Restarted =
      EngineUp && (R.Incarnation != Engine.Incarnation ||
                   R.Uptime < Engine.Uptime || R.Role != Engine.Role);
  if (Restarted)
    Ramp.onCrash(RunningPeak);
  if (Restarted)
    onEngineLost("the engine restarted", Now);
  Engine = R;
  RunningPeak = Running;
  Ramp.setMax(maxSlots());
  if (!EngineUp)
    onEngineUp(Now);
  Ramp.setReportedCold(R.Cold, Now);
  if (StatusQueriedAt >= LivenessUnknownSince)
    LivenessConfirmed = true;
  DispatchNeeded = true;
}

void AgentCore::onEngineUp(TimePoint Now) {
  EngineUp = true;
  HeldWorkKnown = false;
  LivenessConfirmed = false;
  ++Counts.ColdStarts;
  Ramp.restart(Now);
  SuspectedOrphans.clear();
  recordEvent(EventKind::ColdStart, {}, {}, "the engine started or was found");
  query(EngineQuery::Held, Now);
}

void AgentCore::onEngineLost(std::string_view Cause, TimePoint Now) {
  EngineUp = false;
  HeldWorkKnown = false;
  LivenessConfirmed = false;
  std::vector<WorkKey> Keys;
  for (const auto &[Key, W] : ActiveWork)
    Keys.push_back(Key);
  for (const WorkKey &Key : Keys) {
    Work &W = ActiveWork.at(Key);
    if (W.Phase == State::QueuedReserve) {
      replyReserve(Entries.at(W.Entry), Key, false, wire::REFUSAL_REASON_COLD,
                   Now);
      removeWork(W);
      continue;
    }
    if (W.Phase == State::Cancelling || W.Phase == State::HoldingKv) {
      removeWork(W);
      continue;
    }
    const bool Started =
        W.Phase == State::Prefilling || W.Phase == State::Decoding;
    if (Started)
      Actions.emplace_back(AbandonCall{W.Call});
    wire::Envelope Result;
    wire::Failed &Failure = *Result.mutable_failed();
    *Failure.mutable_work() = workRef(Key);
    Failure.set_reason(wire::REFUSAL_REASON_ENGINE);
    Failure.set_not_run(!Started);
    Failure.set_message(std::string(Cause));
    finishWork(W, std::move(Result), Now);
  }
}

void AgentCore::on(const LoadResult &R, TimePoint) {
  if (R.Call != LoadCall || R.Code != CallStatusCode::Ok)
    return;
  // The engine's report lags, so it is used only if nothing runs to measure.
  if (Running != 0)
    return;
  if (R.StepMicros != 0)
    StepMicros = R.StepMicros;
  if (R.PrefillMicrosPerToken != 0)
    PrefillMicros = R.PrefillMicrosPerToken;
}

void AgentCore::on(const HeldResult &R, TimePoint Now) {
  if (R.Call != HeldCall)
    return;
  HeldCall = 0;
  if (R.Code != CallStatusCode::Ok)
    return;
  std::unordered_set<std::string> Unknown;
  for (const HeldWork &Held : R.Work) {
    const std::optional<WorkKey> Key = parseEngineWorkId(Held.Id);
    if (Key && ActiveWork.contains(*Key))
      continue;
    // Work that has just ended may still be listed. Only work that is
    // unknown in two lists in a row is an orphan.
    if (HeldWorkKnown && !SuspectedOrphans.contains(Held.Id)) {
      Unknown.insert(Held.Id);
      continue;
    }
    if (Key)
      adoptHeldWork(Held, *Key, Now);
    else
      Actions.emplace_back(CancelCall{++LastCall, Held.Id});
  }
  SuspectedOrphans = std::move(Unknown);
  HeldWorkKnown = true;
  DispatchNeeded = true;
}

void AgentCore::adoptHeldWork(const HeldWork &Held, const WorkKey &Key,
                              TimePoint Now) {
  Work &W = ActiveWork[Key];
  W.Key = Key;
  W.Created = Now;
  W.Pieces = Held.Pieces;
  W.HeldPieces = Held.Pieces;
  PiecesUsed += Held.Pieces;
  CapacityHolders.insert(&W);
  if (Held.State == "kv" && !HeldWorkKnown) {
    // An entry may still need the KV cache and has the lease time to list it.
    W.Phase = State::HoldingKv;
    W.Deadline = Now + Options.LeaseTimeout;
    return;
  }
  // No entry can receive its result any more.
  W.HeldSlots = 1;
  ++SlotsUsed;
  W.OnEngine = true;
  ++Running;
  ++Counts.OrphansCancelled;
  cancelOnEngine(W, Now);
}

void AgentCore::issueOrders(TimePoint Now) {
  if (!EngineUp)
    return;
  const bool Due = Orders.due(View, Engine, Now);
  OrderPending = Due || Orders.outstanding();
  // An order waits until all work has ended, so that it interrupts no request.
  if (!Due || !ActiveWork.empty())
    return;
  ++Counts.OrdersGiven;
  OrderCall Order = Orders.makeOrder(View, Engine, ++LastCall);
  recordEvent(EventKind::EngineOrder, {}, {},
              Order.Model + " " + Order.Version + " " + Order.Role);
  Actions.emplace_back(std::move(Order));
}

void AgentCore::on(const OrderResult &R, TimePoint Now) {
  Orders.orderEnded(R.Call, R.Code, Now);
  // Read back the state, whatever the engine answered.
  query(EngineQuery::Status, Now);
}

} // namespace hyssoprail
