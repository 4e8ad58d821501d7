#include "hyssoprail/routing/flow.hpp"
#include "hyssoprail/routing/leg_health_signal.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace hyssoprail::routing {
namespace {

/// Time to return for a call that no endpoint took: a slot is free again after
/// a few calls of tens of milliseconds.
constexpr milliseconds CallReturn{60};

/// Time to return if the service has no endpoint: one registers or is believed
/// again some hundred milliseconds after it is up.
constexpr milliseconds NoEndpointReturn{400};

/// Sends that reach no endpoint or that it refuses are bounded too, so a fleet
/// that is down is not searched for the whole deadline.
constexpr unsigned MaxSends = 4;

/// An idempotent call is sent elsewhere after this multiple of its objective
/// without an answer.
constexpr int PatienceInObjectives = 2;

/// Course of a plain call.
class CallFlow : public Flow {
public:
  CallFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io)
      : Shared(std::move(Shared)), Request(std::move(Request)), Io(Io) {}

  void start(TimePoint Now) override { send(Now); }

  void onLegResult(FlowIo::LegId Leg, LegResult Answer,
                   TimePoint Now) override {
    if (Done || Leg != Active)
      return;
    endLeg();
    recordHealth(Answer, Now);
    switch (Answer.Outcome) {
    case LegOutcome::NotSent:
    case LegOutcome::NotRun:
      return sendElsewhere(Answer.Outcome, Now);
    case LegOutcome::Answered:
      return onWholeAnswer(std::move(Answer.Response), Now);
    case LegOutcome::Broken:
    case LegOutcome::TimedOut:
      Ran = true;
      return afterUnknown(Now);
    }
  }

  void onTimer(TimePoint Now) override {
    if (Done)
      return;
    if (Now >= lastMoment())
      return timeIsOver(Now);
    if (Active && Now >= ImpatientAt)
      onImpatient(Now);
  }

  void onCallerDisconnected(TimePoint) override {
    stopLeg();
    Done = true;
  }

  TimePoint nextDeadline() const override {
    return Active ? std::min(ImpatientAt, lastMoment()) : lastMoment();
  }

  bool done() const override { return Done; }
  bool mayHaveRun() const override { return Ran || Active; }

private:
  bool idempotent() const {
    return Request.Route.Kind == RouteKind::IdempotentCall;
  }

  TimePoint lastMoment() const { return Request.AnswerBy - AnswerMargin; }

  void send(TimePoint Now) {
    if (!Io.stillAllowed())
      return finish(RejectReason::NoKey, {});
    Endpoint *E =
        chooseForCall(Shared.Table, Request.Service, Shared.Zone, Tried, Now);
    if (!E)
      return giveUp(Now);
    Io.logDecision("place", {{"endpoint", E->Record.Id},
                             {"zone", E->Record.Zone},
                             {"runs", E->total().Runs},
                             {"failure_share", E->Health.failureShare()}});
    ++Sends;
    ActiveEndpoint = E->Record.Id;
    Tried.insert(ActiveEndpoint);
    Shared.Table.reserve(ActiveEndpoint, {1, 0, 0});
    Shared.Table.sent(ActiveEndpoint, Now);
    LegRequest Leg;
    Leg.EndpointId = E->Record.Id;
    Leg.Address = E->Record.Address;
    Leg.Deadline =
        std::chrono::duration_cast<milliseconds>(Request.AnswerBy - Now);
    Leg.IsRetry = Sends > 1;
    ImpatientAt =
        idempotent() && Runs + 1 < Request.Route.MaxAttempts
            ? Now + Request.Route.LatencyObjective * PatienceInObjectives
            : TimePoint::max();
    Active = Io.startLeg(Leg);
  }

  void endLeg() {
    Active.reset();
    Shared.Table.release(ActiveEndpoint, {1, 0, 0});
  }

  void stopLeg() {
    if (!Active)
      return;
    Io.cancelLeg(*Active);
    endLeg();
  }

  void recordHealth(const LegResult &Answer, TimePoint Now) {
    if (Endpoint *E = Shared.Table.find(ActiveEndpoint))
      E->Health.record(healthSignalOf(Answer, HealthSignal::RouteTimeout), Now);
  }

