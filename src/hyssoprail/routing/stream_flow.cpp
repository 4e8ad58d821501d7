#include "hyssoprail/routing/flow.hpp"

#include <algorithm>
#include <optional>

#include "hyssoprail/routing/held_cache.hpp"
#include "hyssoprail/routing/leg_budget.hpp"
#include "hyssoprail/routing/leg_health_signal.hpp"
#include "hyssoprail/routing/stream_progress.hpp"
#include "hyssoprail/routing/stream_request.hpp"
#include "hyssoprail/routing/stream_timeouts.hpp"

namespace hyssoprail::routing {
namespace {

/// Extension of a timeout if no other engine can take over.
constexpr milliseconds TimeoutExtension{300};

/// After this many refusals by decode engines, a KV cache counts as lost.
constexpr unsigned MaxCacheRefusals = 2;

constexpr unsigned MaxPrefillLegs = 2;
constexpr unsigned MaxDecodeLegs = 4;

/// Legs that reach no engine do not count as sent until there are this many,
/// since they take little time and none of the retry budget. When a zone is
/// lost, a third of the engines may be gone before their registrations expire.
constexpr unsigned MaxUnreachedLegs = 12;
constexpr unsigned MaxRequeues = 16;
constexpr milliseconds NotRunRetryAfter{400};

/// Time reserved before a caller without an event leaves, for the final answer
/// to reach it.
constexpr milliseconds CallerEventMargin{100};

/// A run whose engine was silent ends this long after another engine was sent
/// the request and has not refused it, so that not both generate for long. An
/// engine that cannot be reached is known to be so after 250 ms.
constexpr milliseconds SilentRunOverlap{300};

/// A run whose engine has fallen silent. It goes on until another engine has
/// taken over, as the silent one may still answer.
struct SilentRun {
  FlowIo::LegId Leg;
  StreamPhase Phase;
  std::string Endpoint;
  std::string PlacementId;
  RunCrashWatch::Run Watched;
  TimePoint EndAt = TimePoint::max(); ///< set once the request was sent on
  bool ReplacementRan = false;        ///< another engine ran it, or may have
};

/// State machine of a generation: wait for engines, prefill, decode, and after
/// a failure resume at another engine if the route allows it.
class StreamFlow : public Flow {
public:
  StreamFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io)
      : Shared(std::move(Shared)), Request(std::move(Request)), Io(Io),
        Cache(this->Request.HandleRetention),
        Budget(this->Shared.Retries, this->Request.Service),
        Crashes(this->Shared.Crashes.watch(this->Request.Info)),
        PlacementId(placementId(this->Request.SessionId, Placements)) {
    if (this->Request.Info.Resumes)
      Progress.resumeAfter(this->Request.Info.LastEventId);
  }

  void start(TimePoint Now) override {
    submit(makeStreamRequest(Request, Shared.Lengths, Now), Now);
  }

  void onPlaced(const StreamPlacement &Place, TimePoint Now) override {
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
      return retryDecode(Now);
    if (!Place.Prefill.empty())
      return sendPrefill(Place, Now);
    if (SubmittedWithCache && !Cache.usable(Now))
      return repeatPrefill(Now);
    sendDecode(Now);
  }

  void onRefused(const StreamRefusal &Refusal, TimePoint Now) override {
    Io.logDecision("refuse", {{"reason", streamRefusalName(Refusal.Reason)},
                              {"expected_wait_ms", Refusal.ExpectedWait}});
    finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::NoCapacity,
           Refusal.RetryAfter, Now);
  }

