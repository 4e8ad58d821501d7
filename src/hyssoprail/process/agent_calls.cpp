#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Headers that are never forwarded: credentials and hop-by-hop headers.
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

bool isRemovedHeader(const wire::Header &Header) {
  return std::any_of(RemovedHeaders.begin(), RemovedHeaders.end(),
                     [&](std::string_view Name) {
                       return boost::algorithm::iequals(Header.name(), Name);
                     });
}

/// Returns the call without the headers that must not reach the service.
wire::CallStart withoutRemovedHeaders(wire::CallStart Start) {
  google::protobuf::RepeatedPtrField<wire::Header> Kept;
  for (wire::Header &Header : *Start.mutable_headers())
    if (!isRemovedHeader(Header))
      Kept.Add(std::move(Header));
  Start.mutable_headers()->Swap(&Kept);
  return Start;
}

} // namespace

bool AgentCore::replyFromRecord(Entry &From, const wire::CallStart &Start,
                                TimePoint Now) {
  const CallRecord *Record =
      Outcomes.find(Start.work().request_id(), Start.claim());
  if (Record == nullptr)
    return false;
  const WorkKey Key = workKey(Start.work());
  wire::Envelope Answer;
  switch (Record->Outcome) {
  case wire::CALL_OUTCOME_NOT_RUN:
    // The attempts up to the recorded one never ran. A later attempt may run.
    if (Start.work().attempt() > Record->Attempt)
      return false;
    replyFailed(From, Key, wire::REFUSAL_REASON_DUPLICATE, true,
                "this attempt was refused before", Now);
    return true;
  case wire::CALL_OUTCOME_RUNNING:
    if (Start.repeatable())
      return ActiveWork.contains(Key);
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
    replyFailed(From, Key, wire::REFUSAL_REASON_ENGINE, false,
                "the call was sent to the service, its outcome is unknown",
                Now);
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
  // An earlier incarnation may have run the call, so only a call that was sent
  // to this one may be reported as not run.
  const bool ForThisIncarnation =
      Message.to_incarnation() == Options.Incarnation;
  if (!ForThisIncarnation &&
      (!Start.repeatable() || Message.to_incarnation() != 0)) {
    replyFailed(From, Key, wire::REFUSAL_REASON_WRONG_ENDPOINT, false,
                "the call is not addressed to this incarnation of the agent",
                Now);
    return;
  }
  if (ActiveWork.contains(Key) || replyFromRecord(From, Start, Now) ||
      resendResult(From, Key))
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
    replyFailed(From, Key, Reason, ForThisIncarnation,
                "this endpoint cannot take the call", Now);
    return;
  }
  Work &W = addWork(From, Key, Message.seq(), Now);
  W.Phase = State::QueuedCall;
  W.Account = Start.account();
  W.Class = Start.route_class();
  W.PromptTokens = 1;
  W.Deadline = Now + (Start.deadline_ms() == 0
                          ? Options.MaxLegTimeout
                          : std::min(milliseconds(Start.deadline_ms()),
                                     Options.MaxLegTimeout));
  W.Start = std::make_unique<wire::Envelope>(Message);
  enqueue(W);
}

