#include <algorithm>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Consecutive status calls without an answer after which the engine counts as
/// lost; a refused connection counts at once.
constexpr unsigned MaxStatusFailures = 3;

/// Weight of a new sample in the running means.
constexpr double MeanShare = 0.1;

/// Prompts shorter than this are dominated by the fixed cost of a prefill.
constexpr unsigned ShortPrompt = 64;

double micros(Duration D) {
  return std::chrono::duration<double, std::micro>(D).count();
}

void addToMean(double &Mean, double Sample) {
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * MeanShare;
}

std::string_view describe(CallEnd End) {
  static constexpr std::array<EnumName<CallEnd>, 8> Names{{
      {CallEnd::Ok, "the call succeeded"},
      {CallEnd::NotSent, "the engine refused the connection"},
      {CallEnd::Busy, "the engine is overloaded"},
      {CallEnd::Gone, "the KV cache is gone"},
      {CallEnd::Conflict, "the engine reported a conflict"},
      {CallEnd::Refused, "the engine refused the request"},
      {CallEnd::Broken, "the connection to the engine broke"},
      {CallEnd::Timeout, "the engine did not answer in time"},
  }};
  return enumName(Names, End);
}

} // namespace

void AgentCore::onResult(const AgentResult &Result, TimePoint Now) {
  std::visit([&](const auto &R) { on(R, Now); }, Result);
  settle(Now);
}

AgentCore::Work *AgentCore::workOf(CallId Call) {
  auto It = Calls.find(Call);
  if (It == Calls.end())
    return nullptr;
  auto Found = Works.find(It->second);
  if (Found == Works.end() || Found->second.Call != Call)
    return nullptr;
  return &Found->second;
}

void AgentCore::query(EngineQuery Query, TimePoint Now) {
  const CallId Call = ++LastCall;
  switch (Query) {
  case EngineQuery::Status:
    StatusCall = Call;
    StatusAsked = Now;
    break;
  case EngineQuery::Held:
    HeldCall = Call;
    HeldAsked = Now;
    break;
  case EngineQuery::Load:
    LoadCall = Call;
    LoadAsked = Now;
    break;
  }
  Actions.emplace_back(QueryCall{Call, Query});
}

void AgentCore::sampleLatency(double Ratio, TimePoint Now) {
  Evidence = true;
  LastSample = Now;
  Dirty = true;
  switch (Ramp.sample(Ratio, Running, Now)) {
  case RampSignal::None:
    return;
  case RampSignal::Suspect:
    if (Options.Kind == AgentKind::Service)
      return;
    // No further start until the engine says whether it is cold.
    if (!std::exchange(Suspected, true))
      query(EngineQuery::Status, Now);
    return;
  case RampSignal::ColdStart:
    ++Counts.ColdStarts;
    note(EventKind::ColdStart, {}, {},
         "latency is far above the warm baseline");
    return;
  }
}

void AgentCore::on(const PrefillResult &R, TimePoint Now) {
  Work *W = workOf(R.Call);
  if (W == nullptr)
    return;
  if (R.End != CallEnd::Ok) {
    failEngineCall(*W, R.End, Now);
    return;
  }
  const unsigned Uncached =
      R.PromptTokens - std::min(R.CachedTokens, R.PromptTokens);
  const double PerToken = micros(R.Duration) / std::max(ShortPrompt, Uncached);
  addToMean(PrefillMicros, PerToken);
  sampleLatency(PerToken / Options.PrefillBound, Now);
  note(EventKind::PrefillDone, W->Key, W->Account, {});
  leaveEngine(*W);
  // The KV cache keeps its pieces; the slot is free for the next prefill.
  SlotsUsed -= W->HeldSlots;
  W->HeldSlots = 0;
  W->Phase = State::HoldingKv;
  W->Deadline = Now + (R.KvTtl.count() > 0 ? R.KvTtl : Options.DefaultKvTtl);
  LastResult = Now;
  Ended Record;
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
  remember(W->Key, std::move(Record), Now);
}