  void onLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) override {
    if (Silent && Leg == Silent->Leg) {
      if (R.Outcome != LegOutcome::Answered || R.Response.Status >= 500)
        return onSilentRunFailed(R, Now);
      returnToSilentRun(Now);
    }
    if (CurrentPhase == StreamPhase::Done || Leg != ActiveLeg)
      return;
    ActiveLeg.reset();
    if (Silent)
      onReplacementEnded(R.Outcome);
    recordHealth(R, Now);
    const bool ConnectionBroke =
        R.Outcome == LegOutcome::Broken && R.Response.Status == 0;
    if (ConnectionBroke && CurrentPhase == StreamPhase::Starting)
      Crashes.broke(Now);
    if (R.Outcome == LegOutcome::NotSent)
      onNotSent(Now);
    else if (R.Outcome != LegOutcome::Answered)
      Budget.notAccepted(Now);
    if (CurrentPhase == StreamPhase::Prefilling)
      return onPrefillResult(R, Now);
    onDecodeResult(R, Now);
  }

  void onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                    TimePoint Now) override {
    if (Silent && Leg == Silent->Leg)
      returnToSilentRun(Now);
    if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Starting)
      return;
    endSilentRun(Now);
    MayHaveRun = true;
    Progress.restart();
    Cache.fetched();
    LastProgressAt = Now;
    Crashes.received(0, Now);
    CurrentPhase = StreamPhase::Streaming;
    if (StreamStarted)
      return;
    StreamStarted = true;
    StreamStartedAt = Now;
    Io.beginStream(Head);
  }

  void onStreamData(FlowIo::LegId Leg, std::string_view Data,
                    TimePoint Now) override {
    if (Silent && Leg == Silent->Leg)
      returnToSilentRun(Now);
    if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Streaming)
      return;
    const std::uint64_t EventsBefore = Progress.events();
    const std::string NewEvents = Progress.feed(Data);
    if (Progress.eventTooLong())
      return onOversizedEvent(Now);
    if (NewEvents.empty())
      return;
    LastProgressAt = Now;
    Crashes.received(Progress.events() - EventsBefore, Now);
    Shared.Admission.outputGrew(PlacementId,
                                Progress.events() * Request.EventTokens);
    Io.forward(NewEvents);
  }

  void onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now) override {
    if (Silent && Leg == Silent->Leg) {
      if (!Complete || !Progress.atEventEnd())
        return onSilentRunFailed(brokenConnection(), Now);
      returnToSilentRun(Now);
    }
    if (Leg != ActiveLeg || CurrentPhase != StreamPhase::Streaming)
      return;
    ActiveLeg.reset();
    const bool EndedCleanly = Complete && Progress.atEventEnd();
    Shared.EngineSignals.record(
        DecodeEndpoint,
        EndedCleanly ? HealthSignal::Success : HealthSignal::Broken, Now);
    if (EndedCleanly) {
      Crashes.completed(Now);
      Shared.Lengths.record(Progress.events() * Request.EventTokens,
                            Now - StreamStartedAt);
      Io.finishStream();
      return end(Now);
    }
    Crashes.broke(Now);
    resumeElsewhere("broken", Now);
  }

  void onTimer(TimePoint Now) override {
    if (CurrentPhase == StreamPhase::Done)
      return;
    if (Now >= answerDeadline())
      return onDeadline(Now);
    if (Silent && Now >= Silent->EndAt)
      endSilentRun(Now);
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
      stopLeg();
      return retryPrefill(Now);
    }
    keepSilentRun(Now);
    resumeElsewhere("silent", Now);
  }

  void onCallerDisconnected(TimePoint Now) override {
    if (CurrentPhase == StreamPhase::Done)
      return;
    Shared.Admission.cancel(PlacementId);
    MayHaveRun = MayHaveRun || CurrentPhase == StreamPhase::Starting;
    stopLeg();
    end(Now);
  }

  void endBy(TimePoint Deadline) override {
    Request.AnswerBy = std::min(Request.AnswerBy, Deadline);
  }

  TimePoint nextDeadline() const override {
    TimePoint Next = answerDeadline();
    if (ActiveLeg)
      Next = std::min(Next, legDeadline());
    if (Silent)
      Next = std::min(Next, Silent->EndAt);
    return Next;
  }

  bool done() const override { return CurrentPhase == StreamPhase::Done; }
  bool mayHaveRun() const override { return MayHaveRun; }

