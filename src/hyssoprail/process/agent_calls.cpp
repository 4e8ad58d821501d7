#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Headers that are never passed on: credentials, and headers that belong to
/// one connection.
constexpr std::array<std::string_view, 12> RemovedHeaders{"authorization",
                                                          "proxy-authorization",
                                                          "cookie",
                                                          "x-api-key",
                                                          "connection",
                                                          "keep-alive",
                                                          "transfer-encoding",
                                                          "content-length",
                                                          "host",
                                                          "te",
                                                          "upgrade",
                                                          "proxy-connection"};

bool removed(const wire::Header &Header) {
  return std::any_of(RemovedHeaders.begin(), RemovedHeaders.end(),
                     [&](std::string_view Name) {
                       return boost::algorithm::iequals(Header.name(), Name);
                     });
}

/// Returns the call as the service may see it.
wire::CallStart forService(wire::CallStart Start) {
  google::protobuf::RepeatedPtrField<wire::Header> Kept;
  for (wire::Header &Header : *Start.mutable_headers())
    if (!removed(Header))
      Kept.Add(std::move(Header));
  Start.mutable_headers()->Swap(&Kept);
  return Start;
}

} // namespace

bool AgentCore::answerRecorded(Entry &From, const wire::CallStart &Start,
                               TimePoint Now) {
  const CallRecord *Record =
      Outcomes.find(Start.work().request_id(), Start.claim());
  if (Record == nullptr)
    return false;
  const WorkKey Key = workKey(Start.work());
  wire::Envelope Answer;
  switch (Record->Outcome) {
  case wire::CALL_OUTCOME_NOT_RUN:
    // Earlier attempts never ran; a later one may.
    if (Start.work().attempt() > Record->Attempt)
      return false;
    fail(From, Key, wire::REFUSAL_REASON_DUPLICATE, true,
         "this attempt was refused before", Now);
    return true;
  case wire::CALL_OUTCOME_RUNNING:
    if (Start.repeatable())
      return Works.contains(Key);
    *Answer.mutable_outcome_reply()->mutable_work() = Start.work();
    Answer.mutable_outcome_reply()->set_claim(Start.claim());
    Answer.mutable_outcome_reply()->set_outcome(wire::CALL_OUTCOME_RUNNING);
    break;
  case wire::CALL_OUTCOME_DONE:
    if (Start.repeatable() && Start.work().attempt() > Record->Attempt)
      return false;
    *Answer.mutable_call_reply() = Record->Reply;
    *Answer.mutable_call_reply()->mutable_work() = Start.work();
    break;
  default:
    if (Start.repeatable() && Start.work().attempt() > Record->Attempt)
      return false;
    fail(From, Key, wire::REFUSAL_REASON_ENGINE, false,
         "the call was sent to the service, its outcome is unknown", Now);
    return true;
  }
  send(From, std::move(Answer));
  return true;
}

void AgentCore::onCall(Entry &From, const wire::Envelope &Message,
                       TimePoint Now) {
  const wire::CallStart &Start = Message.call_start();
  const WorkKey Key = workKey(Start.work());
  if (Key.Leg != wire::LEG_CALL)
    return;
  // An earlier incarnation may have run the call, so "not run" may be said
  // only of a call that was sent to this one.
  const bool ForThis = Message.to_incarnation() == Options.Incarnation;
  if (!ForThis && (!Start.repeatable() || Message.to_incarnation() != 0)) {
    fail(From, Key, wire::REFUSAL_REASON_WRONG_ENDPOINT, false,
         "the call is not addressed to this incarnation of the agent", Now);
    return;
  }
  if (Works.contains(Key) || answerRecorded(From, Start, Now) ||
      answerRepeated(From, Key))
    return;
  wire::RefusalReason Reason = refusalOfNewWork();
  if (stale(From, Key, Message.seq())) {
    ++Counts.Stale;
    Reason = wire::REFUSAL_REASON_STALE;
  } else if (Options.Kind != AgentKind::Service) {
    Reason = wire::REFUSAL_REASON_WRONG_ENDPOINT;
  } else if (Reason == wire::REFUSAL_REASON_UNSPECIFIED &&
             (Queue.size() >= Options.QueueLimit || Outcomes.full())) {
    Reason = wire::REFUSAL_REASON_FULL;
  }
  if (Reason != wire::REFUSAL_REASON_UNSPECIFIED) {
    fail(From, Key, Reason, ForThis, "this endpoint cannot take the call", Now);
    return;
  }
  Work &W = addWork(From, Key, Message.seq(), Now);
  W.Phase = State::QueuedCall;
  W.Account = Start.account();
  W.Class = Start.route_class();
  W.PromptTokens = 1;
  W.Deadline = Now + (Start.deadline_ms() == 0
                          ? Options.MaxCall
                          : std::min(milliseconds(Start.deadline_ms()),
                                     Options.MaxCall));
  W.Start = std::make_unique<wire::Envelope>(Message);
  enqueue(W);
}

