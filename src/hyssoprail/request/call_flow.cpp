#include "hyssoprail/request/request_flow.hpp"

#include <algorithm>
#include <optional>

namespace hyssoprail {
namespace {

/// Largest reply that is recorded in the log as the outcome of a claim.
constexpr std::size_t MaxRecordedBytes = 4096;

enum class Phase {
  Admission,           ///< waits for the debit
  Queued,              ///< waits for an endpoint
  Claiming,            ///< waits until the claim is recorded
  BackingOff,          ///< waits before the next placement
  Running,             ///< the call was sent
  AwaitingClaimedCall, ///< queries the outcome of a call that
                       ///< another request claimed
  Ended,
};

Error outcomeUnknown() {
  return {ErrorKind::OutcomeUnknown,
          "the call may or may not have run",
          "check its effect before sending it again",
          "",
          {}};
}

class CallFlow : public RequestFlow {
public:
  CallFlow(FlowSpec Spec, FlowContext &Context)
      : RequestFlow(std::move(Spec), Context) {}

  void start(TimePoint Now, FlowActions &Out) override {
    record(EventKind::RequestAccepted, "");
    if (Spec.Call.ExistingClaim)
      return joinClaimedCall(*Spec.Call.ExistingClaim, Now, Out);
    if (Spec.DebitTokens == 0)
      return onAdmitted(Now, Out);
    DebitRequested = true;
    requestDebit(Out);
  }

  void placed(const Placement &Where, TimePoint Now,
              FlowActions &Out) override {
    if (Done || State != Phase::Queued)
      return;
    if (!ensureKeyValid(Out))
      return;
    Chosen = Where;
    if (Spec.Call.ClaimId.empty())
      return sendCall(Now, Out);
    enterPhase(Phase::Claiming, TimePoint::max());
    AppendClaim Append;
    Append.Claim.set_claim_id(Spec.Call.ClaimId);
    Append.Claim.set_request_digest(Spec.Call.RequestDigest);
    Append.Claim.set_endpoint(Where.Decode);
    Append.Claim.set_request_id(Spec.RequestId);
    Out.emplace_back(std::move(Append));
  }

  void notPlaced(const Error &Why, TimePoint /*Now*/,
                 FlowActions &Out) override {
    if (!Done && State == Phase::Queued)
      endWithRefusal(Why, Out);
  }

  void claimed(const Result<wire::ClaimState> &Answer, TimePoint Now,
               FlowActions &Out) override {
    if (Done || State != Phase::Claiming)
      return;
    if (const Error *E = errorOf(Answer))
      return endWithRefusal(*E, Out);
    const wire::ClaimState &Winner = valueOf(Answer);
    if (Winner.claim().request_id() != Spec.RequestId)
      return joinClaimedCall(Winner, Now, Out);
    // The key may have been withdrawn while the record was appended.
    if (ensureKeyValid(Out))
      sendCall(Now, Out);
  }

  void received(std::string_view Endpoint, const wire::Envelope &Message,
                TimePoint Now, FlowActions &Out) override {
    if (Message.has_call_reply() &&
        matchesLiveLeg(Message.call_reply().work(), Endpoint))
      return completeCall(Message.call_reply(), Out);
    if (Message.has_outcome_reply())
      return onOutcome(Message.outcome_reply(), Endpoint, Now, Out);
    if (Message.has_failed() &&
        matchesLiveLeg(Message.failed().work(), Endpoint))
      return onFailed(Message.failed(), Endpoint, Now, Out);
  }

  void endpointLost(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    if (Done || State != Phase::Running || Chosen.Decode != Endpoint)
      return;
    if (Spec.Call.Repeatable) {
      Ran = true;
      return retry(std::string(Endpoint), "endpoint lost", Now, Out);
    }
    queryOutcome(Now, Out);
  }

  void linkReplaced(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    if (!Done && Chosen.Decode == Endpoint &&
        (State == Phase::Running || State == Phase::AwaitingClaimedCall))
      queryOutcome(Now, Out);
  }

  void tick(TimePoint Now, FlowActions &Out) override {
    if (Done)
      return;
    if (Now >= Spec.Deadline)
      return onDeadline(Out);
    if (State == Phase::BackingOff && Now >= BackoffUntil)
      return enqueue(Out);
    if (PollingOutcome && Now >= NextOutcomeQuery)
      queryOutcome(Now, Out);
  }

