// The part of StreamFlow that asks for engines, sends legs to them and decides
// what follows when a leg has ended.
#include <algorithm>
#include <utility>

#include "hyssoprail/routing/stream_flow.hpp"
#include "hyssoprail/routing/stream_request.hpp"

namespace hyssoprail::routing {
namespace {

/// After this many refusals by decode engines, a KV cache counts as lost.
constexpr unsigned MaxCacheRefusals = 2;

constexpr unsigned MaxPrefillLegs = 2;
constexpr unsigned MaxDecodeLegs = 4;

/// Legs that reach no engine do not count as sent until there are this many,
/// since they take little time and none of the retry budget. When a zone is
/// lost, a third of the engines may be gone before their registrations expire.
constexpr unsigned MaxUnreachedLegs = 12;
constexpr unsigned MaxRequeues = 16;

/// Prefill engines that were chosen but cannot be used by this entry, before
/// the decode engine processes the prompt.
constexpr unsigned MaxUnusablePrefills = 4;

constexpr milliseconds NotRunRetryAfter{400};

/// The store may take records again.
constexpr milliseconds UnrecordedRetryAfter{1'000};

/// Time reserved before a caller without an event leaves, for the final answer
/// to reach it.
constexpr milliseconds CallerEventMargin{100};

/// A run whose engine was silent ends this long after another engine was sent
/// the request and has not refused it, so that not both generate for long. An
/// engine that cannot be reached is known to be so after 250 ms.
constexpr milliseconds SilentRunOverlap{300};

/// How often a request that waits for the end of a pause looks for engines that
/// have become ready before that.
constexpr milliseconds PauseCheckInterval{100};

/// How often a queued request looks whether the engines that it excludes have
/// become usable.
constexpr milliseconds ExclusionCheckInterval{100};

/// Waits of ExclusionCheckInterval before a request is rejected. It waits after
/// MaxRequeues placements at engines that its entry cannot use. Their ids
/// travel with the request, so their number is bounded.
constexpr unsigned MaxExclusionWaits = 3;

} // namespace

TimePoint StreamFlow::answerDeadline() const {
  const TimePoint Latest = Request.AnswerBy - AnswerMargin;
  if (StreamStarted)
    return Latest;
  return std::min(Latest, Request.Arrival + callerEventTimeout(Request.Route) -
                              CallerEventMargin);
}

LegRequest StreamFlow::makeLeg(LegKind Kind, const Endpoint &E,
                               TimePoint Now) const {
  LegRequest Out;
  Out.Kind = Kind;
  Out.EndpointId = E.Record.Id;
  Out.Address = E.Record.Address;
  Out.StartedAtMs = E.Record.StartedAtMs;
  Out.Version = E.Record.Version;
  Out.Deadline =
      std::chrono::duration_cast<milliseconds>(Request.AnswerBy - Now);
  if (Request.SendsPriority)
    Out.Priority = Request.Priority;
  return Out;
}

bool StreamFlow::takesWork(const std::string &Id, TimePoint Now) {
  const Endpoint *E = Shared.Table.find(Id);
  return !E || (Shared.Table.takesWork(*E, Now) && Version.allows(*E));
}

bool StreamFlow::mayUse(const Endpoint *E, TimePoint Now) {
  return E && Shared.Table.mayReceive(*E, Now) && Version.allows(*E);
}

bool StreamFlow::hasDecodeEngine(TimePoint Now) {
  const EngineFilter MayUse = [&](const std::string &Id) {
    return takesWork(Id, Now);
  };
  return Shared.Table.hasDecodeEngine(Request.Service, MayUse, Now);
}

bool StreamFlow::mayBeginAt(const std::string &EngineVersion) {
  const RecordNeed Need =
      StreamStarted ? RecordNeed::None : Recorded.need(EngineVersion);
  if (Need == RecordNeed::None && !Recorded.isPending())
    return true;
  if (!Recorded.isPending()) {
    Recorded.begin(EngineVersion);
    Io.recordVersion(EngineVersion, Need);
  }
  return false;
}

void StreamFlow::onVersionRecorded(bool Written, TimePoint Now) {
  Recorded.end(Written);
  if (CurrentPhase != StreamPhase::RecordingVersion)
    return;
  if (!Written)
    return onVersionNotRecorded(Now);
  sendDecode(Now);
}

void StreamFlow::onVersionNotRecorded(TimePoint Now) {
  const Endpoint *E = Shared.Table.find(DecodeEndpoint);
  const bool Begins =
      !E || Recorded.need(E->Record.Version) != RecordNeed::Required;
  const auto Base = Shared.Versions->base(Request.Service);
  const bool BaseServes = !Begins && pinUnrecorded(Now);
  Io.logDecision("version_not_recorded", {{"begins", Begins},
                                          {"base", Base.value_or("")},
                                          {"base_serves", BaseServes}});
  if (Begins)
    return sendDecode(Now);
  if (BaseServes)
    return requeueForDecode(Now);
  finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::NoCapacity,
         UnrecordedRetryAfter, Now);
}

bool StreamFlow::pinUnrecorded(TimePoint Now) {
  for (const auto &Candidate :
       {Recorded.written(), Shared.Versions->base(Request.Service)}) {
    if (!Candidate || Recorded.need(*Candidate) == RecordNeed::Required)
      continue;
    Version.pin(*Candidate);
    if (hasDecodeEngine(Now))
      return true;
  }
  Version.unpin();
  return false;
}

void StreamFlow::checkVersion(TimePoint Now) {
  if (!Version.required().empty() && !hasDecodeEngine(Now))
    Version.fallBack();
}

std::set<std::string> StreamFlow::unusableEngines(TimePoint Now) {
  std::erase_if(Unusable, [&](const std::string &Id) {
    return mayUse(Shared.Table.find(Id), Now);
  });
  std::set<std::string> Out = Unusable;
  for (std::string &Id : Shared.Table.refusing(Request.Service, Now))
    Out.insert(std::move(Id));
  return Out;
}

void StreamFlow::excludeWhilePaused(TimePoint Now) {
  for (std::string *Failed : {&FailedDecode, &FailedPrefill})
    if (!takesWork(*Failed, Now))
      Unusable.insert(std::exchange(*Failed, {}));
}

void StreamFlow::submit(StreamRequest Submission, TimePoint Now) {
  excludeWhilePaused(Now);
  if (const auto Wait = Shared.Table.pauseWait(Request.Service, Now)) {
    if (waitForPause(*Wait, Now))
      return;
    return finish(MayHaveRun       ? RejectReason::OutcomeUnknown
                  : DecodeLegs > 0 ? RejectReason::NotRun
                                   : RejectReason::NoCapacity,
                  *Wait, Now);
  }
  ResubmitAt = TimePoint::max();
  Excluded = unusableEngines(Now);
  ExclusionCheckAt = Now + ExclusionCheckInterval;
  CurrentPhase = StreamPhase::Waiting;
  checkVersion(Now);
  Submission.Version = Version.required();
  Submission.Id = PlacementId;
  Submission.Zone = Shared.Zone;
  Submission.ExcludedEndpoints.assign(Excluded.begin(), Excluded.end());
  for (const std::string &Failed : {FailedDecode, FailedPrefill})
    if (!Failed.empty())
      Submission.ExcludedEndpoints.push_back(Failed);
  if (Silent)
    Submission.ExcludedEndpoints.push_back(Silent->Endpoint);
  Submitted = Submission;
  Shared.Admission.submit(std::move(Submission));
}

TimePoint StreamFlow::nextExclusionCheck() const {
  const bool Queued =
      CurrentPhase == StreamPhase::Waiting && ResubmitAt == TimePoint::max();
  return Queued && !Excluded.empty() ? ExclusionCheckAt : TimePoint::max();
}

void StreamFlow::updateExclusions(TimePoint Now) {
  ExclusionCheckAt = Now + ExclusionCheckInterval;
  const bool Changed =
      std::any_of(Excluded.begin(), Excluded.end(), [&](const std::string &Id) {
        return mayUse(Shared.Table.find(Id), Now);
      });
  if (!Changed)
    return;
  Shared.Admission.cancel(PlacementId);
  submit(Submitted, Now);
}

void StreamFlow::sendPrefill(const StreamPlacement &Place, TimePoint Now) {
  Endpoint *E = Shared.Table.find(Place.Prefill);
  const bool Usable =
      E && Shared.Table.takesWork(*E, Now) && Version.allows(*E);
  const bool KeepsDecode = !E && StreamStarted;
  if (!Usable && !KeepsDecode && ++UnusablePrefills <= MaxUnusablePrefills) {
    Unusable.insert(Place.Prefill);
    return repeatPrefill(Now);
  }
  if (!Usable || !Budget.tryBegin(LegKind::Prefill, Now)) {
    Shared.Admission.prefillEnded(PlacementId, Now);
    return sendDecode(Now);
  }
  CurrentPhase = StreamPhase::Prefilling;
  PrefillEndpoint = Place.Prefill;
  Crashes.begin(E->Record, Now);
  LastProgressAt = Now;
  PrefillDeadline = Now + prefillTimeout(Place.PrefillBacklog);
  Work.beginPrefill(E->Record, Submitted.PromptTokens,
                    Place.PrefillBacklog == Submitted.PromptTokens, Now);
  ActiveRun = Version.begin(*E, Now, "prefill");
  LegRequest Leg = makeLeg(LegKind::Prefill, *E, Now);
  Leg.IsRetry = PrefillLegs++ > 0;
  ActiveLeg = Io.startLeg(Leg);
  // Meanwhile, so that the decode does not wait for it.
  if (const Endpoint *Decode = Shared.Table.find(Place.Decode))
    mayBeginAt(Decode->Record.Version);
}

void StreamFlow::onPrefillResult(const LegResult &R, TimePoint Now) {
  if (R.Outcome == LegOutcome::Answered && !R.Handle.empty()) {
    if (const Endpoint *E = Shared.Table.find(PrefillEndpoint))
      Cache.store({E->Record.Address, R.Handle}, Now);
    Work.prefillEnded(Now);
    Shared.Admission.prefillEnded(PlacementId, Now);
    return sendDecode(Now);
  }
  retryPrefill(Now);
}

void StreamFlow::retryPrefill(TimePoint Now) {
  FailedPrefill = PrefillEndpoint;
  if (PrefillLegs < MaxPrefillLegs && !StreamStarted)
    return repeatPrefill(Now);
  Shared.Admission.prefillEnded(PlacementId, Now);
  sendDecode(Now);
}

void StreamFlow::sendDecode(TimePoint Now) {
  if (!Io.stillAllowed())
    return finish(RejectReason::NoKey, {}, Now);
  if (Crashes.isQuarantined(Now))
    return finishQuarantined(Now);
  if (!Crashes.mayRunAgain())
    return giveUp(Now);
  Endpoint *E = Shared.Table.find(DecodeEndpoint);
  if (!mayUse(E, Now))
    return onUnusableDecode(Now);
  if (!mayBeginAt(E->Record.Version)) {
    CurrentPhase = StreamPhase::RecordingVersion;
    return;
  }
  if (!Budget.tryBegin(LegKind::Decode, Now))
    return giveUp(Now);
  CurrentPhase = StreamPhase::Starting;
  DecodeVersion = E->Record.Version;
  Crashes.begin(E->Record, Now,
                Request.Info.Resumes || Progress.lastEventId().has_value());
  Work.beginDecode(E->Record);
  LastProgressAt = Now;
  ActiveRun = Version.begin(*E, Now);
  LegRequest Leg = makeLeg(LegKind::Decode, *E, Now);
  Leg.Source = Cache.usable(Now);
  Leg.ResumeAfter = Progress.lastEventId();
  Leg.IsRetry = DecodeLegs++ > 0;
  ActiveLeg = Io.startLeg(Leg);
  if (Silent)
    Silent->EndAt = Now + SilentRunOverlap;
}

void StreamFlow::requeue(bool WithCache, std::string_view Cause,
                         TimePoint Now) {
  if (DecodeLegs >= MaxDecodeLegs || ++Requeues > MaxRequeues)
    return giveUp(Now);
  Io.logDecision("requeue", {{"reason", Cause}, {"has_cache", WithCache}});
  releasePlacement(Now);
  resubmit(WithCache, Now);
}

void StreamFlow::resubmit(bool WithCache, TimePoint Now) {
  StreamRequest N = makeStreamRequest(Request, Shared.Lengths, Request.Arrival);
  N.IsRetry = true;
  N.Began = StreamStarted || WithCache;
  N.HasKvCache = WithCache;
  if (StreamStarted)
    N.GiveUpAt = giveUpAt();
  submit(std::move(N), Now);
}

TimePoint StreamFlow::giveUpAt() const {
  return std::min(LastProgressAt + callerEventTimeout(Request.Route),
                  answerDeadline());
}

bool StreamFlow::waitForPause(milliseconds Wait, TimePoint Now) {
  if (!StreamStarted || !resumable() || Silent ||
      Now + Wait + MinServiceTime >= giveUpAt())
    return false;
  if (ResubmitAt == TimePoint::max())
    Io.logDecision("wait_for_pause", {{"wait_ms", Wait}});
  CurrentPhase = StreamPhase::Waiting;
  ResubmitAt = Now + std::min(Wait, PauseCheckInterval);
  if (!Cache.usable(Now + Wait))
    dropCache(Now);
  excludeWhilePaused(Now);
  return true;
}

void StreamFlow::onDecodeResult(const LegResult &R, TimePoint Now) {
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

void StreamFlow::onDecodeRefused(const LegResult &R, TimePoint Now) {
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

void StreamFlow::onNotSent(TimePoint Now) {
  Budget.notSent(Now);
  if (++UnreachedLegs < MaxUnreachedLegs)
    --(CurrentPhase == StreamPhase::Prefilling ? PrefillLegs : DecodeLegs);
}

void StreamFlow::giveUp(TimePoint Now) {
  finish(MayHaveRun ? RejectReason::OutcomeUnknown : RejectReason::NotRun,
         NotRunRetryAfter, Now);
}

/// A zone of engines that comes back may be known to the coordinator before it
/// is known here, so a request that has met many of them waits for a moment.
void StreamFlow::onUnusableDecode(TimePoint Now) {
  Unusable.insert(DecodeEndpoint);
  if (Requeues < MaxRequeues)
    return requeueForDecode(Now);
  if (++ExclusionWaits > MaxExclusionWaits)
    return giveUp(Now);
  Requeues = 0;
  Io.logDecision("wait_for_engines", {{"unusable", Unusable.size()}});
  releasePlacement(Now);
  CurrentPhase = StreamPhase::Waiting;
  ResubmitAt = Now + ExclusionCheckInterval;
}

void StreamFlow::retryDecode(TimePoint Now) {
  FailedDecode = DecodeEndpoint;
  requeueForDecode(Now);
}

void StreamFlow::requeueForDecode(TimePoint Now) {
  if (!Cache.usable(Now))
    return repeatPrefill(Now);
  requeue(true, "decode_elsewhere", Now);
}

void StreamFlow::repeatPrefill(TimePoint Now) {
  dropCache(Now);
  requeue(false, "read_prompt", Now);
}

void StreamFlow::resumeElsewhere(std::string_view Cause, TimePoint Now) {
  ++FailedRuns;
  const bool Allowed = resumable() && Progress.canContinue() &&
                       FailedRuns < Request.Route.MaxAttempts &&
                       DecodeLegs < MaxDecodeLegs && Crashes.mayRunAgain() &&
                       !Version.isBarred();
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
  Version.fallBack();
  repeatPrefill(Now);
}

bool StreamFlow::canContinue(TimePoint Now) {
  const EngineFilter MayUse = [&](const std::string &Id) {
    return Id != DecodeEndpoint && takesWork(Id, Now);
  };
  return Progress.canContinue() && FailedRuns + 1 < Request.Route.MaxAttempts &&
         DecodeLegs < MaxDecodeLegs &&
         Shared.Retries.available(Request.Service, Now) &&
         Shared.Admission.hasRoom(
             Request.Service,
             makeStreamRequest(Request, Shared.Lengths, Now).PromptTokens,
             MayUse, Now) &&
         Shared.Table.hasDecodeEngine(Request.Service, MayUse, Now);
}

} // namespace hyssoprail::routing
