#include "hyssoprail/routing/endpoint_choice.hpp"
#include "hyssoprail/routing/flow.hpp"
#include "hyssoprail/routing/leg_health_signal.hpp"
#include "hyssoprail/routing/request_version.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssoprail::routing {
namespace {

/// Retry-After of a call that every endpoint refused. Calls take tens of
/// milliseconds, so a slot is free again after a few of them.
constexpr milliseconds CallRetryAfter{60};

/// Retry-After if the service has no usable endpoint. An endpoint that has
/// started is registered or usable again after some hundred milliseconds.
constexpr milliseconds NoEndpointRetryAfter{400};

/// Largest number of legs of a call. It includes legs that reach no endpoint or
/// are refused, so that a fleet that is down is not tried until the deadline.
constexpr unsigned MaxLegs = 4;

/// An idempotent call is sent to another endpoint if the first one has not
/// answered within this multiple of the latency objective.
constexpr int LegTimeoutInObjectives = 2;

/// A call that the coordinator has neither granted nor denied within this time
/// does without a grant.
constexpr milliseconds GrantTimeout{60};

/// After so many grants for endpoints that this entry cannot use, a call does
/// without a grant.
constexpr unsigned MaxUnusableGrants = 4;

/// A leg to an endpoint that has fallen silent. It goes on until the call is
/// answered, as the endpoint may still answer it.
struct SilentLeg {
  FlowIo::LegId Leg;
  std::string Endpoint;
  RunCrashWatch::Run Watched;
  RequestVersion::Run VersionRun;
  bool HoldsSlot = false;
};

/// State machine of a plain call.
class CallFlow : public Flow {
public:
  CallFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io)
      : Shared(std::move(Shared)), Request(std::move(Request)), Io(Io),
        Crashes(this->Shared.Crashes.watch(this->Request.Info)),
        Version(this->Shared.Rollouts, this->Shared.Table,
                this->Request.Service, this->Request.Route.Name, idempotent(),
                1) {}

  void start(TimePoint Now) override {
    if (const auto Wait = Version.choose(Request.Route.LatencyObjective, Now))
      return finish(RejectReason::NoCapacity, *Wait, Now);
    send(Now);
  }