void AgentCore::on(const DecodeTokens &R, TimePoint Now) {
  Work *W = workOf(R.Call);
  if (W == nullptr || W->Phase != State::Decoding)
    return;
  const std::uint32_t Next =
      W->FirstIndex + static_cast<std::uint32_t>(W->Tokens.size());
  if (R.Index > Next) {
    failEngineCall(*W, CallEnd::Refused, Now);
    return;
  }
  const std::size_t Skip = Next - R.Index;
  if (R.Tokens.size() <= Skip)
    return;
  const std::size_t Fresh = R.Tokens.size() - Skip;
  if (W->Tokens.empty()) {
    addToMean(TransferMicrosPerPiece,
              micros(Now - W->Created) /
                  std::max(1U, piecesFor(W->PromptTokens)));
    W->Deadline = W->LegEnd;
    Evidence = true;
    Dirty = true;
    note(EventKind::DecodeStarted, W->Key, W->Account, {});
  } else {
    const double Step = micros(Now - W->LastToken) / static_cast<double>(Fresh);
    addToMean(StepMicros, Step);
    sampleLatency(Step / Options.StepBound, Now);
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
  Work *W = workOf(R.Call);
  if (W == nullptr || W->Phase != State::Decoding)
    return;
  if (R.End != CallEnd::Ok) {
    failEngineCall(*W, R.End, Now);
    return;
  }
  Evidence = true;
  wire::Envelope Result;
  wire::Finished &Done = *Result.mutable_finished();
  *Done.mutable_work() = workRef(W->Key);
  Done.set_output_tokens(W->FirstIndex +
                         static_cast<std::uint32_t>(W->Tokens.size()));
  Done.set_finish_reason(R.FinishReason);
  note(EventKind::DecodeFinished, W->Key, W->Account, R.FinishReason);
  leaveEngine(*W);
  endWork(*W, std::move(Result), Now);
}

void AgentCore::failEngineCall(Work &W, CallEnd End, TimePoint Now) {
  const bool Decode = W.Phase == State::Decoding;
  if (End == CallEnd::Busy || End == CallEnd::Broken)
    Ramp.failure(Now);
  if (End != CallEnd::Gone && End != CallEnd::Conflict) {
    // It may have restarted: no further start until its status is known.
    Suspected = true;
    query(EngineQuery::Status, Now);
  }
  wire::Envelope Result;
  wire::Failed &Failure = *Result.mutable_failed();
  *Failure.mutable_work() = workRef(W.Key);
  Failure.set_reason(End == CallEnd::Timeout ? wire::REFUSAL_REASON_TIMEOUT
                                             : wire::REFUSAL_REASON_ENGINE);
  Failure.set_not_run(End == CallEnd::NotSent ||
                      (End == CallEnd::Busy && Decode));
  Failure.set_message(std::string(describe(End)));
  note(EventKind::AttemptFailed, W.Key, W.Account, describe(End));
  const bool MayHold = End == CallEnd::Broken || End == CallEnd::Timeout ||
                       End == CallEnd::Refused;
  if (!MayHold) {
    leaveEngine(W);
    endWork(W, std::move(Result), Now);
    return;
  }
  // The engine may still hold memory for it: cancel before it is released.
  LastResult = Now;
  Ended Record;
  Record.Entry = W.Entry;
  Record.Result = std::move(Result);
  Record.FirstIndex = W.FirstIndex;
  Record.Tokens = W.Tokens;
  if (auto Owner = Entries.find(W.Entry); Owner != Entries.end()) {
    Record.SentTo = Owner->second.Peer;
    send(Owner->second, Record.Result);
  }
  remember(W.Key, std::move(Record), Now);
  Actions.emplace_back(AbandonCall{W.Call});
  cancelOnEngine(W, Now);
}

void AgentCore::on(const CancelResult &R, TimePoint) {
  Work *W = workOf(R.Call);
  if (W == nullptr || W->Phase != State::Cancelling)
    return;
  if (R.End != CallEnd::Ok && R.End != CallEnd::Gone)
    return; // repeated when its time is over
  leaveEngine(*W);
  removeWork(*W);
}

void AgentCore::on(const StatusResult &R, TimePoint Now) {
  if (R.Call != StatusCall)
    return;
  StatusCall = 0;
  if (R.End != CallEnd::Ok) {
    ++StatusFailures;
    if (EngineUp &&
        (R.End == CallEnd::NotSent || StatusFailures >= MaxStatusFailures))
      engineLost("the engine cannot be reached", Now);
    return;
  }
  StatusFailures = 0;
  Suspected = false;
  const bool Restarted =
      EngineUp && (R.Incarnation != Engine.Incarnation ||
                   R.Uptime < Engine.Uptime || R.Role != Engine.Role);
  if (Restarted)
    Ramp.crashed(RunningPeak);
  if (Restarted)
    engineLost("the engine restarted", Now);
  Engine = R;
  RunningPeak = Running;
  Ramp.setMax(slotMax());
  if (!EngineUp)
    engineBack(Now);
  Ramp.engineReports(R.Cold, Now);
  if (StatusAsked >= IdleSince)
    Evidence = true;
  Dirty = true;
}

void AgentCore::engineBack(TimePoint Now) {
  EngineUp = true;
  HeldKnown = false;
  Evidence = false;
  ++Counts.ColdStarts;
  Ramp.restart(Now);
  Unclaimed.clear();
  note(EventKind::ColdStart, {}, {}, "the engine started or was found");
  query(EngineQuery::Held, Now);
}

void AgentCore::engineLost(std::string_view Why, TimePoint Now) {
  EngineUp = false;
  HeldKnown = false;
  Evidence = false;
  std::vector<WorkKey> All;
  for (const auto &[Key, W] : Works)
    All.push_back(Key);
  for (const WorkKey &Key : All) {
    Work &W = Works.at(Key);
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
    Failure.set_message(std::string(Why));
    endWork(W, std::move(Result), Now);
  }
}

void AgentCore::on(const LoadResult &R, TimePoint) {
  if (R.Call != LoadCall || R.End != CallEnd::Ok)
    return;
  // The engine's lagging report counts only while nothing runs to measure.
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
  if (R.End != CallEnd::Ok)
    return;
  std::unordered_set<std::string> Unknown;
  for (const HeldWork &Held : R.Work) {
    const std::optional<WorkKey> Key = parseEngineWorkId(Held.Id);
    if (Key && Works.contains(*Key))
      continue;
    // Work that ended between two lists is still in the first of them.
    if (HeldKnown && !Unclaimed.contains(Held.Id)) {
      Unknown.insert(Held.Id);
      continue;
    }
    if (Key)
      adoptHeld(Held, *Key, Now);
    else
      Actions.emplace_back(CancelCall{++LastCall, Held.Id});
  }
  Unclaimed = std::move(Unknown);
  HeldKnown = true;
  Dirty = true;
}

void AgentCore::adoptHeld(const HeldWork &Held, const WorkKey &Key,
                          TimePoint Now) {
  Work &W = Works[Key];
  W.Key = Key;
  W.Created = Now;
  W.Pieces = Held.Pieces;
  W.HeldPieces = Held.Pieces;
  PiecesUsed += Held.Pieces;
  Holders.insert(&W);
  if (Held.State == "kv" && !HeldKnown) {
    // An entry may still need the KV cache: it has the lease time to list it.
    W.Phase = State::HoldingKv;
    W.Deadline = Now + Options.Lease;
    return;
  }
  // Its result can reach nobody.
  W.HeldSlots = 1;
  ++SlotsUsed;
  W.OnEngine = true;
  ++Running;
  ++Counts.OrphansCancelled;
  cancelOnEngine(W, Now);
}

void AgentCore::giveOrders(TimePoint Now) {
  if (!EngineUp)
    return;
  const bool Due = Orders.due(View, Engine, Now);
  Switching = Due || Orders.outstanding();
  // Live work finishes first, so that an order interrupts no request.
  if (!Due || !Works.empty())
    return;
  ++Counts.OrdersGiven;
  OrderCall Order = Orders.makeOrder(View, Engine, ++LastCall);
  note(EventKind::EngineOrder, {}, {},
       Order.Model + " " + Order.Version + " " + Order.Role);
  Actions.emplace_back(std::move(Order));
}

void AgentCore::on(const OrderResult &R, TimePoint Now) {
  Orders.orderEnded(R.Call, R.End, Now);
  // The state is read back, whatever the engine answered.
  query(EngineQuery::Status, Now);
}

} // namespace hyssoprail