  /// The request has not run at the last endpoint, so any kind of call may be
  /// sent to another one.
  void sendElsewhere(LegOutcome Outcome, TimePoint Now) {
    const bool Arrived = Outcome != LegOutcome::NotSent;
    if (Sends >= MaxSends ||
        (Arrived && !Shared.Retries.take(Request.Service, Now)))
      return giveUp(Now);
    send(Now);
  }

  void onWholeAnswer(HttpResponse Response, TimePoint Now) {
    Ran = true;
    ++Runs;
    if (Response.Status < 500 || !mayRunAgain(Now))
      return finishWith(Response);
    Failure = std::move(Response);
    send(Now);
  }

  void afterUnknown(TimePoint Now) {
    ++Runs;
    if (mayRunAgain(Now))
      return send(Now);
    giveUp(Now);
  }

  bool mayRunAgain(TimePoint Now) {
    return idempotent() && Runs < Request.Route.MaxAttempts &&
           Sends < MaxSends &&
           chooseForCall(Shared.Table, Request.Service, Shared.Zone, Tried,
                         Now) &&
           Shared.Retries.take(Request.Service, Now);
  }

  /// No answer within the patience: the endpoint is slow or silent.
  void onImpatient(TimePoint Now) {
    ImpatientAt = TimePoint::max();
    ++Runs;
    if (!mayRunAgain(Now)) {
      --Runs;
      return;
    }
    Ran = true;
    Io.logDecision("impatient", {{"endpoint", ActiveEndpoint}});
    if (Endpoint *E = Shared.Table.find(ActiveEndpoint))
      E->Health.record(HealthSignal::RouteTimeout, Now);
    stopLeg();
    send(Now);
  }

  /// Gives the best answer there is.
  void giveUp(TimePoint) {
    if (Failure)
      return finishWith(*Failure);
    if (Ran)
      return finish(RejectReason::OutcomeUnknown, {});
    if (Sends == 0)
      return finish(RejectReason::NoCapacity, NoEndpointReturn);
    finish(RejectReason::NotRun, CallReturn);
  }

  void timeIsOver(TimePoint Now) {
    const bool WasActive = Active.has_value();
    if (WasActive) {
      if (Endpoint *E = Shared.Table.find(ActiveEndpoint))
        E->Health.record(HealthSignal::RouteTimeout, Now);
      stopLeg();
    }
    if (Failure)
      return finishWith(*Failure);
    finish(Ran || WasActive ? RejectReason::TimedOut
                            : RejectReason::NotRunInTime,
           {});
  }

  void finishWith(const HttpResponse &Response) {
    Done = true;
    Io.respond(Response);
  }

  void finish(RejectReason Reason, milliseconds RetryAfter) {
    Done = true;
    Io.reject(Reason, RetryAfter);
  }

  SharedFlowState Shared;
  FlowRequest Request;
  FlowIo &Io;
  std::set<std::string, std::less<>> Tried;
  std::optional<FlowIo::LegId> Active;
  std::string ActiveEndpoint;
  std::optional<HttpResponse> Failure; ///< answer of an endpoint that failed
  unsigned Sends = 0;
  unsigned Runs = 0; ///< endpoints that ran it, or may have
  TimePoint ImpatientAt = TimePoint::max();
  bool Ran = false;
  bool Done = false;
};

} // namespace

void Flow::onStreamHead(FlowIo::LegId, const HttpResponse &, TimePoint) {}
void Flow::onStreamData(FlowIo::LegId, std::string_view, TimePoint) {}
void Flow::onStreamEnd(FlowIo::LegId, bool, TimePoint) {}
void Flow::onPlaced(const StreamPlace &, TimePoint) {}
void Flow::onRefused(const StreamRefusal &, TimePoint) {}

std::unique_ptr<Flow> makeCallFlow(SharedFlowState Shared, FlowRequest Request,
                                   FlowIo &Io) {
  return std::make_unique<CallFlow>(std::move(Shared), std::move(Request), Io);
}

} // namespace hyssoprail::routing
