#include "hyssoprail/request/request_flow.hpp"

#include <algorithm>
#include <optional>

namespace hyssoprail {
namespace {

enum class Phase {
  Admission,  ///< waits for the debit
  Queued,     ///< waits for endpoints
  BackingOff, ///< waits before the next placement
  Reserving,  ///< waits for the decode slot
  Prefilling, ///< waits for the end of the prefill
  Decoding,   ///< waits for tokens
  Ended,
};

/// Returns the time left, at least 1 ms, or 0 if there is no limit.
std::uint32_t millisecondsLeft(TimePoint Until, TimePoint Now) {
  if (Until == TimePoint::max())
    return 0;
  const auto Left =
      std::chrono::duration_cast<milliseconds>(Until - Now).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Left, 1, 3'600'000));
}

/// Returns true if the agent did not accept the work, for example because it
/// had no free slot; false if the engine failed or the reason is unknown.
bool isAgentRefusal(wire::RefusalReason Reason) {
  return Reason != wire::REFUSAL_REASON_ENGINE &&
         Reason != wire::REFUSAL_REASON_UNSPECIFIED;
}

class CompletionFlow : public RequestFlow {
public:
  CompletionFlow(FlowSpec Spec, FlowContext &Context)
      : RequestFlow(std::move(Spec), Context) {}

  void start(TimePoint Now, FlowActions &Out) override {
    record(EventKind::RequestAccepted, "");
    if (Spec.DebitTokens == 0)
      return onAdmitted(Now, Out);
    requestDebit(Out);
  }

  void placed(const Placement &Where, TimePoint Now,
              FlowActions &Out) override {
    if (Done || State != Phase::Queued)
      return;
    if (!ensureKeyValid(Out))
      return;
    Chosen = Where;
    ++Attempt;
    record(EventKind::AttemptStarted, Where.Decode, "prefill " + Where.Prefill);
    if (Where.ReserveFirst)
      return reserve(Now, Out);
    startPrefill(Now, Out);
  }

  void notPlaced(const Error &Why, TimePoint /*Now*/,
                 FlowActions &Out) override {
    if (!Done && State == Phase::Queued)
      endWithRefusal(Why, Out);
  }

  void received(std::string_view Endpoint, const wire::Envelope &Message,
                TimePoint Now, FlowActions &Out) override {
    switch (Message.body_case()) {
    case wire::Envelope::kReserveReply:
      if (matchesLiveLeg(Message.reserve_reply().work(), Endpoint))
        onReserveReply(Message.reserve_reply(), Now, Out);
      return;
    case wire::Envelope::kPrefillDone:
      if (matchesLiveLeg(Message.prefill_done().work(), Endpoint))
        onPrefillDone(Message.prefill_done(), Now, Out);
      return;
    case wire::Envelope::kChunk:
      if (matchesLiveLeg(Message.chunk().work(), Endpoint))
        onChunk(Message.chunk(), Now, Out);
      return;
    case wire::Envelope::kFinished:
      if (matchesLiveLeg(Message.finished().work(), Endpoint))
        onFinished(Message.finished(), Now, Out);
      return;
    case wire::Envelope::kFailed:
      if (matchesLiveLeg(Message.failed().work(), Endpoint))
        onFailed(Message.failed(), Endpoint, Now, Out);
      return;
    default:
      return;
    }
  }

  void endpointLost(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    const bool Used =
        std::any_of(liveLegs().begin(), liveLegs().end(),
                    [&](const LiveLeg &L) { return L.Endpoint == Endpoint; });
    // The prefill endpoint is no longer needed after the KV cache transfer. Its
    // leg has ended by then.
    if (!Done && Used)
      attemptFailed(std::string(Endpoint), "endpoint lost", Now, Out);
  }

  void linkReplaced(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    const LiveLeg *Decode = findLeg(wire::LEG_DECODE);
    if (Done || State != Phase::Decoding || Decode == nullptr ||
        Decode->Endpoint != Endpoint)
      return;
    requestResend(Now, Out);
  }

