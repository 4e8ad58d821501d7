#include "hyssoprail/request/request_flow.hpp"

#include <algorithm>
#include <optional>

namespace hyssoprail {
namespace {

/// Largest answer that is appended to the log with a claim.
constexpr std::size_t MaxRecordedBytes = 4096;

enum class Phase {
  Admission, ///< waits for the debit
  Queued,    ///< waits for an endpoint
  Claiming,  ///< waits for the claim record
  Pausing,   ///< waits before it asks for an endpoint again
  Running,   ///< the start was sent
  Following, ///< asks for the outcome of a call that another request claimed
  Over,
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
      return follow(*Spec.Call.ExistingClaim, Now, Out);
    if (Spec.DebitTokens == 0)
      return admitted(Now, Out);
    DebitAsked = true;
    askDebit(Out);
  }

  void placed(const Placement &Where, TimePoint Now,
              FlowActions &Out) override {
    if (Done || State != Phase::Queued)
      return;
    if (!mayDispatch(Out))
      return;
    Chosen = Where;
    if (Spec.Call.ClaimId.empty())
      return sendCall(Now, Out);
    enter(Phase::Claiming, TimePoint::max());
    AppendClaim Ask;
    Ask.Claim.set_claim_id(Spec.Call.ClaimId);
    Ask.Claim.set_request_digest(Spec.Call.RequestDigest);
    Ask.Claim.set_endpoint(Where.Decode);
    Ask.Claim.set_request_id(Spec.RequestId);
    Out.emplace_back(std::move(Ask));
  }

  void notPlaced(const Error &Why, TimePoint /*Now*/,
                 FlowActions &Out) override {
    if (!Done && State == Phase::Queued)
      end(Why, Out);
  }

  void claimed(const Result<wire::ClaimState> &Answer, TimePoint Now,
               FlowActions &Out) override {
    if (Done || State != Phase::Claiming)
      return;
    if (const Error *E = errorOf(Answer))
      return end(*E, Out);
    const wire::ClaimState &Winner = valueOf(Answer);
    if (Winner.claim().request_id() != Spec.RequestId)
      return follow(Winner, Now, Out);
    // The key may have been withdrawn while the record was appended.
    if (mayDispatch(Out))
      sendCall(Now, Out);
  }

  void received(std::string_view Endpoint, const wire::Envelope &Message,
                TimePoint Now, FlowActions &Out) override {
    if (Message.has_call_reply() &&
        concerns(Message.call_reply().work(), Endpoint))
      return answer(Message.call_reply(), Out);
    if (Message.has_outcome_reply())
      return onOutcome(Message.outcome_reply(), Endpoint, Now, Out);
    if (Message.has_failed() && concerns(Message.failed().work(), Endpoint))
      return onFailed(Message.failed(), Endpoint, Now, Out);
  }

  void endpointLost(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    if (Done || State != Phase::Running || Chosen.Decode != Endpoint)
      return;
    if (Spec.Call.Repeatable) {
      Ran = true;
      return repeat(std::string(Endpoint), "endpoint lost", Now, Out);
    }
    askOutcome(Now, Out);
  }

  void linkReplaced(std::string_view Endpoint, TimePoint Now,
                    FlowActions &Out) override {
    if (!Done && Chosen.Decode == Endpoint &&
        (State == Phase::Running || State == Phase::Following))
      askOutcome(Now, Out);
  }

  void tick(TimePoint Now, FlowActions &Out) override {
    if (Done)
      return;
    if (Now >= Spec.Deadline)
      return onDeadline(Out);
    if (State == Phase::Pausing && Now >= PauseUntil)
      return enqueue(Out);
    if (Asking && Now >= AskAt)
      askOutcome(Now, Out);
  }

  TimePoint wakeAt() const override {
    if (Done)
      return TimePoint::max();
    TimePoint At = Spec.Deadline;
    if (State == Phase::Pausing)
      At = std::min(At, PauseUntil);
    if (Asking)
      At = std::min(At, AskAt);
    return At;
  }

protected:
  void admitted(TimePoint Now, FlowActions &Out) override {
    if (FollowsClaim)
      return sendClaimed(Now, Out);
    enqueue(Out);
  }

  bool waiting() const override {
    return State == Phase::Admission || State == Phase::Queued ||
           State == Phase::Claiming || State == Phase::Pausing;
  }

  std::uint64_t usedTokens() const override {
    return notRun() ? 0 : Spec.DebitTokens;
  }

private:
  void end(Error Cause, FlowActions &Out) {
    State = Phase::Over;
    refuse(std::move(Cause), Out);
  }

  void enter(Phase Next, TimePoint Until) {
    State = Next;
    PauseUntil = Until;
    Asking = false;
  }

  void enqueue(FlowActions &Out) {
    enter(Phase::Queued, TimePoint::max());
    Out.emplace_back(FindPlacement{Attempt + 1, 0, false, Avoid});
  }

  void sendClaimed(TimePoint Now, FlowActions &Out) {
    if (mayDispatch(Out))
      sendCall(Now, Out);
  }

  void sendCall(TimePoint Now, FlowActions &Out) {
    const bool First = !Sent;
    Context.Checks.check(Invariant::AtMostOnce, First || Spec.Call.Repeatable,
                         "a non-repeatable call is sent again", Spec.RequestId);
    Sent = true;
    ++Attempt;
    enter(Phase::Running, TimePoint::max());
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
    startSent(C.account());
    record(EventKind::CallStarted, Chosen.Decode);
    Out.emplace_back(std::move(Send));
  }

