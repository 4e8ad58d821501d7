// The part of StreamFlow that keeps the run of a silent engine until another
// engine has taken over.
#include <utility>

#include "hyssoprail/routing/leg_health_signal.hpp"
#include "hyssoprail/routing/stream_flow.hpp"
#include "hyssoprail/routing/stream_request.hpp"

namespace hyssoprail::routing {

void StreamFlow::keepSilentRun(TimePoint Now) {
  endSilentRun(Now);
  MayHaveRun = true;
  Cache.fetched(); // or expired: it is kept for less than the silence
  Silent = {*std::exchange(ActiveLeg, std::nullopt),
            CurrentPhase,
            DecodeEndpoint,
            PlacementId,
            Crashes.run(),
            std::exchange(ActiveRun, {})};
  HasPlacement = false;
  PlacementId = placementId(Request.SessionId, ++Placements);
  // The stream may still begin at the silent engine.
  if (Shared.Versions && resumable())
    Version.pin(DecodeVersion);
}

void StreamFlow::onReplacementEnded(LegOutcome Outcome) {
  Silent->EndAt = TimePoint::max();
  const bool NeverRan =
      Outcome == LegOutcome::NotSent || Outcome == LegOutcome::NotRun;
  if (CurrentPhase == StreamPhase::Starting && !NeverRan)
    Silent->ReplacementRan = true;
}

bool StreamFlow::returnToSilentRun(TimePoint Now) {
  if (!Silent)
    return false;
  Io.logDecision("return", {{"endpoint", Silent->Endpoint}});
  const bool ReplacementRuns =
      ActiveLeg && CurrentPhase == StreamPhase::Starting;
  if (!Silent->ReplacementRan && !ReplacementRuns)
    --FailedRuns; // the silent run has not failed, and is the only one
  Shared.Admission.cancel(PlacementId);
  ResubmitAt = TimePoint::max();
  stopLeg(Now);
  dropCache(Now);
  releasePlacement(Now);
  SilentRun Run = *std::exchange(Silent, std::nullopt);
  ActiveLeg = Run.Leg;
  CurrentPhase = Run.Phase;
  ActiveRun = std::move(Run.VersionRun);
  DecodeEndpoint = std::move(Run.Endpoint);
  PlacementId = std::move(Run.PlacementId);
  HasPlacement = true;
  Crashes.restore(std::move(Run.Watched));
  Work.stop();
  ExtendedDeadline = Now + TimeoutExtension;
  return true;
}

void StreamFlow::endSilentRun(TimePoint Now) {
  if (!Silent)
    return;
  Io.cancelLeg(Silent->Leg);
  Version.end(std::exchange(Silent->VersionRun, {}),
              RequestVersion::Result::Lost, Now);
  forgetSilentRun(Now);
}

LegResult StreamFlow::brokenConnection() {
  LegResult R;
  R.Outcome = LegOutcome::Broken;
  R.Response.Status = 0;
  return R;
}

void StreamFlow::onSilentRunFailed(const LegResult &R, TimePoint Now) {
  Version.end(std::exchange(Silent->VersionRun, {}), versionEvidence(R), Now);
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

void StreamFlow::forgetSilentRun(TimePoint Now) {
  Shared.Admission.release(Silent->PlacementId, Now);
  Silent.reset();
  if (!StreamStarted && !Request.Info.Resumes)
    Version.unpin();
}

} // namespace hyssoprail::routing