  TimePoint wakeAt() const override {
    if (Done)
      return TimePoint::max();
    TimePoint At = Spec.Deadline;
    if (State == Phase::BackingOff)
      At = std::min(At, BackoffUntil);
    if (PollingOutcome)
      At = std::min(At, NextOutcomeQuery);
    return At;
  }

protected:
  void onAdmitted(TimePoint Now, FlowActions &Out) override {
    if (JoinedClaimedCall)
      return sendClaimed(Now, Out);
    enqueue(Out);
  }

  bool waiting() const override {
    return State == Phase::Admission || State == Phase::Queued ||
           State == Phase::Claiming || State == Phase::BackingOff;
  }

  std::uint64_t usedTokens() const override {
    return notRun() ? 0 : Spec.DebitTokens;
  }

private:
  void endWithRefusal(Error Cause, FlowActions &Out) {
    State = Phase::Ended;
    refuse(std::move(Cause), Out);
  }

  void enterPhase(Phase Next, TimePoint Until) {
    State = Next;
    BackoffUntil = Until;
    PollingOutcome = false;
  }

  void enqueue(FlowActions &Out) {
    enterPhase(Phase::Queued, TimePoint::max());
    Out.emplace_back(FindPlacement{Attempt + 1, 0, false, AvoidEndpoint});
  }

  void sendClaimed(TimePoint Now, FlowActions &Out) {
    if (ensureKeyValid(Out))
      sendCall(Now, Out);
  }

  void sendCall(TimePoint Now, FlowActions &Out) {
    const bool First = !CallSent;
    Context.Checks.check(Invariant::AtMostOnce, First || Spec.Call.Repeatable,
                         "a non-repeatable call is sent again", Spec.RequestId);
    CallSent = true;
    ++Attempt;
    enterPhase(Phase::Running, TimePoint::max());
    addLeg(Chosen.Decode, wire::LEG_CALL);
    SendMessage Send{Chosen.Decode, {}};
    wire::CallStart &C = *Send.Message.mutable_call_start();
    *C.mutable_work() = work(wire::LEG_CALL);
    C.set_account(Spec.Account);
    C.set_route_class(Spec.Class);
    C.set_method(Spec.Call.Method);
    C.set_target(Spec.Call.Target);
    for (const HttpHeader &H : Spec.Call.Headers) {
      wire::Header &Copy = *C.add_headers();
      Copy.set_name(H.Name);
      Copy.set_value(H.Value);
    }
    C.set_body(Spec.Call.Body);
    C.set_repeatable(Spec.Call.Repeatable);
    C.set_claim(Spec.Call.ClaimId);
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Spec.Deadline - Now).count();
    C.set_deadline_ms(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(Left, 1, 3'600'000)));
    C.set_version(Chosen.Version);
    onStartSent(C.account());
    record(EventKind::CallStarted, Chosen.Decode);
    Out.emplace_back(std::move(Send));
  }

  /// Answers with the outcome of the request that claimed the idempotency key,
  /// now or as soon as its agent reports it.
  void joinClaimedCall(const wire::ClaimState &Winner, TimePoint Now,
                       FlowActions &Out) {
    if (Winner.claim().request_digest() != Spec.Call.RequestDigest)
      return endWithRefusal({ErrorKind::IdempotencyKeyReused,
                             "the Idempotency-Key was used for another request",
                             "use a new key for a new request",
                             "Idempotency-Key",
                             {}},
                            Out);
    if (Winner.done()) {
      // The call ran once, for the request that claimed the key.
      State = Phase::Ended;
      return finish(AnswerCall{Winner.reply()}, Out);
    }
    Chosen.Decode = Winner.claim().endpoint();
    JoinedClaimedCall = true;
    enterPhase(Phase::AwaitingClaimedCall, TimePoint::max());
    queryOutcome(Now, Out);
  }

  void queryOutcome(TimePoint Now, FlowActions &Out) {
    PollingOutcome = true;
    NextOutcomeQuery = Now + Context.Timing.OutcomePollInterval;
    SendMessage Send{Chosen.Decode, {}};
    wire::OutcomeQuery &Q = *Send.Message.mutable_outcome_query();
    *Q.mutable_work() = work(wire::LEG_CALL);
    Q.set_claim(Spec.Call.ClaimId);
    Out.emplace_back(std::move(Send));
  }