  void onLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) override {
    if (Done)
      return;
    if (Leg != ActiveLeg)
      return onSilentLegResult(Leg, std::move(R), Now);
    endLeg(Now);
    Version.end(ActiveRun, versionEvidence(R), Now);
    recordHealth(ActiveEndpoint, R, Now);
    recordCrashEvidence(R, Now);
    if (R.Outcome == LegOutcome::NotSent)
      regainRetryCharge(Now);
    switch (R.Outcome) {
    case LegOutcome::NotSent:
    case LegOutcome::NotRun:
      return sendToAnother(R.Outcome, Now);
    case LegOutcome::Answered:
      return onAnswered(std::move(R.Response), Now);
    case LegOutcome::Broken:
    case LegOutcome::TimedOut:
      MayHaveRun = true;
      return onUnknownOutcome(Now);
    }
  }

  void onTimer(TimePoint Now) override {
    if (Done)
      return;
    if (Now >= answerDeadline())
      return onDeadline(Now);
    if (ActiveLeg && Now >= LegDeadline)
      return onLegTimeout(Now);
    if (!AwaitsGrant || Now < GrantDeadline)
      return;
    Io.logDecision("grant_timeout", {});
    stopWaiting(Now);
    sendWithoutGrant(Now);
  }

  void onCallGranted(const CallGrant &Grant, TimePoint Now) override {
    if (!AwaitsGrant)
      return;
    AwaitsGrant = false;
    if (!Io.stillAllowed())
      return onRevokedKey(Now);
    Endpoint *E = Shared.Table.find(Grant.EndpointId);
    if (E && Shared.Table.mayReceive(*E, Now) && Version.allows(*E))
      return sendTo(*E, Now);
    // The coordinator may know an endpoint before this entry, or not know yet
    // that it takes no work, so it would grant the same one again.
    TriedEndpoints.insert(Grant.EndpointId);
    ++UnusableGrants < MaxUnusableGrants ? send(Now) : sendWithoutGrant(Now);
  }

  void onCallDenied(const CallDenial &Denial, TimePoint Now) override {
    if (!AwaitsGrant)
      return;
    AwaitsGrant = false;
    Io.logDecision("grant_denied", {{"retry_after_ms", Denial.RetryAfter}});
    DeniedRetryAfter = Denial.RetryAfter;
    if (!Io.stillAllowed())
      return onRevokedKey(Now);
    sendWithoutGrant(Now);
  }

  void onCallReleased(const CallRelease &Release, TimePoint Now) override {
    if (!AwaitsSlot || !Shared.Slots->confirm(Release.Id))
      return;
    AwaitsSlot = false;
    HoldsSlot = true;
    logWait("released", Shared.Slots->queue().position(Release.Id, Now),
            Release.Waited, Now);
    send(Now);
  }

  void onCallRefused(const CallRefusal &Refusal, TimePoint Now) override {
    if (!AwaitsSlot || Refusal.Id != Request.SessionId)
      return;
    AwaitsSlot = false;
    logWait("refused", Refusal.Position, Refusal.ExpectedWait, Now);
    SlotRetryAfter = Refusal.RetryAfter;
    giveUp(Now);
  }

  void onCallerDisconnected(TimePoint Now) override { end(Now); }

  void endBy(TimePoint Deadline) override {
    Request.AnswerBy = std::min(Request.AnswerBy, Deadline);
  }

  TimePoint nextDeadline() const override {
    TimePoint Next = answerDeadline();
    if (ActiveLeg)
      Next = std::min(Next, LegDeadline);
    if (AwaitsGrant)
      Next = std::min(Next, GrantDeadline);
    return Next;
  }

  bool done() const override { return Done; }
  bool mayHaveRun() const override {
    return MayHaveRun || ActiveLeg || !SilentLegs.empty();
  }