private:
  bool resumable() const { return Request.Route.Resumable; }

  /// Before the first event the caller leaves earlier than at its deadline.
  TimePoint answerDeadline() const {
    const TimePoint Latest = Request.AnswerBy - AnswerMargin;
    if (StreamStarted)
      return Latest;
    return std::min(Latest, Request.Arrival +
                                callerEventTimeout(Request.Route) -
                                CallerEventMargin);
  }

  LegRequest makeLeg(LegKind Kind, const Endpoint &E, TimePoint Now) const {
    LegRequest Out;
    Out.Kind = Kind;
    Out.EndpointId = E.Record.Id;
    Out.Address = E.Record.Address;
    Out.StartedAtMs = E.Record.StartedAtMs;
    Out.Deadline =
        std::chrono::duration_cast<milliseconds>(Request.AnswerBy - Now);
    return Out;
  }

  /// False if the endpoint has stopped taking work since it was chosen.
  bool takesWork(const std::string &Id, TimePoint Now) const {
    const Endpoint *E = Shared.Table.find(Id);
    return !E || Shared.Table.takesWork(*E, Now);
  }

  /// Asks the admission for engines. The request must hold no placement.
  void submit(StreamRequest Submission, TimePoint Now) {
    if (const auto Wait = Shared.Table.pauseWait(Request.Service, Now))
      return finish(MayHaveRun       ? RejectReason::OutcomeUnknown
                    : DecodeLegs > 0 ? RejectReason::NotRun
                                     : RejectReason::NoCapacity,
                    *Wait, Now);
    Submission.ExcludedEndpoints = Shared.Table.refusing(Request.Service, Now);
    CurrentPhase = StreamPhase::Waiting;
    Submission.Id = PlacementId;
    Submission.Zone = Shared.Zone;
    for (const std::string &Failed : {FailedDecode, FailedPrefill})
      if (!Failed.empty())
        Submission.ExcludedEndpoints.push_back(Failed);
    if (Silent)
      Submission.ExcludedEndpoints.push_back(Silent->Endpoint);
    SubmittedWithCache = Submission.HasKvCache;
    Shared.Admission.submit(std::move(Submission));
  }

  void sendPrefill(const StreamPlacement &Place, TimePoint Now) {
    Endpoint *E = Shared.Table.find(Place.Prefill);
    if (E && !takesWork(Place.Prefill, Now)) {
      FailedPrefill = Place.Prefill;
      return repeatPrefill(Now);
    }
    if (!E || !Budget.tryBegin(LegKind::Prefill, Now)) {
      Shared.Admission.prefillEnded(PlacementId, Now);
      return sendDecode(Now);
    }
    CurrentPhase = StreamPhase::Prefilling;
    PrefillEndpoint = Place.Prefill;
    LastProgressAt = Now;
    PrefillDeadline = Now + prefillTimeout(Place.PrefillBacklog);
    LegRequest Leg = makeLeg(LegKind::Prefill, *E, Now);
    Leg.IsRetry = PrefillLegs++ > 0;
    ActiveLeg = Io.startLeg(Leg);
  }

  void onPrefillResult(const LegResult &R, TimePoint Now) {
    if (R.Outcome == LegOutcome::Answered && !R.Handle.empty()) {
      if (const Endpoint *E = Shared.Table.find(PrefillEndpoint))
        Cache.store({E->Record.Address, R.Handle}, Now);
      Shared.Admission.prefillEnded(PlacementId, Now);
      return sendDecode(Now);
    }
    retryPrefill(Now);
  }

  /// A prefill failed: tries another prefill engine, or lets the decode engine
  /// process the prompt. A stream that has begun keeps its decode engine, as
  /// there may be no room for it elsewhere.
  void retryPrefill(TimePoint Now) {
    FailedPrefill = PrefillEndpoint;
    if (PrefillLegs < MaxPrefillLegs && !StreamStarted)
      return repeatPrefill(Now);
    Shared.Admission.prefillEnded(PlacementId, Now);
    sendDecode(Now);
  }

  void sendDecode(TimePoint Now) {
    if (!Io.stillAllowed())
      return finish(RejectReason::NoKey, {}, Now);
    if (Crashes.isQuarantined(Now))
      return finishQuarantined(Now);
    if (!Crashes.mayRunAgain())
      return giveUp(Now);
    Endpoint *E = Shared.Table.find(DecodeEndpoint);
    if (!E || !Shared.Table.mayReceive(*E, Now))
      return retryDecode(Now);
    if (!Budget.tryBegin(LegKind::Decode, Now))
      return giveUp(Now);
    CurrentPhase = StreamPhase::Starting;
    Crashes.begin(E->Record, Now);
    LastProgressAt = Now;
    LegRequest Leg = makeLeg(LegKind::Decode, *E, Now);
    Leg.Source = Cache.usable(Now);
    Leg.ResumeAfter = Progress.lastEventId();
    Leg.IsRetry = DecodeLegs++ > 0;
    ActiveLeg = Io.startLeg(Leg);
    if (Silent)
      Silent->EndAt = Now + SilentRunOverlap;
  }

  /// Releases the placement and puts the request back into the queue, ahead of
  /// requests that have not been placed yet.
  void requeue(bool WithCache, std::string_view Cause, TimePoint Now) {
    if (DecodeLegs >= MaxDecodeLegs || ++Requeues > MaxRequeues)
      return giveUp(Now);
    Io.logDecision("requeue", {{"reason", Cause}, {"has_cache", WithCache}});
    releasePlacement(Now);
    StreamRequest N =
        makeStreamRequest(Request, Shared.Lengths, Request.Arrival);
    N.IsRetry = true;
    N.HasKvCache = WithCache;
    if (StreamStarted)
      N.GiveUpAt = std::min(LastProgressAt + callerEventTimeout(Request.Route),
                            answerDeadline());
    submit(std::move(N), Now);
  }

  void onDecodeResult(const LegResult &R, TimePoint Now) {
    switch (R.Outcome) {
    case LegOutcome::NotSent:
      if (DecodeLegs >= MaxDecodeLegs)
        return giveUp(Now);
      return retryDecode(Now);
    case LegOutcome::NotRun:
      return onDecodeRefused(R, Now);
    case LegOutcome::Answered:
      MayHaveRun = true;
      if (resumable() && R.Response.Status >= 500)
        return resumeElsewhere("failed", Now);
      if (StreamStarted)
        return finish(RejectReason::OutcomeUnknown, {}, Now);
      Io.respond(R.Response);
      return end(Now);
    case LegOutcome::Broken:
    case LegOutcome::TimedOut:
      MayHaveRun = true;
      return resumeElsewhere(legOutcomeName(R.Outcome), Now);
    }
  }

  /// The engine has not run the request: another endpoint answers at the
  /// address, the engine is full, or the KV cache is gone. The last two give
  /// the same answer, so a cache that should still be held is first offered to
  /// another engine. If that one refuses too, the cache counts as lost.
  void onDecodeRefused(const LegResult &R, TimePoint Now) {
    if (DecodeLegs >= MaxDecodeLegs)
      return giveUp(Now);
    if (!Cache.held() || R.WrongEndpoint)
      return retryDecode(Now);
    if (Cache.recordRefusal() < MaxCacheRefusals && Cache.usable(Now))
      return retryDecode(Now);
    Shared.EngineSignals.record(PrefillEndpoint, HealthSignal::CacheLost, Now);
    FailedPrefill = PrefillEndpoint;
    repeatPrefill(Now);
  }

  void onNotSent(TimePoint Now) {
    Budget.notSent(Now);
    if (++UnreachedLegs < MaxUnreachedLegs)
      --(CurrentPhase == StreamPhase::Prefilling ? PrefillLegs : DecodeLegs);
  }

  /// Ends the request, as no further leg is possible.
  void giveUp(TimePoint Now) {
    finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::NotRun,
           NotRunRetryAfter, Now);
  }

  /// Tries another decode engine, with the KV cache if it is still usable.
  void retryDecode(TimePoint Now) {
    FailedDecode = DecodeEndpoint;
    if (!Cache.usable(Now))
      return repeatPrefill(Now);
    requeue(true, "decode_elsewhere", Now);
  }

  /// Discards the KV cache and asks for a prefill engine again. It processes
  /// the prompt twice as fast as a decode engine, and without delaying other
  /// generations.
  void repeatPrefill(TimePoint Now) {
    dropCache();
    requeue(false, "read_prompt", Now);
  }

  /// The run failed before its last event. A resumable stream continues at
  /// another engine, after the last event that the caller has received.
  void resumeElsewhere(std::string_view Cause, TimePoint Now) {
    ++FailedRuns;
    const bool Allowed = resumable() &&
                         FailedRuns < Request.Route.MaxAttempts &&
                         DecodeLegs < MaxDecodeLegs && Crashes.mayRunAgain();
    Io.logDecision("continue",
                   {{"why", Cause},
                    {"allowed", Allowed},
                    {"endpoint", DecodeEndpoint},
                    {"events", Crashes.events()},
                    {"last_event", Progress.lastEventId().value_or(0)},
                    {"runs", FailedRuns}});
    if (!Allowed)
      return finish(RejectReason::OutcomeUnknown, {}, Now);
    FailedDecode = DecodeEndpoint;
    repeatPrefill(Now);
  }

  /// Keeps the present run beside the search for another engine.
  void keepSilentRun(TimePoint Now) {
    endSilentRun(Now);
    MayHaveRun = true;
    Cache.fetched(); // or expired: it is kept for less than the silence
    Silent = {*std::exchange(ActiveLeg, std::nullopt), CurrentPhase,
              DecodeEndpoint, PlacementId, Crashes.run()};
    HasPlacement = false;
    PlacementId = placementId(Request.SessionId, ++Placements);
  }

  /// A leg to the engines that are to replace a silent one has ended.
  void onReplacementEnded(LegOutcome Outcome) {
    Silent->EndAt = TimePoint::max();
    const bool NeverRan =
        Outcome == LegOutcome::NotSent || Outcome == LegOutcome::NotRun;
    if (CurrentPhase == StreamPhase::Starting && !NeverRan)
      Silent->ReplacementRan = true;
  }

  /// The silent engine goes on, or no other one takes over. Returns false if
  /// there is no silent run.
  bool returnToSilentRun(TimePoint Now) {
    if (!Silent)
      return false;
    Io.logDecision("return", {{"endpoint", Silent->Endpoint}});
    const bool ReplacementRuns =
        ActiveLeg && CurrentPhase == StreamPhase::Starting;
    if (!Silent->ReplacementRan && !ReplacementRuns)
      --FailedRuns; // the silent run has not failed, and is the only one
    Shared.Admission.cancel(PlacementId);
    stopLeg();
    dropCache();
    releasePlacement(Now);
    SilentRun Run = *std::exchange(Silent, std::nullopt);
    ActiveLeg = Run.Leg;
    CurrentPhase = Run.Phase;
    DecodeEndpoint = std::move(Run.Endpoint);
    PlacementId = std::move(Run.PlacementId);
    HasPlacement = true;
    Crashes.restore(std::move(Run.Watched));
    ExtendedDeadline = Now + TimeoutExtension;
    return true;
  }

  /// Ends the silent run, as another engine has taken over or the request ends.
  void endSilentRun(TimePoint Now) {
    if (!Silent)
      return;
    Io.cancelLeg(Silent->Leg);
    forgetSilentRun(Now);
  }

  static LegResult brokenConnection() {
    LegResult R;
    R.Outcome = LegOutcome::Broken;
    R.Response.Status = 0;
    return R;
  }

  /// The search for another engine goes on.
  void onSilentRunFailed(const LegResult &R, TimePoint Now) {
    Shared.EngineSignals.record(
        Silent->Endpoint, healthSignalOf(R, HealthSignal::Unresponsive), Now);
    if (R.Outcome == LegOutcome::Broken && R.Response.Status == 0) {
      const RunCrashWatch::Run Present = Crashes.run();
      Crashes.restore(Silent->Watched);
      Crashes.broke(Now);
      Crashes.restore(Present);
    }
    forgetSilentRun(Now);
  }

  void forgetSilentRun(TimePoint Now) {
    Shared.Admission.release(Silent->PlacementId, Now);
    Silent.reset();
  }

  /// The engine sends data that is not a valid event stream.
  void onOversizedEvent(TimePoint Now) {
    Shared.EngineSignals.record(DecodeEndpoint, HealthSignal::Broken, Now);
    stopLeg();
    resumeElsewhere("event_too_long", Now);
  }

  /// Ends the request, as engines crash under its prompt.
  void finishQuarantined(TimePoint Now) {
    Io.logDecision("quarantine", {{"runs", FailedRuns}});
    finish(MayHaveRun ? RejectReason::OutcomeUnknown
                      : RejectReason::Quarantined,
           QuarantineRetryAfter, Now);
  }

  /// What an engine refuses to this entry alone says nothing to the others.
  void recordHealth(const LegResult &R, TimePoint Now) {
    if (R.PausesSender)
      return;
    Shared.EngineSignals.record(
        currentEndpoint(), healthSignalOf(R, HealthSignal::Unresponsive), Now);
  }

  const std::string &currentEndpoint() const {
    return CurrentPhase == StreamPhase::Prefilling ? PrefillEndpoint
                                                   : DecodeEndpoint;
  }

  /// True if another engine can take over the stream. An unresponsive engine
  /// may still answer, so its run is cancelled only in this case.
  bool canContinue(TimePoint Now) {
    return FailedRuns + 1 < Request.Route.MaxAttempts &&
           DecodeLegs < MaxDecodeLegs &&
           Shared.Retries.available(Request.Service, Now) &&
           Shared.Admission.hasRoom(
               Request.Service,
               makeStreamRequest(Request, Shared.Lengths, Now).PromptTokens,
               DecodeEndpoint, Now);
  }

  TimePoint legDeadline() const {
    return std::max(ExtendedDeadline, phaseDeadline());
  }

  TimePoint phaseDeadline() const {
    if (CurrentPhase == StreamPhase::Prefilling)
      return PrefillDeadline;
    const auto Timeout = progressTimeout(CurrentPhase, Progress.gotNewEvent());
    return resumable() && Timeout ? LastProgressAt + *Timeout
                                  : TimePoint::max();
  }

  void onDeadline(TimePoint Now) {
    const bool RunPossible =
        MayHaveRun || CurrentPhase == StreamPhase::Starting;
    stopLeg();
    endSilentRun(Now);
    Shared.Admission.cancel(PlacementId);
    finish(RunPossible ? RejectReason::TimedOut : RejectReason::NotRunInTime,
           {}, Now);
  }

  void stopLeg() {
    if (ActiveLeg)
      Io.cancelLeg(*ActiveLeg);
    ActiveLeg.reset();
  }

  void dropCache() {
    if (const auto Source = Cache.discard())
      Io.dropHandle(*Source);
  }

  void releasePlacement(TimePoint Now) {
    if (HasPlacement)
      Shared.Admission.release(PlacementId, Now);
    HasPlacement = false;
  }

  void end(TimePoint Now) {
    endSilentRun(Now);
    dropCache();
    releasePlacement(Now);
    CurrentPhase = StreamPhase::Done;
  }

  void abortStream(RejectReason Reason, TimePoint Now) {
    end(Now);
    Io.abort(Reason);
  }

  /// Ends without a complete answer, unless a silent engine may still give one.
  /// If the caller has received the start of the stream, the answer can only be
  /// aborted.
  void finish(RejectReason Reason, milliseconds RetryAfter, TimePoint Now) {
    if (returnToSilentRun(Now))
      return;
    if (StreamStarted)
      return abortStream(Reason, Now);
    end(Now);
    Io.reject(Reason, RetryAfter);
  }

  SharedFlowState Shared;
  FlowRequest Request;
  FlowIo &Io;
  StreamPhase CurrentPhase = StreamPhase::Waiting;
  std::optional<FlowIo::LegId> ActiveLeg;
  std::string PrefillEndpoint;
  std::string DecodeEndpoint;
  std::string FailedDecode; ///< failed last, avoided by the next placement
  std::string FailedPrefill;
  bool HasPlacement = false;
  /// The submitted request has a KV cache, so it gets no prefill engine.
  bool SubmittedWithCache = false;
  HeldCache Cache;
  LegBudget Budget;
  StreamProgress Progress;
  RunCrashWatch Crashes;
  unsigned Placements = 0; ///< admission requests under other ids so far
  std::string PlacementId; ///< of the present admission request
  std::optional<SilentRun> Silent;
  TimePoint LastProgressAt{};
  TimePoint ExtendedDeadline{}; ///< of an engine that no other can replace
  TimePoint PrefillDeadline{};  ///< a prefill counts as hanging after this
  unsigned PrefillLegs = 0;
  unsigned DecodeLegs = 0;
  unsigned UnreachedLegs = 0; ///< legs that reached no engine
  unsigned Requeues = 0; ///< how often the request was put back into the queue
  unsigned FailedRuns = 0; ///< runs, certain or possible, that did not complete
  bool StreamStarted = false; ///< the head of the answer was sent to the caller
  TimePoint StreamStartedAt{};
  bool MayHaveRun = false;
};

} // namespace

std::unique_ptr<Flow> makeStreamFlow(SharedFlowState Shared,
                                     FlowRequest Request, FlowIo &Io) {
  return std::make_unique<StreamFlow>(std::move(Shared), std::move(Request),
                                      Io);
}

} // namespace hyssoprail::routing
