#ifndef HYSSOPRAIL_ROUTING_STREAM_FLOW_HPP
#define HYSSOPRAIL_ROUTING_STREAM_FLOW_HPP

#include <optional>
#include <set>
#include <string>

#include "hyssoprail/routing/flow.hpp"
#include "hyssoprail/routing/held_cache.hpp"
#include "hyssoprail/routing/leg_budget.hpp"
#include "hyssoprail/routing/request_version.hpp"
#include "hyssoprail/routing/run_crash_watch.hpp"
#include "hyssoprail/routing/stream_progress.hpp"
#include "hyssoprail/routing/stream_timeouts.hpp"
#include "hyssoprail/routing/version_record.hpp"

namespace hyssoprail::routing {

/// A run whose engine has fallen silent. It goes on until another engine has
/// taken over, as the silent one may still answer.
struct SilentRun {
  FlowIo::LegId Leg;
  StreamPhase Phase;
  std::string Endpoint;
  std::string PlacementId;
  RunCrashWatch::Run Watched;
  RequestVersion::Run VersionRun;
  TimePoint EndAt = TimePoint::max(); ///< set once the request was sent on
  bool ReplacementRan = false;        ///< another engine ran it, or may have
};

/// State machine of a generation: wait for engines, prefill, decode, and after
/// a failure resume at another engine if the route allows it.
class StreamFlow : public Flow {
public:
  StreamFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io);

  void start(TimePoint Now) override;

  void onPlaced(const StreamPlacement &Place, TimePoint Now) override;

  void onRefused(const StreamRefusal &Refusal, TimePoint Now) override;

  void onLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) override;

  void onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                    TimePoint Now) override;

  void onStreamData(FlowIo::LegId Leg, std::string_view Data,
                    TimePoint Now) override;

  void onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now) override;

  void onVersionRecorded(bool Written, TimePoint Now) override;

  void onVersionFound(const std::optional<std::string> &Found,
                      TimePoint Now) override;

  void onTimer(TimePoint Now) override;

  void onCallerDisconnected(TimePoint Now) override;

  void endBy(TimePoint Deadline) override;

  TimePoint nextDeadline() const override;

  bool done() const override { return CurrentPhase == StreamPhase::Done; }
  bool mayHaveRun() const override { return MayHaveRun; }

