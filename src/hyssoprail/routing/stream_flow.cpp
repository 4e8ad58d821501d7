// The part of StreamFlow that handles events: decisions of the admission,
// results of legs, timers, and the end of the request.
#include "hyssoprail/routing/stream_flow.hpp"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

#include "hyssoprail/routing/leg_health_signal.hpp"
#include "hyssoprail/routing/stream_request.hpp"

namespace hyssoprail::routing {
namespace {

/// True if the last chunk tells the end of the stream. A length of 0 does not:
/// an error without text looks the same. With another encoding than chunks the
/// response ends with its connection.
bool endsWithChunk(const HttpResponse &Head) {
  return boost::algorithm::iends_with(
      headerValue(Head.Headers, "Transfer-Encoding"), "chunked");
}

/// A prefill and a decode.
constexpr unsigned PlannedSends = 2;

/// An engine of the version may come back, and the store may answer again.
constexpr milliseconds UnknownVersionRetryAfter{1'000};

} // namespace

StreamFlow::StreamFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io)
    : Shared(std::move(Shared)), Request(std::move(Request)), Io(Io),
      Cache(this->Request.HandleRetention),
      Budget(this->Shared.Retries, this->Request.Service),
      Crashes(this->Shared.Crashes.watch(this->Request.Info)),
      Work(this->Shared.EngineWork),
      Version(this->Shared.Rollouts, this->Shared.Table, this->Request.Service,
              this->Request.Route.Name, this->Request.Route.Resumable,
              PlannedSends),
      Recorded(this->Request.Route.Resumable && !this->Request.Info.Resumes
                   ? this->Shared.Versions
                   : nullptr,
               this->Request.Service),
      PlacementId(placementId(this->Request.SessionId, Placements)) {
  if (this->Request.Info.Resumes && resumable())
    Progress.resumeAfter(this->Request.Info.LastEventId);
}

void StreamFlow::start(TimePoint Now) {
  if (!Shared.Versions || !resumable())
    return begin(Now);
  if (Request.Info.Resumes) {
    CurrentPhase = StreamPhase::FindingVersion;
    return Io.findVersion();
  }
  if (const auto Only = Shared.Versions->onlyVersion(Request.Service)) {
    Version.pin(*Only);
    if (!hasDecodeEngine(Now))
      Version.unpin();
  }
  begin(Now);
}

/// A stream whose version has no engine left, or is not known, is refused at
/// once, as no engine may go on with it.
void StreamFlow::onVersionFound(const std::optional<std::string> &Found,
                                TimePoint Now) {
  if (CurrentPhase != StreamPhase::FindingVersion)
    return;
  if (Found)
    Version.pin(*Found);
  const bool Serves = Found && hasDecodeEngine(Now);
  Io.logDecision("resume", {{"first_attempt", Request.Info.FirstAttempt},
                            {"version", Found.value_or("")},
                            {"known", Found.has_value()},
                            {"serves", Serves}});
  if (!Serves)
    return finish(RejectReason::NoCapacity, UnknownVersionRetryAfter, Now);
  begin(Now);
}

void StreamFlow::begin(TimePoint Now) {
  StreamRequest First = makeStreamRequest(Request, Shared.Lengths, Now);
  if (const auto Wait =
          Version.choose(Request.Route.LatencyObjective +
                             Shared.Lengths.generationTime(First.OutputTokens),
                         Now))
    return finish(RejectReason::NoCapacity, *Wait, Now);
  submit(std::move(First), Now);
}

void StreamFlow::onPlaced(const StreamPlacement &Place, TimePoint Now) {
  HasPlacement = true;
  DecodeEndpoint = Place.Decode;
  Io.logDecision("place", {{"decode", Place.Decode},
                           {"prefill", Place.Prefill},
                           {"waited_ms", Place.QueueTime},
                           {"decode_runs", Place.DecodeLoad.Runs},
                           {"decode_tokens", Place.DecodeLoad.Tokens},
                           {"need_tokens", Place.RequiredTokens},
                           {"prefill_backlog", Place.PrefillBacklog}});
  if (!Io.stillAllowed())
    return finish(RejectReason::NoKey, {}, Now);
  if (Crashes.isQuarantined(Now))
    return finishQuarantined(Now);
  if (!takesWork(Place.Decode, Now))
    return onUnusableDecode(Now);
  if (!Place.Prefill.empty())
    return sendPrefill(Place, Now);
  if (Submitted.HasKvCache && !Cache.usable(Now))
    return repeatPrefill(Now);
  sendDecode(Now);
}

void StreamFlow::onRefused(const StreamRefusal &Refusal, TimePoint Now) {
  const std::string_view Reason = streamRefusalName(Refusal.Reason);
  if (const auto &Inputs = Refusal.Inputs)
    Io.logDecision("refuse", {{"reason", Reason},
                              {"expected_wait_ms", Refusal.ExpectedWait},
                              {"priority", Request.Priority},
                              {"route_priority", Request.Route.Priority},
                              {"place", Inputs->Place},
                              {"work", Inputs->Work},
                              {"retry_after_ms", Refusal.RetryAfter},
                              {"promised", Inputs->Promised}});
  else
    Io.logDecision("refuse", {{"reason", Reason},
                              {"expected_wait_ms", Refusal.ExpectedWait}});
  // The request is not refused for a long queue, as it is a retry.
  if (Refusal.Reason == StreamRefusalReason::QueueTooLong)
    if (const auto Wait = Shared.Table.pauseWait(Request.Service, Now))
      if (waitForPause(*Wait, Now))
        return;
  finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::NoCapacity,
         Refusal.RetryAfter, Now);
}