  void tick(TimePoint Now, FlowActions &Out) override {
    if (Done)
      return;
    if (Now >= Spec.Deadline)
      return endWithRefusal({ErrorKind::DeadlineExceeded,
                             "the request did not finish before its deadline",
                             "send it again later or ask for fewer tokens", "",
                             milliseconds(1'000)},
                            Out);
    if (State == Phase::Decoding && Now >= ResendAt)
      requestResend(Now, Out);
    if (Now < PhaseDeadline)
      return;
    if (State == Phase::BackingOff)
      return enqueue(Out);
    if (State == Phase::Reserving || State == Phase::Prefilling ||
        State == Phase::Decoding)
      attemptFailed(State == Phase::Prefilling ? Chosen.Prefill : Chosen.Decode,
                    "no answer in time", Now, Out);
  }

  TimePoint wakeAt() const override {
    if (Done)
      return TimePoint::max();
    TimePoint At = std::min(PhaseDeadline, Spec.Deadline);
    if (State == Phase::Decoding)
      At = std::min(At, ResendAt);
    return At;
  }

protected:
  void onAdmitted(TimePoint /*Now*/, FlowActions &Out) override {
    enqueue(Out);
  }

  bool waiting() const override {
    return State == Phase::Admission || State == Phase::Queued ||
           State == Phase::BackingOff;
  }

  std::uint64_t usedTokens() const override {
    if (!Ran)
      return 0;
    return std::uint64_t{Spec.Completion.PromptTokens} + EmittedTokens;
  }

private:
  void endWithRefusal(Error Cause, FlowActions &Out) {
    State = Phase::Ended;
    refuse(std::move(Cause), Out);
  }

  void enterPhase(Phase Next, TimePoint Until) {
    State = Next;
    PhaseDeadline = Until;
  }

  void enqueue(FlowActions &Out) {
    enterPhase(Phase::Queued, TimePoint::max());
    Out.emplace_back(FindPlacement{Attempt + 1, EmittedTokens,
                                   EmittedTokens > 0, AvoidEndpoint});
  }

  void reserve(TimePoint Now, FlowActions &Out) {
    addLeg(Chosen.Decode, wire::LEG_DECODE);
    SendMessage Send{Chosen.Decode, {}};
    wire::ReserveRequest &R = *Send.Message.mutable_reserve_request();
    *R.mutable_work() = work(wire::LEG_DECODE);
    R.set_account(Spec.Account);
    R.set_route_class(Spec.Class);
    R.set_prompt_tokens(Spec.Completion.PromptTokens + EmittedTokens);
    R.set_max_tokens(Spec.Completion.MaxTokens - EmittedTokens);
    R.set_version(Chosen.Version);
    R.set_needed_in_ms(static_cast<std::uint32_t>(Chosen.NeededIn.count()));
    R.set_wait_ms(static_cast<std::uint32_t>(Chosen.ReserveWait.count()));
    R.set_weight(Spec.Weight);
    Out.emplace_back(std::move(Send));
    enterPhase(Phase::Reserving,
               Now + Chosen.ReserveWait + Context.Timing.ReserveSlack);
  }

  void startPrefill(TimePoint Now, FlowActions &Out) {
    addLeg(Chosen.Prefill, wire::LEG_PREFILL);
    SendMessage Send{Chosen.Prefill, {}};
    wire::PrefillStart &P = *Send.Message.mutable_prefill_start();
    *P.mutable_work() = work(wire::LEG_PREFILL);
    P.set_account(Spec.Account);
    P.set_route_class(Spec.Class);
    P.set_model(Spec.Completion.Model);
    P.set_prompt(resumedPrompt());
    P.set_prompt_tokens(Spec.Completion.PromptTokens + EmittedTokens);
    P.set_resumed_tokens(EmittedTokens);
    P.set_deadline_ms(
        millisecondsLeft(std::min(Spec.Deadline, Now + prefillTimeout()), Now));
    P.set_weight(Spec.Weight);
    P.set_version(Chosen.Version);
    onStartSent(P.account());
    record(EventKind::PrefillStarted, Chosen.Prefill);
    Out.emplace_back(std::move(Send));
    enterPhase(Phase::Prefilling, Now + prefillTimeout());
  }

  Duration prefillTimeout() const {
    return 4 * Chosen.PrefillEstimate + Context.Timing.PrefillSlack;
  }

  /// Returns the prompt followed by the output tokens already emitted.
  std::string resumedPrompt() const {
    std::string Prompt = Spec.Completion.Prompt;
    for (const std::string &Token : EmittedTexts) {
      Prompt += ' ';
      Prompt += Token;
    }
    return Prompt;
  }

  void onReserveReply(const wire::ReserveReply &Reply, TimePoint Now,
                      FlowActions &Out) {
    if (State != Phase::Reserving)
      return;
    if (!Reply.granted()) {
      record(EventKind::ReserveRefused, Chosen.Decode,
             wire::RefusalReason_Name(Reply.reason()));
      return attemptRefused(Chosen.Decode, Reply.retry_ms(), Now, Out);
    }
    record(EventKind::Reserved, Chosen.Decode);
    if (Chosen.ReserveFirst)
      return startPrefill(Now, Out);
    startDecode(Now, Out);
  }

  void onPrefillDone(const wire::PrefillDone &Result, TimePoint Now,
                     FlowActions &Out) {
    if (State != Phase::Prefilling)
      return;
    Ran = true;
    PrefillResult = Result;
    record(EventKind::PrefillDone, Chosen.Prefill);
    if (Chosen.ReserveFirst)
      return startDecode(Now, Out);
    reserve(Now, Out);
  }

  void startDecode(TimePoint Now, FlowActions &Out) {
    SendMessage Send{Chosen.Decode, {}};
    wire::DecodeStart &D = *Send.Message.mutable_decode_start();
    *D.mutable_work() = work(wire::LEG_DECODE);
    D.set_account(Spec.Account);
    D.set_model(Spec.Completion.Model);
    D.set_prompt(Spec.Completion.Prompt);
    D.set_kv_handle(PrefillResult.kv_handle());
    D.set_kv_source(PrefillResult.kv_source());
    D.set_max_tokens(Spec.Completion.MaxTokens);
    D.set_first_index(EmittedTokens);
    D.set_route_class(Spec.Class);
    D.set_deadline_ms(millisecondsLeft(Spec.Deadline, Now));
    D.set_version(Chosen.Version);
    onStartSent(D.account());
    record(EventKind::DecodeStarted, Chosen.Decode);
    Out.emplace_back(std::move(Send));
    const Duration TransferTimeout =
        4 * Chosen.TransferEstimate + Context.Timing.TransferSlack;
    enterPhase(Phase::Decoding,
               Now + TransferTimeout + Context.Timing.StallTimeout);
    ResendAt = Now + TransferTimeout;
    ExpectedTokens.reset();
  }

  void onChunk(const wire::Chunk &Chunk, TimePoint Now, FlowActions &Out) {
    if (State != Phase::Decoding)
      return;
    const std::uint64_t First = Chunk.index();
    const std::uint64_t End = First + Chunk.tokens().size();
    if (First > EmittedTokens)
      return requestResend(Now, Out);
    // All tokens of this chunk were already emitted.
    if (End <= EmittedTokens)
      return;
    endLeg(wire::LEG_PREFILL, WorkEndReason::Completed, true, Out);
    EmitTokens Emit{EmittedTokens, {}};
    for (std::uint64_t I = EmittedTokens; I < End; ++I)
      Emit.Tokens.push_back(Chunk.tokens(static_cast<int>(I - First)));
    Context.Checks.check(Invariant::WholeAnswer,
                         Emit.FirstIndex == EmittedTexts.size() &&
                             EmittedTexts.size() + Emit.Tokens.size() <=
                                 Spec.Completion.MaxTokens,
                         "a chunk does not continue the answer",
                         Spec.RequestId);
    EmittedTexts.insert(EmittedTexts.end(), Emit.Tokens.begin(),
                        Emit.Tokens.end());
    EmittedTokens = static_cast<std::uint32_t>(End);
    Ran = true;
    Out.emplace_back(std::move(Emit));
    PhaseDeadline = Now + Context.Timing.StallTimeout;
    ResendAt = Now + Context.Timing.ResendTimeout;
    finishIfComplete(Out);
  }

  void onFinished(const wire::Finished &Message, TimePoint Now,
                  FlowActions &Out) {
    if (State != Phase::Decoding)
      return;
    ExpectedTokens = Message.output_tokens();
    FinishReason = Message.finish_reason();
    finishIfComplete(Out);
    if (!Done)
      requestResend(Now, Out);
  }

  void finishIfComplete(FlowActions &Out) {
    if (Done || !ExpectedTokens || EmittedTokens < *ExpectedTokens)
      return;
    Context.Checks.check(Invariant::WholeAnswer,
                         EmittedTokens == *ExpectedTokens &&
                             EmittedTexts.size() == EmittedTokens,
                         "the answer ends at another index than the engine's",
                         Spec.RequestId);
    Ran = true;
    record(EventKind::DecodeFinished, Chosen.Decode);
    endLeg(wire::LEG_PREFILL, WorkEndReason::Completed, true, Out);
    endLeg(wire::LEG_DECODE, WorkEndReason::Completed, false, Out);
    record(EventKind::RequestFinished, "");
    State = Phase::Ended;
    finish(FinishAnswer{FinishReason, EmittedTokens}, Out);
  }

  void requestResend(TimePoint Now, FlowActions &Out) {
    SendMessage Send{Chosen.Decode, {}};
    wire::ResendRequest &R = *Send.Message.mutable_resend_request();
    *R.mutable_work() = work(wire::LEG_DECODE);
    R.set_from_index(EmittedTokens);
    Out.emplace_back(std::move(Send));
    ResendAt = Now + Context.Timing.ResendTimeout;
  }

  void onFailed(const wire::Failed &Message, std::string_view Endpoint,
                TimePoint Now, FlowActions &Out) {
    if (Message.work().leg() == wire::LEG_DECODE && State == Phase::Reserving)
      return attemptRefused(std::string(Endpoint), Message.retry_ms(), Now,
                            Out);
    const bool WasStarted =
        Message.work().leg() == wire::LEG_PREFILL || State == Phase::Decoding;
    if (Message.not_run() && WasStarted)
      onStartConfirmedNotRun();
    else if (WasStarted)
      Ran = true;
    if (Message.not_run() && isAgentRefusal(Message.reason()) && !Ran)
      return attemptRefused(std::string(Endpoint), Message.retry_ms(), Now,
                            Out);
    attemptFailed(std::string(Endpoint), Message.message(), Now, Out);
  }

  /// Nothing ran, so other endpoints are requested without using the retry
  /// budget. The backoff is the agent's retry time, clamped to a range whose
  /// lower end grows with each refusal.
  void attemptRefused(const std::string &Endpoint, std::uint32_t RetryMs,
                      TimePoint Now, FlowActions &Out) {
    AvoidEndpoint = Endpoint;
    const wire::Leg RefusingLeg =
        Endpoint == Chosen.Decode ? wire::LEG_DECODE : wire::LEG_PREFILL;
    endLeg(RefusingLeg, WorkEndReason::Refused, false, Out);
    endAllLegs(WorkEndReason::Cancelled, Out);
    ++RefusalCount;
    const milliseconds MaxBackoff = Context.Timing.RefusalBackoff * 20;
    const milliseconds MinBackoff =
        std::min(Context.Timing.RefusalBackoff * RefusalCount, MaxBackoff);
    enterPhase(Phase::BackingOff,
               Now + std::clamp(milliseconds(RetryMs), MinBackoff, MaxBackoff));
  }

  void attemptFailed(const std::string &Endpoint, std::string_view Why,
                     TimePoint Now, FlowActions &Out) {
    record(EventKind::AttemptFailed, Endpoint, std::string(Why));
    AvoidEndpoint = Endpoint;
    for (const LiveLeg &Leg : std::vector<LiveLeg>(liveLegs()))
      endLeg(Leg.Work.leg(),
             Leg.Endpoint == Endpoint ? WorkEndReason::Failed
                                      : WorkEndReason::Cancelled,
             true, Out);
    const std::optional<Duration> Backoff =
        Context.TakeRetry(Spec, Attempt, Now);
    if (Backoff) {
      enterPhase(Phase::BackingOff, Now + *Backoff);
      return;
    }
    endWithRefusal({ErrorKind::UpstreamFailed,
                    "the endpoints failed and the retry budget is used up",
                    "send the request again later", "", milliseconds(1'000)},
                   Out);
  }

  Phase State = Phase::Admission;
  TimePoint PhaseDeadline = TimePoint::max();
  TimePoint ResendAt = TimePoint::max();
  Placement Chosen;
  std::string AvoidEndpoint;
  wire::PrefillDone PrefillResult;
  std::vector<std::string> EmittedTexts;
  std::optional<std::uint32_t> ExpectedTokens; ///< set when decode ends
  std::string FinishReason;
  int RefusalCount = 0;
};

} // namespace

std::unique_ptr<RequestFlow> makeCompletionFlow(FlowSpec Spec,
                                                FlowContext &Context) {
  return std::make_unique<CompletionFlow>(std::move(Spec), Context);
}

} // namespace hyssoprail