private:
  bool idempotent() const {
    return Request.Route.Kind == RouteKind::IdempotentCall;
  }

  TimePoint answerDeadline() const { return Request.AnswerBy - AnswerMargin; }

  void send(TimePoint Now) {
    if (!Io.stillAllowed())
      return onRevokedKey(Now);
    Endpoint *E = chooseUsable(Now);
    const bool AsksForGrant = shouldAskForGrant(E, Now);
    if (!E && !AsksForGrant)
      return giveUp(Now);
    if (!takeSlot(Now))
      return waitForSlot(Now);
    if (!AsksForGrant)
      return sendTo(HoldsSlot ? *chooseWithSlot(*E, Now) : *E, Now);
    AwaitsGrant = true;
    GrantDeadline = Now + GrantTimeout;
    std::vector<std::string> Excluded =
        Shared.Table.refusing(Request.Service, Now);
    const auto Skipped = skippedEndpoints();
    Excluded.insert(Excluded.end(), Skipped.begin(), Skipped.end());
    Shared.Calls.submit(
        {Request.SessionId, Request.Service, std::move(Excluded)});
  }

  /// True if the call holds a slot or needs none.
  bool takeSlot(TimePoint Now) {
    if (!Shared.Slots || !Shared.Slots->inForce(Request.Service))
      return true;
    HoldsSlot = HoldsSlot || Shared.Slots->tryTake(Request.Service, Now);
    return HoldsSlot;
  }

  void waitForSlot(TimePoint Now) {
    AwaitsSlot = true;
    Shared.Slots->submit({Request.SessionId, Request.Service, Request.Account,
                          Request.Priority, Request.Route.Priority,
                          Request.Arrival + Request.Route.LatencyObjective,
                          answerDeadline()},
                         Now);
    const std::size_t Position =
        Shared.Slots->queue().position(Request.SessionId, Now);
    logWait("waits", Position,
            Shared.Slots->queue()
                .expectedWait(Request.Service, Position)
                .value_or(Duration{0}),
            Now);
  }

  void logWait(std::string_view Step, std::size_t Position, Duration Wait,
               TimePoint Now) {
    Io.logDecision("call_wait",
                   {{"step", Step},
                    {"service", Request.Service},
                    {"position", Position},
                    {"expected_wait_ms", Wait},
                    {"slots", callSlots(Shared.Table, Request.Service, Now)},
                    {"share", Shared.Slots->limit(Request.Service, Now)}});
  }

  void releaseSlot(bool &Holds, TimePoint Now) {
    if (std::exchange(Holds, false))
      Shared.Slots->ended(Request.Service, Now);
  }

  Endpoint *chooseWithSlot(Endpoint &Usable, TimePoint Now) {
    Endpoint *E =
        Shared.Slots->choose(Request.Service, skippedEndpoints(), Now);
    return E ? E : &Usable;
  }

  /// The endpoints of the version that the request may use come first. If the
  /// target has none left, the old version serves it.
  Endpoint *chooseUsable(TimePoint Now) {
    Endpoint *E = chooseForCall(Shared.Table, Request.Service, Shared.Zone,
                                skippedEndpoints(), Now);
    return !E && Version.fallBack() ? chooseUsable(Now) : E;
  }

  /// Endpoints that the call must not be sent to.
  std::set<std::string, std::less<>> skippedEndpoints() {
    std::set<std::string, std::less<>> Out = TriedEndpoints;
    for (std::string &Id : Version.disallowed())
      Out.insert(std::move(Id));
    return Out;
  }

  /// True if an endpoint whose requests are granted one by one is better than
  /// \p Usable. Remembers the time to return if no grant can be had now.
  bool shouldAskForGrant(const Endpoint *Usable, TimePoint Now) {
    if (!worthAskingForGrant(Shared.Table, Request.Service, Shared.Zone,
                             skippedEndpoints(), Usable, Now))
      return false;
    const auto Denied = Shared.Calls.deniedFor(Request.Service, Now);
    DeniedRetryAfter = Denied.value_or(milliseconds(0));
    return !Denied;
  }

  void sendWithoutGrant(TimePoint Now) {
    Endpoint *E = chooseUsable(Now);
    E ? sendTo(*E, Now) : giveUp(Now);
  }

  void stopWaiting(TimePoint Now) {
    if (std::exchange(AwaitsGrant, false))
      Shared.Calls.cancel(Request.SessionId);
    if (std::exchange(AwaitsSlot, false))
      Shared.Slots->cancel(Request.SessionId, Now);
  }

  void sendTo(Endpoint &E, TimePoint Now) {
    if (Crashes.isQuarantined(Now))
      return finishQuarantined(Now);
    if (std::exchange(RetryCharged, false))
      ++SentRetryCharges;
    Io.logDecision("place", {{"endpoint", E.Record.Id},
                             {"zone", E.Record.Zone},
                             {"runs", E.totalLoad().Runs},
                             {"failure_share", E.Health.failureShare()},
                             {"limit_per_s", E.Limit.perSecond().value_or(0)}});
    ++LegCount;
    ActiveEndpoint = E.Record.Id;
    TriedEndpoints.insert(ActiveEndpoint);
    Shared.Table.reserve(ActiveEndpoint, {1, 0, 0});
    Shared.Table.recordSend(ActiveEndpoint, Now);
    Crashes.begin(E.Record, Now);
    ActiveRun = Version.begin(E, Now);
    LegRequest Leg;
    Leg.EndpointId = E.Record.Id;
    Leg.Address = E.Record.Address;
    Leg.StartedAtMs = E.Record.StartedAtMs;
    Leg.Version = E.Record.Version;
    Leg.Deadline =
        std::chrono::duration_cast<milliseconds>(Request.AnswerBy - Now);
    Leg.IsRetry = LegCount > 1;
    LegDeadline =
        idempotent() && runs() + 1 < Request.Route.MaxAttempts
            ? Now + Request.Route.LatencyObjective * LegTimeoutInObjectives
            : TimePoint::max();
    ActiveLeg = Io.startLeg(Leg);
  }

  void endLeg(TimePoint Now) {
    ActiveLeg.reset();
    releaseSlot(HoldsSlot, Now);
    Shared.Table.release(ActiveEndpoint, {1, 0, 0});
  }

  /// Cancels all legs. Nothing is known of the answer of the active one; a
  /// silent one takes at least as long as it did so far.
  void stopLegs(TimePoint Now) {
    if (ActiveLeg) {
      MayHaveRun = true;
      Io.cancelLeg(*ActiveLeg);
      endLeg(Now);
      Version.end(ActiveRun, std::nullopt, Now);
    }
    for (SilentLeg &L : std::exchange(SilentLegs, {})) {
      MayHaveRun = true;
      Io.cancelLeg(L.Leg);
      releaseSlot(L.HoldsSlot, Now);
      Shared.Table.release(L.Endpoint, {1, 0, 0});
      Version.end(L.VersionRun, RequestVersion::Result::Success, Now);
    }
  }

  void recordHealth(const std::string &EndpointId, const LegResult &R,
                    TimePoint Now) {
    if (Endpoint *E = Shared.Table.find(EndpointId))
      E->Health.record(healthSignalOf(R, HealthSignal::RouteTimeout), Now);
  }

  /// A connection that breaks before the end of the answer may be a crash under
  /// this call. A complete response on a connection from before a crash proves
  /// that there was none.
  void recordCrashEvidence(const LegResult &R, TimePoint Now) {
    const bool Responded =
        R.Outcome == LegOutcome::Answered || R.Outcome == LegOutcome::NotRun;
    if (Responded && !R.WrongEndpoint && R.ConnectedAt)
      Crashes.alive(*R.ConnectedAt, Now);
    if (R.Outcome == LegOutcome::Answered)
      Crashes.completed(Now);
    if (R.Outcome == LegOutcome::Broken && R.Response.Status == 0)
      Crashes.broke(Now);
  }

  /// The last endpoint has not run the request, so it may be sent to another
  /// one even if it is not idempotent.
  void sendToAnother(LegOutcome Outcome, TimePoint Now) {
    Version.fallBack();
    const bool Arrived = Outcome != LegOutcome::NotSent;
    if (LegCount >= MaxLegs || (Arrived && !chargeRetry(Now)))
      return giveUp(Now);
    send(Now);
  }

  bool chargeRetry(TimePoint Now) {
    RetryCharged = RetryCharged || Shared.Retries.take(Request.Service, Now);
    return RetryCharged;
  }

  /// A leg reached no endpoint: its charge is for the next leg. If the first
  /// leg, which is free, turns out so after others, one of these is the first.
  void regainRetryCharge(TimePoint Now) {
    if (SentRetryCharges == 0)
      return;
    --SentRetryCharges;
    refundRetry(Now);
    RetryCharged = true;
  }

  /// Refunds a retry for which no endpoint was found.
  void refundRetry(TimePoint Now) {
    if (std::exchange(RetryCharged, false))
      Shared.Retries.refund(Request.Service, Now);
  }

  void onAnswered(HttpResponse Response, TimePoint Now) {
    MayHaveRun = true;
    ++RunCount;
    if (Response.Status < 500)
      return finishWith(Response, Now);
    FailedResponse = std::move(Response);
    if (!canRunAgain(Now))
      return giveUp(Now);
    send(Now);
  }

  void onUnknownOutcome(TimePoint Now) {
    ++RunCount;
    if (canRunAgain(Now))
      return send(Now);
    giveUp(Now);
  }

  /// Endpoints that ran the call or may have, and those that may run it now.
  unsigned runs() const {
    return RunCount + static_cast<unsigned>(SilentLegs.size()) +
           (ActiveLeg ? 1 : 0);
  }

  bool canRunAgain(TimePoint Now) {
    Version.fallBack();
    return idempotent() && runs() < Request.Route.MaxAttempts &&
           LegCount < MaxLegs && Crashes.mayRunAgain() &&
           !Crashes.isQuarantined(Now) && chooseUsable(Now) && chargeRetry(Now);
  }

  /// The endpoint has not answered by LegDeadline: it is slow or unresponsive.
  void onLegTimeout(TimePoint Now) {
    LegDeadline = TimePoint::max();
    if (!canRunAgain(Now))
      return;
    Io.logDecision("impatient", {{"endpoint", ActiveEndpoint}});
    if (Endpoint *E = Shared.Table.find(ActiveEndpoint))
      E->Health.record(HealthSignal::RouteTimeout, Now);
    SilentLegs.push_back({*std::exchange(ActiveLeg, std::nullopt),
                          ActiveEndpoint, Crashes.run(), ActiveRun,
                          std::exchange(HoldsSlot, false)});
    send(Now);
  }

  /// A silent endpoint goes on or fails. Unless it gives the answer, the search
  /// for another endpoint, or the leg to that one, goes on.
  void onSilentLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) {
    const auto It =
        std::find_if(SilentLegs.begin(), SilentLegs.end(),
                     [&](const SilentLeg &L) { return L.Leg == Leg; });
    if (It == SilentLegs.end())
      return;
    SilentLeg Ended = std::move(*It);
    SilentLegs.erase(It);
    Shared.Table.release(Ended.Endpoint, {1, 0, 0});
    Version.end(Ended.VersionRun, versionEvidence(R), Now);
    releaseSlot(Ended.HoldsSlot, Now);
    recordHealth(Ended.Endpoint, R, Now);
    RunCrashWatch::Run Present = Crashes.run();
    Crashes.restore(std::move(Ended.Watched));
    recordCrashEvidence(R, Now);
    Crashes.restore(std::move(Present));
    if (R.Outcome == LegOutcome::NotSent)
      regainRetryCharge(Now);
    const bool NeverRan =
        R.Outcome == LegOutcome::NotSent || R.Outcome == LegOutcome::NotRun;
    if (!NeverRan) {
      MayHaveRun = true;
      ++RunCount;
    }
    if (R.Outcome == LegOutcome::Answered) {
      if (R.Response.Status < 500) {
        Io.logDecision("return", {{"endpoint", Ended.Endpoint}});
        return finishWith(R.Response, Now);
      }
      FailedResponse = std::move(R.Response);
    }
    if (ActiveLeg || AwaitsGrant || AwaitsSlot)
      return;
    if (NeverRan)
      return sendToAnother(R.Outcome, Now);
    canRunAgain(Now) ? send(Now) : giveUp(Now);
  }

  void onRevokedKey(TimePoint Now) {
    releaseSlot(HoldsSlot, Now);
    if (!awaitSilentLegs(Now))
      finish(RejectReason::NoKey, {}, Now);
  }

  /// No other endpoint takes the call over, but a silent one may still answer
  /// it until the deadline. Returns false if there is none.
  bool awaitSilentLegs(TimePoint Now) {
    if (SilentLegs.empty())
      return false;
    refundRetry(Now);
    for (const SilentLeg &L : SilentLegs)
      Io.logDecision("return", {{"endpoint", L.Endpoint}});
    return true;
  }

  /// Gives the best available answer, unless a silent endpoint may still give a
  /// better one: that of an endpoint that failed, or else a rejection.
  void giveUp(TimePoint Now) {
    releaseSlot(HoldsSlot, Now);
    if (awaitSilentLegs(Now))
      return;
    if (FailedResponse)
      return finishWith(*FailedResponse, Now);
    if (MayHaveRun)
      return finish(RejectReason::OutcomeUnknown, {}, Now);
    const milliseconds RetryAfter = std::max(
        DeniedRetryAfter,
        Shared.Table.pauseWait(Request.Service, Now).value_or(milliseconds(0)));
    if (SlotRetryAfter)
      return finish(RejectReason::NoCapacity,
                    std::max(*SlotRetryAfter, RetryAfter), Now);
    if (LegCount > 0)
      return finish(RejectReason::NotRun, std::max(CallRetryAfter, RetryAfter),
                    Now);
    finish(RejectReason::NoCapacity,
           RetryAfter > milliseconds(0) ? RetryAfter : NoEndpointRetryAfter,
           Now);
  }

  /// Endpoints have crashed under this call since it was admitted.
  void finishQuarantined(TimePoint Now) {
    Io.logDecision("quarantine", {{"runs", runs()}});
    if (mayHaveRun())
      return giveUp(Now);
    finish(RejectReason::Quarantined, QuarantineRetryAfter, Now);
  }

  void onDeadline(TimePoint Now) {
    if (ActiveLeg) {
      if (Endpoint *E = Shared.Table.find(ActiveEndpoint))
        E->Health.record(HealthSignal::RouteTimeout, Now);
      Version.end(std::exchange(ActiveRun, {}), RequestVersion::Result::Lost,
                  Now);
    }
    if (FailedResponse)
      return finishWith(*FailedResponse, Now);
    finish(mayHaveRun() ? RejectReason::TimedOut : RejectReason::NotRunInTime,
           {}, Now);
  }

  void finishWith(const HttpResponse &Response, TimePoint Now) {
    end(Now);
    Io.respond(Response);
  }

  void finish(RejectReason Reason, milliseconds RetryAfter, TimePoint Now) {
    end(Now);
    Io.reject(Reason, RetryAfter);
  }

  /// Releases all that the call holds.
  void end(TimePoint Now) {
    stopWaiting(Now);
    stopLegs(Now);
    releaseSlot(HoldsSlot, Now);
    Version.giveBack();
    refundRetry(Now);
    Done = true;
  }

  SharedFlowState Shared;
  FlowRequest Request;
  FlowIo &Io;
  RunCrashWatch Crashes;
  RequestVersion Version;
  RequestVersion::Run ActiveRun;
  /// Endpoints that the call was sent to, or that were granted and cannot be
  /// used by this entry.
  std::set<std::string, std::less<>> TriedEndpoints;
  unsigned UnusableGrants = 0;
  std::optional<FlowIo::LegId> ActiveLeg;
  std::string ActiveEndpoint;
  std::vector<SilentLeg> SilentLegs;
  /// 5xx answer of an earlier leg.
  std::optional<HttpResponse> FailedResponse;
  unsigned LegCount = 0;
  unsigned RunCount = 0; ///< ended legs that ran the call, or may have
  TimePoint LegDeadline = TimePoint::max();
  bool AwaitsGrant = false;
  TimePoint GrantDeadline{};
  /// Time to return if no endpoint is found, from the last denial of a grant.
  milliseconds DeniedRetryAfter{0};
  bool AwaitsSlot = false; ///< it is in the queue
  bool HoldsSlot = false;  ///< for the active leg, or one about to start
  /// Time to return after the queue has refused the call.
  std::optional<milliseconds> SlotRetryAfter;
  bool RetryCharged = false;     ///< for a leg that has not been sent yet
  unsigned SentRetryCharges = 0; ///< of legs that were sent
  bool MayHaveRun = false;
  bool Done = false;
};

} // namespace

std::unique_ptr<Flow> makeCallFlow(SharedFlowState Shared, FlowRequest Request,
                                   FlowIo &Io) {
  return std::make_unique<CallFlow>(std::move(Shared), std::move(Request), Io);
}

} // namespace hyssoprail::routing