void StreamFlow::onLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) {
  if (Silent && Leg == Silent->Leg) {
    if (R.Outcome != LegOutcome::Answered || R.Response.Status >= 500)
      return onSilentRunFailed(R, Now);
    returnToSilentRun(Now);
  }
  if (CurrentPhase == StreamPhase::Done || Leg != ActiveLeg)
    return;
  ActiveLeg.reset();
  endRun(versionEvidence(R), Now);
  if (Silent)
    onReplacementEnded(R.Outcome);
  recordHealth(R, Now);
  recordCrashEvidence(R, Now);
  if (R.Outcome == LegOutcome::NotSent)
    onNotSent(Now);
  else if (R.Outcome != LegOutcome::Answered)
    Budget.notAccepted(Now);
  if (CurrentPhase == StreamPhase::Prefilling)
    return onPrefillResult(R, Now);
  onDecodeResult(R, Now);
}

void StreamFlow::onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                              TimePoint Now) {
  if (Silent && Leg == Silent->Leg)
    returnToSilentRun(Now);
  if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Starting)
    return;
  endSilentRun(Now);
  MayHaveRun = true;
  Progress.restart(endsWithChunk(Head));
  Cache.fetched();
  LastProgressAt = Now;
  Crashes.connected(Io.connectedAt(Leg));
  Crashes.received(0, Now);
  CurrentPhase = StreamPhase::Streaming;
  if (StreamStarted)
    return;
  AnswerHead = Head;
  StreamStartedAt = Now;
}

void StreamFlow::onStreamData(FlowIo::LegId Leg, std::string_view Data,
                              TimePoint Now) {
  if (Silent && Leg == Silent->Leg)
    returnToSilentRun(Now);
  if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Streaming)
    return;
  const std::uint64_t EventsBefore = Progress.events();
  const std::string NewEvents = Progress.feed(Data);
  if (!NewEvents.empty())
    passOn(NewEvents, Progress.events() - EventsBefore, Now);
  // The events before count as received.
  if (Progress.eventTooLong())
    onOversizedEvent(Now);
}

void StreamFlow::passOn(std::string_view NewEvents, std::uint64_t Count,
                        TimePoint Now) {
  LastProgressAt = Now;
  if (!ActiveRun.FirstEvent)
    ActiveRun.FirstEvent = Now - ActiveRun.BeganAt;
  Version.keepVersion(DecodeVersion);
  Crashes.received(Count, Now);
  Work.received(Count * Request.EventTokens, Count, Now);
  Shared.Admission.outputGrew(PlacementId,
                              Progress.events() * Request.EventTokens);
  if (!StreamStarted)
    beginAnswer();
  Io.forward(NewEvents);
}