  void onOutcome(const wire::OutcomeReply &Reply, std::string_view Endpoint,
                 TimePoint Now, FlowActions &Out) {
    if (Done || !PollingOutcome || Endpoint != Chosen.Decode)
      return;
    if (Reply.work().request_id() != Spec.RequestId ||
        Reply.work().attempt() != Attempt)
      return;
    switch (Reply.outcome()) {
    case wire::CALL_OUTCOME_DONE:
      return completeCall(Reply.reply(), Out);
    case wire::CALL_OUTCOME_RUNNING:
      return;
    case wire::CALL_OUTCOME_NOT_RUN:
      return onNotRun(Now, Out);
    default:
      Ran = true;
      if (Spec.Call.Repeatable)
        return retry(Chosen.Decode, "no record of the call", Now, Out);
      return endWithRefusal(outcomeUnknown(), Out);
    }
  }

  /// The agent has not started the call and will not start it later.
  void onNotRun(TimePoint Now, FlowActions &Out) {
    if (State == Phase::AwaitingClaimedCall) {
      // The call is sent to the endpoint of the claim, because that endpoint's
      // agent starts a claimed call at most once.
      if (DebitRequested || Spec.DebitTokens == 0)
        return sendClaimed(Now, Out);
      enterPhase(Phase::Admission, TimePoint::max());
      DebitRequested = true;
      return requestDebit(Out);
    }
    onStartConfirmedNotRun();
    if (Spec.Call.Repeatable)
      return retry(Chosen.Decode, "not run", Now, Out);
    endWithRefusal({ErrorKind::Unavailable,
                    "the service could not take the call", "send it again", "",
                    milliseconds(500)},
                   Out);
  }

  void onFailed(const wire::Failed &Message, std::string_view Endpoint,
                TimePoint Now, FlowActions &Out) {
    if (Message.not_run()) {
      onStartConfirmedNotRun();
      if (Spec.Call.Repeatable)
        return retry(std::string(Endpoint), Message.message(), Now, Out);
      return endWithRefusal(
          {ErrorKind::Unavailable, "the service could not take the call",
           "send it again", "",
           milliseconds(std::max<std::uint32_t>(Message.retry_ms(), 100))},
          Out);
    }
    Ran = true;
    if (Spec.Call.Repeatable)
      return retry(std::string(Endpoint), Message.message(), Now, Out);
    endWithRefusal(outcomeUnknown(), Out);
  }

  void retry(const std::string &Endpoint, std::string_view Why, TimePoint Now,
             FlowActions &Out) {
    record(EventKind::AttemptFailed, Endpoint, std::string(Why));
    AvoidEndpoint = Endpoint;
    endLeg(wire::LEG_CALL, WorkEndReason::Failed, true, Out);
    const std::optional<Duration> Backoff =
        Context.TakeRetry(Spec, Attempt, Now);
    if (Backoff)
      return enterPhase(Phase::BackingOff, Now + *Backoff);
    endWithRefusal({ErrorKind::UpstreamFailed,
                    "the service failed and the retry budget is used up",
                    "send the request again later", "", milliseconds(1'000)},
                   Out);
  }

  void onDeadline(FlowActions &Out) {
    const bool Unknown = State == Phase::AwaitingClaimedCall || !notRun();
    if (Unknown && !Spec.Call.Repeatable)
      return endWithRefusal(outcomeUnknown(), Out);
    endWithRefusal({ErrorKind::DeadlineExceeded,
                    "the call did not finish before its deadline",
                    "send it again later", "", milliseconds(1'000)},
                   Out);
  }

  void completeCall(const wire::CallReply &Reply, FlowActions &Out) {
    if (Done)
      return;
    Ran = true;
    record(EventKind::CallFinished, Chosen.Decode);
    endLeg(wire::LEG_CALL, WorkEndReason::Completed, false, Out);
    if (!Spec.Call.ClaimId.empty() &&
        Reply.ByteSizeLong() <= MaxRecordedBytes) {
      RecordOutcome Record;
      Record.Outcome.set_claim_id(Spec.Call.ClaimId);
      *Record.Outcome.mutable_reply() = Reply;
      Out.emplace_back(std::move(Record));
    }
    State = Phase::Ended;
    finish(AnswerCall{Reply}, Out);
  }

  Phase State = Phase::Admission;
  TimePoint BackoffUntil = TimePoint::max();
  TimePoint NextOutcomeQuery = TimePoint::max();
  bool PollingOutcome = false;
  bool CallSent = false;
  bool DebitRequested = false;
  bool JoinedClaimedCall = false; ///< another request claimed the key first
  Placement Chosen;
  std::string AvoidEndpoint;
};

} // namespace

std::unique_ptr<RequestFlow> makeCallFlow(FlowSpec Spec, FlowContext &Context) {
  return std::make_unique<CallFlow>(std::move(Spec), Context);
}

} // namespace hyssoprail