void AgentCore::startCall(Work &W, TimePoint Now) {
  const wire::CallStart &Start = W.Start->call_start();
  const CallRecord *Previous = Outcomes.find(W.Key.RequestId, Start.claim());
  const bool NotRunBefore =
      Previous == nullptr || Previous->Outcome == wire::CALL_OUTCOME_NOT_RUN;
  if (!Checks.check(Invariant::AtMostOnce, NotRunBefore || Start.repeatable(),
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
  WorkByCall[W.Call] = W.Key;
  Outcomes.recordStart(W.Key.RequestId, W.Key.Attempt, Start.claim(), Now);
  recordEvent(EventKind::CallStarted, W.Key, W.Account, {});
  // The service may have closed a keep-alive connection. Whether a call written
  // to it ran would be unknown, so non-repeatable calls get a new connection.
  Actions.emplace_back(
      ServiceCall{W.Call, withoutRemovedHeaders(Start), !Start.repeatable(),
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
  finishWork(W, std::move(Result), Now);
}

void AgentCore::on(const ServiceResult &R, TimePoint Now) {
  Work *W = findWork(R.Call);
  if (W == nullptr)
    return;
  const std::string RequestId = W->Key.RequestId;
  if (R.Code == CallStatusCode::Ok) {
    addLatencySample(
        std::chrono::duration<double, std::micro>(Now - W->Created).count() /
            Options.CallLatencyBound,
        Now);
    wire::Envelope Result;
    wire::CallReply &Reply = *Result.mutable_call_reply();
    *Reply.mutable_work() = workRef(W->Key);
    Reply.set_status(R.Status);
    for (const wire::Header &Header : R.Headers)
      *Reply.add_headers() = Header;
    Reply.set_body(R.Body);
    Outcomes.recordResult(RequestId, wire::CALL_OUTCOME_DONE, Reply, Now);
    recordEvent(EventKind::CallFinished, W->Key, W->Account, {});
    markOffEngine(*W);
    finishWork(*W, std::move(Result), Now);
    return;
  }
  const bool NotRun = R.Code == CallStatusCode::NotSent;
  if (NotRun || R.Code == CallStatusCode::ConnectionLost) {
    if (!Ramp.cold())
      ++Counts.ColdStarts;
    Ramp.restart(Now);
    LivenessConfirmed = false;
  }
  markOffEngine(*W);
  if (NotRun)
    Outcomes.recordNotRun(RequestId, W->Key.Attempt, Now);
  else
    Outcomes.recordResult(RequestId, wire::CALL_OUTCOME_UNKNOWN, {}, Now);
  recordEvent(NotRun ? EventKind::AttemptFailed : EventKind::OutcomeUnknown,
              W->Key, W->Account, {});
  failWork(*W,
           R.Code == CallStatusCode::Timeout ? wire::REFUSAL_REASON_TIMEOUT
                                             : wire::REFUSAL_REASON_ENGINE,
           NotRun,
           NotRun ? "the service refused the connection; nothing was sent"
                  : "the service gave no answer; the outcome is unknown",
           Now);
}

void AgentCore::onOutcomeQuery(Entry &From, const wire::Envelope &Message,
                               TimePoint Now) {
  const wire::OutcomeQuery &Request = Message.outcome_query();
  const WorkKey Key = workKey(Request.work());
  wire::Envelope Answer;
  wire::OutcomeReply &Reply = *Answer.mutable_outcome_reply();
  *Reply.mutable_work() = Request.work();
  Reply.set_claim(Request.claim());
  const CallRecord *Record = Outcomes.find(Key.RequestId, Request.claim());
  if (Record != nullptr) {
    Reply.set_outcome(Record->Outcome);
    if (Record->Outcome == wire::CALL_OUTCOME_DONE) {
      *Reply.mutable_reply() = Record->Reply;
      *Reply.mutable_reply()->mutable_work() = Request.work();
    }
  } else if (ActiveWork.contains(Key)) {
    Reply.set_outcome(wire::CALL_OUTCOME_RUNNING);
  } else if (Request.claim().empty() && !Key.RequestId.empty() &&
             Request.started_incarnation() == Options.Incarnation &&
             !Outcomes.full()) {
    // The start was sent to this incarnation and has not arrived. It is refused
    // from now on. A claim may be older than the records kept here, so queries
    // by claim are not answered this way.
    Outcomes.recordNotRun(Key.RequestId, Key.Attempt, Now);
    Reply.set_outcome(wire::CALL_OUTCOME_NOT_RUN);
  } else {
    Reply.set_outcome(wire::CALL_OUTCOME_UNKNOWN);
  }
  send(From, std::move(Answer));
}

} // namespace hyssoprail