void StreamFlow::beginAnswer() {
  if (Shared.Versions && resumable() && !Request.Info.Resumes)
    Io.streamBegan(DecodeVersion);
  Io.beginStream(AnswerHead);
  StreamStarted = true;
}

void StreamFlow::onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now) {
  if (Silent && Leg == Silent->Leg) {
    if (!Complete || !Progress.atEventEnd())
      return onSilentRunFailed(brokenConnection(), Now);
    returnToSilentRun(Now);
  }
  if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Streaming)
    return;
  ActiveLeg.reset();
  const bool EndedCleanly = Complete && Progress.atEventEnd();
  endRun(EndedCleanly ? RequestVersion::Result::Success
                      : RequestVersion::Result::Failure,
         Now);
  Shared.EngineSignals.record(
      DecodeEndpoint,
      EndedCleanly ? HealthSignal::Success : HealthSignal::Broken, Now);
  if (EndedCleanly) {
    Crashes.completed(Now);
    if (Progress.events() > 0)
      Shared.Lengths.record(Progress.events() * Request.EventTokens,
                            Now - StreamStartedAt);
    if (!StreamStarted)
      Io.beginStream(AnswerHead);
    if (!Progress.rest().empty())
      Io.forward(Progress.rest());
    Io.finishStream();
    return end(Now);
  }
  if (!Complete)
    Crashes.broke(Now);
  resumeElsewhere("broken", Now);
}

void StreamFlow::onTimer(TimePoint Now) {
  if (CurrentPhase == StreamPhase::Done)
    return;
  if (Now >= answerDeadline())
    return onDeadline(Now);
  if (Silent && Now >= Silent->EndAt)
    endSilentRun(Now);
  if (Now >= ResubmitAt)
    return resubmit(Cache.usable(Now).has_value(), Now);
  if (Now >= nextExclusionCheck())
    return updateExclusions(Now);
  if (!ActiveLeg || Now < legDeadline())
    return;
  const bool CanReplace = CurrentPhase == StreamPhase::Prefilling
                              ? Shared.Retries.available(Request.Service, Now)
                              : canContinue(Now);
  if (!CanReplace) {
    ExtendedDeadline = Now + TimeoutExtension;
    return;
  }
  Io.logDecision("impatient", {{"phase", streamPhaseName(CurrentPhase)},
                               {"endpoint", currentEndpoint()}});
  Shared.EngineSignals.record(currentEndpoint(), HealthSignal::Unresponsive,
                              Now);
  Budget.notAccepted(Now);
  if (CurrentPhase == StreamPhase::Prefilling) {
    endRun(RequestVersion::Result::Lost, Now);
    stopLeg(Now);
    return retryPrefill(Now);
  }
  keepSilentRun(Now);
  resumeElsewhere("silent", Now);
}

void StreamFlow::onCallerDisconnected(TimePoint Now) {
  if (CurrentPhase == StreamPhase::Done)
    return;
  Shared.Admission.cancel(PlacementId);
  MayHaveRun = MayHaveRun || CurrentPhase == StreamPhase::Starting;
  stopLeg(Now);
  end(Now);
}

void StreamFlow::endBy(TimePoint Deadline) {
  Request.AnswerBy = std::min(Request.AnswerBy, Deadline);
}

TimePoint StreamFlow::nextDeadline() const {
  TimePoint Next =
      std::min({answerDeadline(), ResubmitAt, nextExclusionCheck()});
  if (ActiveLeg)
    Next = std::min(Next, legDeadline());
  if (Silent)
    Next = std::min(Next, Silent->EndAt);
  return Next;
}

void StreamFlow::onOversizedEvent(TimePoint Now) {
  Shared.EngineSignals.record(DecodeEndpoint, HealthSignal::Broken, Now);
  endRun(RequestVersion::Result::Failure, Now);
  stopLeg(Now);
  resumeElsewhere("event_too_long", Now);
}

void StreamFlow::finishQuarantined(TimePoint Now) {
  Io.logDecision("quarantine", {{"runs", FailedRuns}});
  finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::Quarantined,
         QuarantineRetryAfter, Now);
}