  /// Gives the outcome of the request that claimed the idempotency key.
  void follow(const wire::ClaimState &Winner, TimePoint Now, FlowActions &Out) {
    if (Winner.claim().request_digest() != Spec.Call.RequestDigest)
      return end({ErrorKind::IdempotencyKeyReused,
                  "the Idempotency-Key was used for another request",
                  "use a new key for a new request",
                  "Idempotency-Key",
                  {}},
                 Out);
    if (Winner.done()) {
      // The call ran once, for the request that claimed it.
      State = Phase::Over;
      return finish(AnswerCall{Winner.reply()}, Out);
    }
    Chosen.Decode = Winner.claim().endpoint();
    FollowsClaim = true;
    enter(Phase::Following, TimePoint::max());
    askOutcome(Now, Out);
  }

  void askOutcome(TimePoint Now, FlowActions &Out) {
    Asking = true;
    AskAt = Now + Context.Timing.OutcomeEvery;
    SendMessage Send{Chosen.Decode, {}};
    wire::OutcomeQuery &Q = *Send.Message.mutable_outcome_query();
    *Q.mutable_work() = work(wire::LEG_CALL);
    Q.set_claim(Spec.Call.ClaimId);
    Out.emplace_back(std::move(Send));
  }

  void onOutcome(const wire::OutcomeReply &Reply, std::string_view Endpoint,
                 TimePoint Now, FlowActions &Out) {
    if (Done || !Asking || Endpoint != Chosen.Decode)
      return;
    if (Reply.work().request_id() != Spec.RequestId ||
        Reply.work().attempt() != Attempt)
      return;
    switch (Reply.outcome()) {
    case wire::CALL_OUTCOME_DONE:
      return answer(Reply.reply(), Out);
    case wire::CALL_OUTCOME_RUNNING:
      return;
    case wire::CALL_OUTCOME_NOT_RUN:
      return onNotRun(Now, Out);
    default:
      Ran = true;
      if (Spec.Call.Repeatable)
        return repeat(Chosen.Decode, "no record of the call", Now, Out);
      return end(outcomeUnknown(), Out);
    }
  }

  /// The agent did not start the call and will not start it later.
  void onNotRun(TimePoint Now, FlowActions &Out) {
    if (State == Phase::Following) {
      // The claim stays with its endpoint, whose agent starts it once at most.
      if (DebitAsked || Spec.DebitTokens == 0)
        return sendClaimed(Now, Out);
      enter(Phase::Admission, TimePoint::max());
      DebitAsked = true;
      return askDebit(Out);
    }
    startConfirmedNotRun();
    if (Spec.Call.Repeatable)
      return repeat(Chosen.Decode, "not run", Now, Out);
    end({ErrorKind::Unavailable, "the service could not take the call",
         "send it again", "", milliseconds(500)},
        Out);
  }

  void onFailed(const wire::Failed &Message, std::string_view Endpoint,
                TimePoint Now, FlowActions &Out) {
    if (Message.not_run()) {
      startConfirmedNotRun();
      if (Spec.Call.Repeatable)
        return repeat(std::string(Endpoint), Message.message(), Now, Out);
      return end(
          {ErrorKind::Unavailable, "the service could not take the call",
           "send it again", "",
           milliseconds(std::max<std::uint32_t>(Message.retry_ms(), 100))},
          Out);
    }
    Ran = true;
    if (Spec.Call.Repeatable)
      return repeat(std::string(Endpoint), Message.message(), Now, Out);
    end(outcomeUnknown(), Out);
  }

  void repeat(const std::string &Endpoint, std::string_view Why, TimePoint Now,
              FlowActions &Out) {
    record(EventKind::AttemptFailed, Endpoint, std::string(Why));
    Avoid = Endpoint;
    endLeg(wire::LEG_CALL, WorkEndReason::Failed, true, Out);
    const std::optional<Duration> Pause = Context.TakeRetry(Spec, Attempt, Now);
    if (Pause)
      return enter(Phase::Pausing, Now + *Pause);
    end({ErrorKind::UpstreamFailed,
         "the service failed and the retry budget is used up",
         "send the request again later", "", milliseconds(1'000)},
        Out);
  }

  void onDeadline(FlowActions &Out) {
    const bool Unknown = State == Phase::Following || !notRun();
    if (Unknown && !Spec.Call.Repeatable)
      return end(outcomeUnknown(), Out);
    end({ErrorKind::DeadlineExceeded,
         "the call did not finish before its deadline", "send it again later",
         "", milliseconds(1'000)},
        Out);
  }

  void answer(const wire::CallReply &Reply, FlowActions &Out) {
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
    State = Phase::Over;
    finish(AnswerCall{Reply}, Out);
  }

  Phase State = Phase::Admission;
  TimePoint PauseUntil = TimePoint::max();
  TimePoint AskAt = TimePoint::max();
  bool Asking = false;
  bool Sent = false;
  bool DebitAsked = false;
  bool FollowsClaim = false; ///< another request claimed the key
  Placement Chosen;
  std::string Avoid;
};

} // namespace

std::unique_ptr<RequestFlow> makeCallFlow(FlowSpec Spec, FlowContext &Context) {
  return std::make_unique<CallFlow>(std::move(Spec), Context);
}

} // namespace hyssoprail
