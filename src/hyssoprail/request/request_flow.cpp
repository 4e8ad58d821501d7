#include "hyssoprail/request/request_flow.hpp"

#include <algorithm>

namespace hyssoprail {

void RequestFlow::requestDebit(FlowActions &Out) {
  if (Spec.DebitTokens == 0)
    return;
  DebitPending = true;
  Out.emplace_back(DebitAccount{Spec.DebitTokens});
}

void RequestFlow::debited(const Status &Answer, TimePoint Now,
                          FlowActions &Out) {
  if (!DebitPending)
    return;
  DebitPending = false;
  const Error *Failure = errorOf(Answer);
  DebitGranted = Failure == nullptr;
  if (Done) {
    if (DebitGranted)
      Out.emplace_back(RefundTokens{Spec.DebitTokens});
    return;
  }
  if (Failure != nullptr)
    return refuse(*Failure, Out);
  onAdmitted(Now, Out);
}

void RequestFlow::claimed(const Result<wire::ClaimState> & /*Answer*/,
                          TimePoint /*Now*/, FlowActions & /*Out*/) {}

void RequestFlow::callerDisconnected(TimePoint /*Now*/, FlowActions &Out) {
  if (Done)
    return;
  record(EventKind::RequestCancelled, "");
  endAllLegs(WorkEndReason::Cancelled, Out);
  Done = true;
  if (DebitGranted && !Refunded && usedTokens() < Spec.DebitTokens)
    Out.emplace_back(RefundTokens{Spec.DebitTokens - usedTokens()});
  Refunded = true;
}

void RequestFlow::recheckKey(TimePoint /*Now*/, FlowActions &Out) {
  if (!Done && waiting())
    ensureKeyValid(Out);
}

void RequestFlow::finish(FlowAction TerminalAction, FlowActions &Out) {
  ++TerminalActions;
  const bool Once = Context.Checks.check(
      Invariant::AnsweredOnce, TerminalActions == 1 && !Done,
      "a second terminal answer", Spec.RequestId);
  if (!Once)
    return;
  endAllLegs(WorkEndReason::Cancelled, Out);
  Done = true;
  Out.push_back(std::move(TerminalAction));
  if (DebitGranted && !Refunded && usedTokens() < Spec.DebitTokens)
    Out.emplace_back(RefundTokens{Spec.DebitTokens - usedTokens()});
  Refunded = true;
}

void RequestFlow::refuse(Error Cause, FlowActions &Out) {
  if (EmittedTokens > 0 && Spec.Completion.Stream) {
    record(EventKind::RequestRefused, "", "answer broken off");
    return finish(AbortAnswer{std::move(Cause)}, Out);
  }
  // A call with an unknown outcome is never reported as not run, even if no
  // start is open.
  const bool NotRun = notRun() && Cause.Kind != ErrorKind::OutcomeUnknown;
  Context.Checks.check(Invariant::NotRunIsTrue,
                       !NotRun || (OpenStarts == 0 && EmittedTokens == 0),
                       "a start is not confirmed", Spec.RequestId);
  record(Cause.Kind == ErrorKind::OutcomeUnknown ? EventKind::OutcomeUnknown
                                                 : EventKind::RequestRefused,
         "", std::string(errorCode(Cause.Kind)));
  finish(RefuseRequest{{std::move(Cause), NotRun, Spec.RequestId}}, Out);
}

void RequestFlow::addLeg(const std::string &Endpoint, wire::Leg Which) {
  Legs.push_back({Endpoint, work(Which)});
}

const LiveLeg *RequestFlow::findLeg(wire::Leg Which) const {
  for (const LiveLeg &Leg : Legs)
    if (Leg.Work.leg() == Which)
      return &Leg;
  return nullptr;
}

void RequestFlow::endLeg(wire::Leg Which, WorkEndReason Reason, bool SendCancel,
                         FlowActions &Out) {
  const auto It =
      std::find_if(Legs.begin(), Legs.end(), [Which](const LiveLeg &Leg) {
        return Leg.Work.leg() == Which;
      });
  if (It == Legs.end())
    return;
  const LiveLeg Leg = *It;
  Legs.erase(It);
  if (SendCancel) {
    SendMessage Message{Leg.Endpoint, {}};
    *Message.Message.mutable_cancel()->mutable_work() = Leg.Work;
    Out.emplace_back(std::move(Message));
  }
  Out.emplace_back(EndWork{Leg.Endpoint, Leg.Work, Reason, EmittedTokens});
}

void RequestFlow::endAllLegs(WorkEndReason Reason, FlowActions &Out) {
  while (!Legs.empty())
    endLeg(Legs.front().Work.leg(), Reason, true, Out);
}

wire::WorkRef RequestFlow::work(wire::Leg Which) const {
  wire::WorkRef Work;
  Work.set_request_id(Spec.RequestId);
  Work.set_attempt(Attempt);
  Work.set_leg(Which);
  return Work;
}

bool RequestFlow::matchesLiveLeg(const wire::WorkRef &Work,
                                 std::string_view Endpoint) const {
  if (Done || Work.attempt() != Attempt || Work.request_id() != Spec.RequestId)
    return false;
  const LiveLeg *Leg = findLeg(Work.leg());
  return Leg != nullptr && Leg->Endpoint == Endpoint;
}

bool RequestFlow::ensureKeyValid(FlowActions &Out) {
  if (Spec.KeyDigest.empty())
    return true;
  if (Context.KeyValid(Spec.KeyDigest, Spec.Account))
    return true;
  refuse({ErrorKind::Unauthenticated,
          "the key was withdrawn while the request waited",
          "use a current key",
          "",
          {}},
         Out);
  return false;
}

void RequestFlow::onStartSent(std::string_view Account) {
  Context.Checks.check(
      Invariant::KeyScope,
      Account == Spec.Account && Spec.KeyDigest.empty() == Spec.Account.empty(),
      "work runs for another account than the key's", Spec.RequestId);
  ++OpenStarts;
}

void RequestFlow::onStartConfirmedNotRun() {
  if (OpenStarts > 0)
    --OpenStarts;
}

void RequestFlow::record(EventKind Kind, std::string_view Endpoint,
                         std::string Detail) const {
  Event E;
  E.Kind = Kind;
  E.RequestId = Spec.RequestId;
  E.Attempt = Attempt;
  E.Account = Spec.Account;
  E.Endpoint = Endpoint;
  E.Detail = std::move(Detail);
  Context.Events.record(std::move(E));
}

} // namespace hyssoprail