void StreamFlow::recordHealth(const LegResult &R, TimePoint Now) {
  if (R.PausesSender)
    return;
  Shared.EngineSignals.record(
      currentEndpoint(), healthSignalOf(R, HealthSignal::Unresponsive), Now);
}

/// A connection that breaks before the end of the answer to a leg may be a
/// crash under this request. The response to a prefill on a connection from
/// before a crash proves that there was none; it is no answer to the request.
void StreamFlow::recordCrashEvidence(const LegResult &R, TimePoint Now) {
  const bool Prefills = CurrentPhase == StreamPhase::Prefilling;
  const bool Responded =
      R.Outcome == LegOutcome::Answered || R.Outcome == LegOutcome::NotRun;
  if (Prefills && Responded && !R.WrongEndpoint && R.ConnectedAt)
    Crashes.alive(*R.ConnectedAt, Now);
  const bool ConnectionBroke =
      R.Outcome == LegOutcome::Broken && R.Response.Status == 0;
  if (ConnectionBroke && (CurrentPhase == StreamPhase::Starting || Prefills))
    Crashes.broke(Now);
}

const std::string &StreamFlow::currentEndpoint() const {
  return CurrentPhase == StreamPhase::Prefilling ? PrefillEndpoint
                                                 : DecodeEndpoint;
}

TimePoint StreamFlow::legDeadline() const {
  return std::max(ExtendedDeadline, phaseDeadline());
}

TimePoint StreamFlow::phaseDeadline() const {
  if (CurrentPhase == StreamPhase::Prefilling)
    return PrefillDeadline;
  const auto Timeout = progressTimeout(CurrentPhase, Progress.gotNewEvent());
  return resumable() && Timeout ? LastProgressAt + *Timeout : TimePoint::max();
}

void StreamFlow::onDeadline(TimePoint Now) {
  const bool RunPossible = MayHaveRun || CurrentPhase == StreamPhase::Starting;
  if (ActiveLeg)
    endRun(RequestVersion::Result::Lost, Now);
  stopLeg(Now);
  endSilentRun(Now);
  Shared.Admission.cancel(PlacementId);
  finish(RunPossible ? RejectReason::TimedOut : RejectReason::NotRunInTime, {},
         Now);
}

void StreamFlow::stopLeg(TimePoint Now) {
  if (ActiveLeg)
    Io.cancelLeg(*ActiveLeg);
  ActiveLeg.reset();
  endRun(std::nullopt, Now);
}

void StreamFlow::endRun(std::optional<RequestVersion::Result> Answer,
                        TimePoint Now) {
  Version.end(std::exchange(ActiveRun, {}), Answer, Now);
}

void StreamFlow::dropCache(TimePoint Now) {
  const auto Source = Cache.discard();
  if (!Source)
    return;
  const Endpoint *E = Shared.Table.find(PrefillEndpoint);
  if (E && E->Record.Address == Source->Address &&
      Shared.Table.takesWork(*E, Now))
    Io.dropHandle(*Source);
}

void StreamFlow::releasePlacement(TimePoint Now) {
  if (HasPlacement)
    Shared.Admission.release(PlacementId, Now);
  HasPlacement = false;
}

void StreamFlow::end(TimePoint Now) {
  endSilentRun(Now);
  dropCache(Now);
  releasePlacement(Now);
  Version.giveBack();
  ResubmitAt = TimePoint::max();
  CurrentPhase = StreamPhase::Done;
}

void StreamFlow::abortStream(RejectReason Reason, TimePoint Now) {
  end(Now);
  Io.abort(Reason);
}

void StreamFlow::finish(RejectReason Reason, milliseconds RetryAfter,
                        TimePoint Now) {
  if (returnToSilentRun(Now))
    return;
  if (StreamStarted)
    return abortStream(Reason, Now);
  end(Now);
  Io.reject(Reason, RetryAfter);
}

std::unique_ptr<Flow> makeStreamFlow(SharedFlowState Shared,
                                     FlowRequest Request, FlowIo &Io) {
  return std::make_unique<StreamFlow>(std::move(Shared), std::move(Request),
                                      Io);
}

} // namespace hyssoprail::routing