private:
  /// Extension of a timeout if no other engine can take over.
  static constexpr milliseconds TimeoutExtension{300};

  bool resumable() const { return Request.Route.Resumable; }

  /// Before the first event the caller leaves earlier than at its deadline.
  TimePoint answerDeadline() const;

  LegRequest makeLeg(LegKind Kind, const Endpoint &E, TimePoint Now) const;

  /// False if the endpoint has stopped taking work since it was chosen.
  bool takesWork(const std::string &Id, TimePoint Now);

  /// True if the request can be sent to \p E now.
  bool mayUse(const Endpoint *E, TimePoint Now);

  /// Chooses the version and asks for engines.
  void begin(TimePoint Now);

  /// True if the service has a decode engine that the request may use.
  bool hasDecodeEngine(TimePoint Now);

  /// True if the stream may begin at \p Version now. If not, its record is
  /// being written.
  bool mayBeginAt(const std::string &Version);

  /// The version of the decode engine was not recorded: the stream begins
  /// there if it may, else at a version that needs no record, if one serves.
  void onVersionNotRecorded(TimePoint Now);

  /// Lets the stream begin only at a version at which it needs no record that
  /// is missing. Returns false if none serves.
  bool pinUnrecorded(TimePoint Now);

  /// The caller gets the first event.
  void beginAnswer();

  /// Lets the old version serve the request if the target has no decode engine
  /// for it.
  void checkVersion(TimePoint Now);

  /// Ends the count of the active leg's run.
  void endRun(std::optional<RequestVersion::Result> Answer, TimePoint Now);

  /// Asks the admission for engines. The request must hold no placement.
  void submit(StreamRequest Submission, TimePoint Now);

  /// Engines that this entry does not know yet or that take no work of it. The
  /// coordinator may know of no reason not to choose them.
  std::set<std::string> unusableEngines(TimePoint Now);

  /// Excludes failed engines that take no work for now only until they take
  /// work again, not for the rest of the request.
  void excludeWhilePaused(TimePoint Now);

  /// Submits the queued request again if one of the engines that it excludes
  /// has become usable.
  void updateExclusions(TimePoint Now);

  /// When to call updateExclusions().
  TimePoint nextExclusionCheck() const;

  /// Submits the request again, ahead of those that have not been placed yet.
  void resubmit(bool WithCache, TimePoint Now);

  /// Holds a started stream back until an engine takes work of this entry
  /// again, at the latest after \p Wait. Returns false if its caller does not
  /// stay for so long or a silent engine may still answer.
  bool waitForPause(milliseconds Wait, TimePoint Now);

  /// The caller of a started stream leaves if it has received no event by then.
  TimePoint giveUpAt() const;

  /// Another prefill engine is chosen if this entry cannot use this one.
  void sendPrefill(const StreamPlacement &Place, TimePoint Now);

  void onPrefillResult(const LegResult &R, TimePoint Now);

  /// A prefill failed: tries another prefill engine, or lets the decode engine
  /// process the prompt. A stream that has begun keeps its decode engine, as
  /// there may be no room for it elsewhere.
  void retryPrefill(TimePoint Now);

  void sendDecode(TimePoint Now);

  /// Releases the placement and puts the request back into the queue, ahead of
  /// requests that have not been placed yet.
  void requeue(bool WithCache, std::string_view Cause, TimePoint Now);

  void onDecodeResult(const LegResult &R, TimePoint Now);

  /// The engine has not run the request: another endpoint answers at the
  /// address, the engine is full, or the KV cache is gone. The last two give
  /// the same answer, so a cache that should still be held is first offered to
  /// another engine. If that one refuses too, the cache counts as lost.
  void onDecodeRefused(const LegResult &R, TimePoint Now);

  void onNotSent(TimePoint Now);

  /// Ends the request, as no further leg is possible.
  void giveUp(TimePoint Now);

  /// Tries another decode engine, with the KV cache if it is still usable.
  void retryDecode(TimePoint Now);

  /// The same, as this entry cannot use the chosen one for now.
  void onUnusableDecode(TimePoint Now);

  void requeueForDecode(TimePoint Now);

  /// Discards the KV cache and asks for a prefill engine again. It processes
  /// the prompt twice as fast as a decode engine, and without delaying other
  /// generations.
  void repeatPrefill(TimePoint Now);

  /// The run failed before its last event. A resumable stream continues at
  /// another engine, after the last event that the caller has received.
  void resumeElsewhere(std::string_view Cause, TimePoint Now);

  /// Keeps the present run beside the search for another engine.
  void keepSilentRun(TimePoint Now);

  /// A leg to the engines that are to replace a silent one has ended.
  void onReplacementEnded(LegOutcome Outcome);

  /// The silent engine goes on, or no other one takes over. Returns false if
  /// there is no silent run.
  bool returnToSilentRun(TimePoint Now);

  /// Ends the silent run, as another engine has taken over or the request ends.
  void endSilentRun(TimePoint Now);

  static LegResult brokenConnection();

  /// The search for another engine goes on.
  void onSilentRunFailed(const LegResult &R, TimePoint Now);

  void forgetSilentRun(TimePoint Now);

  /// Sends \p Count whole events to the caller.
  void passOn(std::string_view NewEvents, std::uint64_t Count, TimePoint Now);

  /// The engine sends data that is not a valid event stream.
  void onOversizedEvent(TimePoint Now);

  /// Ends the request, as engines crash under its prompt.
  void finishQuarantined(TimePoint Now);

  /// What an engine refuses to this entry alone says nothing to the others.
  void recordHealth(const LegResult &R, TimePoint Now);

  void recordCrashEvidence(const LegResult &R, TimePoint Now);

  const std::string &currentEndpoint() const;

  /// True if another engine may be able to take over the stream.
  bool canContinue(TimePoint Now);

  TimePoint legDeadline() const;

  TimePoint phaseDeadline() const;

  void onDeadline(TimePoint Now);

  void stopLeg(TimePoint Now);

  /// Forgets the KV cache. Its engine is told to free it only if it takes work
  /// of this entry, as that is a request, too; else the cache expires there.
  void dropCache(TimePoint Now);

  void releasePlacement(TimePoint Now);

  void end(TimePoint Now);

  void abortStream(RejectReason Reason, TimePoint Now);

  /// Ends without a complete answer, unless a silent engine may still give one.
  /// If the caller has received the start of the stream, the answer can only be
  /// aborted.
  void finish(RejectReason Reason, milliseconds RetryAfter, TimePoint Now);

  SharedFlowState Shared;
  FlowRequest Request;
  FlowIo &Io;
  StreamPhase CurrentPhase = StreamPhase::Waiting;
  std::optional<FlowIo::LegId> ActiveLeg;
  std::string PrefillEndpoint;
  std::string DecodeEndpoint;
  std::string FailedDecode; ///< failed last, avoided by the next placement
  std::string FailedPrefill;
  /// Engines that were chosen but could not be used by this entry, or paused
  /// it. All of them are excluded: without the earlier ones, a request would go
  /// back and forth between two engines that have just registered.
  std::set<std::string> Unusable;
  bool HasPlacement = false;
  StreamRequest Submitted;        ///< the last admission request
  std::set<std::string> Excluded; ///< unusableEngines() when it was made
  TimePoint ExclusionCheckAt{};
  HeldCache Cache;
  LegBudget Budget;
  StreamProgress Progress;
  RunCrashWatch Crashes;
  EngineWorkMeter Work;
  RequestVersion Version;
  VersionRecord Recorded;
  RequestVersion::Run ActiveRun; ///< of the active leg
  std::string DecodeVersion;     ///< of the engine of the last decode leg
  unsigned Placements = 0;       ///< admission requests under other ids so far
  std::string PlacementId;       ///< of the present admission request
  std::optional<SilentRun> Silent;
  TimePoint LastProgressAt{};
  TimePoint ExtendedDeadline{}; ///< of an engine that no other can replace
  /// While the request waits for engines outside of the queue, for example for
  /// the end of a pause: the next time to try.
  TimePoint ResubmitAt = TimePoint::max();
  TimePoint PrefillDeadline{}; ///< a prefill counts as hanging after this
  unsigned PrefillLegs = 0;
  unsigned DecodeLegs = 0;
  unsigned UnreachedLegs = 0; ///< legs that reached no engine
  /// How often the request was put back into the queue since it waited last.
  unsigned Requeues = 0;
  unsigned ExclusionWaits = 0;   ///< see MaxExclusionWaits
  unsigned UnusablePrefills = 0; ///< placements at unusable prefill engines
  unsigned FailedRuns = 0; ///< runs, certain or possible, that did not complete
  /// The head and the first event of the answer were sent to the caller. Until
  /// then the request can still be answered with an error.
  bool StreamStarted = false;
  HttpResponse AnswerHead;     ///< sent with the first event
  TimePoint StreamStartedAt{}; ///< arrival of AnswerHead
  bool MayHaveRun = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_FLOW_HPP