void AgentCore::startCall(Work &W, TimePoint Now) {
  const wire::CallStart &Start = W.Start->call_start();
  const CallRecord *Before = Outcomes.find(W.Key.RequestId, Start.claim());
  const bool First =
      Before == nullptr || Before->Outcome == wire::CALL_OUTCOME_NOT_RUN;
  if (!Checks.check(Invariant::AtMostOnce, First || Start.repeatable(),
                    "a non-repeatable call was about to run twice",
                    W.Key.RequestId)) {
    failWork(W, wire::REFUSAL_REASON_DUPLICATE, false,
             "the call has run before", Now);
    return;
  }
  markOnEngine(W, Now);
  W.Phase = State::Calling;
  W.Call = ++LastCall;
  W.Created = Now;
  Calls[W.Call] = W.Key;
  Outcomes.recordStart(W.Key.RequestId, W.Key.Attempt, Start.claim(), Now);
  note(EventKind::CallStarted, W.Key, W.Account, {});
  // A kept connection may have been closed by the service; whether a call
  // written to it ran could not be told.
  Actions.emplace_back(
      ServiceCall{W.Call, forService(Start), !Start.repeatable(),
                  std::chrono::ceil<milliseconds>(W.Deadline - Now)});
}

void AgentCore::failWork(Work &W, wire::RefusalReason Reason, bool NotRun,
                         std::string Text, TimePoint Now) {
  wire::Envelope Result;
  wire::Failed &Failure = *Result.mutable_failed();
  *Failure.mutable_work() = workRef(W.Key);
  Failure.set_reason(Reason);
  Failure.set_not_run(NotRun);
  Failure.set_message(std::move(Text));
  endWork(W, std::move(Result), Now);
}

void AgentCore::on(const ServiceResult &R, TimePoint Now) {
  Work *W = workOf(R.Call);
  if (W == nullptr)
    return;
  const std::string RequestId = W->Key.RequestId;
  if (R.End == CallEnd::Ok) {
    sampleLatency(
        std::chrono::duration<double, std::micro>(Now - W->Created).count() /
            Options.CallBound,
        Now);
    wire::Envelope Result;
    wire::CallReply &Reply = *Result.mutable_call_reply();
    *Reply.mutable_work() = workRef(W->Key);
    Reply.set_status(R.Status);
    for (const wire::Header &Header : R.Headers)
      *Reply.add_headers() = Header;
    Reply.set_body(R.Body);
    Outcomes.recordResult(RequestId, wire::CALL_OUTCOME_DONE, Reply, Now);
    note(EventKind::CallFinished, W->Key, W->Account, {});
    leaveEngine(*W);
    endWork(*W, std::move(Result), Now);
    return;
  }
  const bool NotRun = R.End == CallEnd::NotSent;
  if (NotRun || R.End == CallEnd::Broken) {
    if (!Ramp.cold())
      ++Counts.ColdStarts;
    Ramp.restart(Now);
    Evidence = false;
  }
  leaveEngine(*W);
  if (NotRun)
    Outcomes.recordNotRun(RequestId, W->Key.Attempt, Now);
  else
    Outcomes.recordResult(RequestId, wire::CALL_OUTCOME_UNKNOWN, {}, Now);
  note(NotRun ? EventKind::AttemptFailed : EventKind::OutcomeUnknown, W->Key,
       W->Account, {});
  failWork(*W,
           R.End == CallEnd::Timeout ? wire::REFUSAL_REASON_TIMEOUT
                                     : wire::REFUSAL_REASON_ENGINE,
           NotRun,
           NotRun ? "the service refused the connection; nothing was sent"
                  : "the service gave no answer; the outcome is unknown",
           Now);
}

void AgentCore::onOutcomeQuery(Entry &From, const wire::Envelope &Message,
                               TimePoint Now) {
  const wire::OutcomeQuery &Ask = Message.outcome_query();
  const WorkKey Key = workKey(Ask.work());
  wire::Envelope Answer;
  wire::OutcomeReply &Reply = *Answer.mutable_outcome_reply();
  *Reply.mutable_work() = Ask.work();
  Reply.set_claim(Ask.claim());
  const CallRecord *Record = Outcomes.find(Key.RequestId, Ask.claim());
  if (Record != nullptr) {
    Reply.set_outcome(Record->Outcome);
    if (Record->Outcome == wire::CALL_OUTCOME_DONE) {
      *Reply.mutable_reply() = Record->Reply;
      *Reply.mutable_reply()->mutable_work() = Ask.work();
    }
  } else if (Works.contains(Key)) {
    Reply.set_outcome(wire::CALL_OUTCOME_RUNNING);
  } else if (Ask.claim().empty() && !Key.RequestId.empty() &&
             Ask.started_incarnation() == Options.Incarnation &&
             !Outcomes.full()) {
    // The start was sent to this incarnation and has not arrived: from now on
    // it will be refused. A claim may be older than the records, so nothing is
    // said about claims.
    Outcomes.recordNotRun(Key.RequestId, Key.Attempt, Now);
    Reply.set_outcome(wire::CALL_OUTCOME_NOT_RUN);
  } else {
    Reply.set_outcome(wire::CALL_OUTCOME_UNKNOWN);
  }
  send(From, std::move(Answer));
}

} // namespace hyssoprail
