#include "hyssoprail/routing/flow.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/routing/held_cache.hpp"
#include "hyssoprail/routing/leg_budget.hpp"
#include "hyssoprail/routing/leg_health_signal.hpp"
#include "hyssoprail/routing/stream_need.hpp"
#include "hyssoprail/routing/stream_progress.hpp"

namespace hyssoprail::routing {
namespace {

/// A prefill that takes longer than this and a multiple of the time that the
/// engine's backlog needs is taken to hang.
constexpr milliseconds PrefillPatience{350};
constexpr int PrefillPatienceFactor = 3;

/// Prompt tokens that a prefill engine reads in a millisecond.
constexpr std::int64_t PrefillTokensPerMs = 33;

/// Time to the first event after which a stream that may be repeated is taken
/// elsewhere.
constexpr milliseconds FirstEventPatience{1'500};

/// Pause after which a stream that may be resumed continues elsewhere. Callers
/// leave after a gap of two seconds or more.
constexpr milliseconds EventPatience{1'100};

/// How much longer a silent engine is waited for if no other can go on.
constexpr milliseconds PatienceExtension{300};

/// Engines that refuse a KV cache until it is taken to be lost.
constexpr unsigned CacheRefusals = 2;

constexpr unsigned MaxPrefillSends = 2;
constexpr unsigned MaxDecodeSends = 4;

/// Sends that reached no engine cost little time and no budget. When a zone is
/// lost, a third of the engines may be gone before their registrations lapse.
constexpr unsigned MaxUnsent = 12;
constexpr unsigned MaxRequeues = 16;
constexpr milliseconds RefusedReturn{400};

enum class Phase { Waiting, Prefilling, Starting, Streaming, Done };

constexpr std::array<EnumName<Phase>, 5> PhaseNames{{
    {Phase::Waiting, "waiting"},
    {Phase::Prefilling, "prefilling"},
    {Phase::Starting, "starting"},
    {Phase::Streaming, "streaming"},
    {Phase::Done, "done"},
}};

/// Course of a generation: wait for engines, prefill, decode, and if the route
/// allows it, continue at another engine after a failure.
class StreamFlow : public Flow {
public:
  StreamFlow(SharedFlowState Shared, FlowRequest Request, FlowIo &Io)
      : Shared(std::move(Shared)), Request(std::move(Request)), Io(Io),
        Cache(this->Request.HandleRetention),
        Budget(this->Shared.Retries, this->Request.Service) {
    if (this->Request.Info.Resumes)
      Progress.resumeAfter(this->Request.Info.LastEventId);
  }

  void start(TimePoint Now) override {
    submit(streamNeed(Request, Shared.Lengths, Now));
  }

  void onPlaced(const StreamPlace &Place, TimePoint Now) override {
    HasPlace = true;
    DecodeEndpoint = Place.Decode;
    Io.logDecision("place", {{"decode", Place.Decode},
                             {"prefill", Place.Prefill},
                             {"waited_ms", Place.Waited},
                             {"decode_runs", Place.DecodeLoad.Runs},
                             {"decode_tokens", Place.DecodeLoad.Tokens},
                             {"need_tokens", Place.NeedTokens},
                             {"prefill_backlog", Place.PrefillBacklog}});
    if (!Io.stillAllowed())
      return finish(RejectReason::NoKey, {}, Now);
    if (!Place.Prefill.empty())
      return sendPrefill(Place, Now);
    if (AskedWithCache && !Cache.usable(Now))
      return readPromptAgain(Now);
    sendDecode(Now);
  }

  void onRefused(const StreamRefusal &Refusal, TimePoint Now) override {
    Io.logDecision("refuse", {{"reason", streamRefusalName(Refusal.Reason)},
                              {"expected_wait_ms", Refusal.ExpectedWait}});
    finish(Ran ? RejectReason::OutcomeUnknown : RejectReason::NoCapacity,
           Refusal.RetryAfter, Now);
  }

  void onLegResult(FlowIo::LegId Leg, LegResult Answer,
                   TimePoint Now) override {
    if (Current == Phase::Done || Leg != Active)
      return;
    Active.reset();
    recordHealth(Answer, Now);
    if (Answer.Outcome == LegOutcome::NotSent)
      onNotSent(Now);
    else if (Answer.Outcome != LegOutcome::Answered)
      Budget.notAccepted(Now);
    if (Current == Phase::Prefilling)
      return onPrefillAnswer(Answer, Now);
    onDecodeAnswer(Answer, Now);
  }

  void onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                    TimePoint Now) override {
    if (Leg != Active || Current != Phase::Starting)
      return;
    Ran = true;
    Cache.fetched();
    LastProgress = Now;
    Current = Phase::Streaming;
    if (Started)
      return;
    Started = true;
    StartedAt = Now;
    Io.beginStream(Head);
  }

  void onStreamData(FlowIo::LegId Leg, std::string_view Data,
                    TimePoint Now) override {
    if (Leg != Active || Current != Phase::Streaming)
      return;
    const std::string Ready = Progress.feed(Data);
    if (Progress.eventTooLong())
      return onSpoiled(Now);
    if (Ready.empty())
      return;
    LastProgress = Now;
    Shared.Admission.outputGrew(Request.SessionId,
                                Progress.events() * Request.EventTokens);
    Io.forward(Ready);
  }

  void onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now) override {
    if (Leg != Active || Current != Phase::Streaming)
      return;
    Active.reset();
    const bool Whole = Complete && Progress.atEventEnd();
    Shared.EngineSignals.record(
        DecodeEndpoint, Whole ? HealthSignal::Success : HealthSignal::Broken,
        Now);
    if (Whole) {
      Shared.Lengths.record(Progress.events() * Request.EventTokens,
                            Now - StartedAt);
      Io.finishStream();
      return end(Now);
    }
    continueElsewhere("broken", Now);
  }

  void onTimer(TimePoint Now) override {
    if (Current == Phase::Done)
      return;
    if (Now >= lastMoment())
      return timeIsOver(Now);
    if (!Active || Now < patienceEnd())
      return;
    const bool OtherCan = Current == Phase::Prefilling
                              ? Shared.Retries.available(Request.Service, Now)
                              : canContinue(Now);
    if (!OtherCan) {
      PatienceUntil = Now + PatienceExtension;
      return;
    }
    Io.logDecision("impatient", {{"phase", enumName(PhaseNames, Current)},
                                 {"endpoint", currentEndpoint()}});
    Shared.EngineSignals.record(currentEndpoint(), HealthSignal::Unresponsive,
                                Now);
    stopLeg();
    Budget.notAccepted(Now);
    if (Current == Phase::Prefilling)
      return prefillElsewhere(Now);
    continueElsewhere("silent", Now);
  }

  void onCallerDisconnected(TimePoint Now) override {
    if (Current == Phase::Done)
      return;
    Shared.Admission.cancel(Request.SessionId);
    Ran = Ran || Current == Phase::Starting;
    stopLeg();
    end(Now);
  }

  TimePoint nextDeadline() const override {
    return Active ? std::min(lastMoment(), patienceEnd()) : lastMoment();
  }

  bool done() const override { return Current == Phase::Done; }
  bool mayHaveRun() const override { return Ran; }

private:
  bool mayRepeat() const { return Request.Route.Resumable; }

  TimePoint lastMoment() const { return Request.AnswerBy - AnswerMargin; }

  LegRequest leg(LegKind Kind, const Endpoint &E, TimePoint Now) const {
    LegRequest Out;
    Out.Kind = Kind;
    Out.EndpointId = E.Record.Id;
    Out.Address = E.Record.Address;
    Out.Deadline =
        std::chrono::duration_cast<milliseconds>(Request.AnswerBy - Now);
    return Out;
  }

  /// Asks for engines. What the request held before is given back.
  void submit(StreamNeed Need) {
    Current = Phase::Waiting;
    Need.Zone = Shared.Zone;
    for (const std::string &Failed : {FailedDecode, FailedPrefill})
      if (!Failed.empty())
        Need.Avoid.push_back(Failed);
    AskedWithCache = Need.HasCache;
    Shared.Admission.submit(std::move(Need));
  }

  void sendPrefill(const StreamPlace &Place, TimePoint Now) {
    Endpoint *E = Shared.Table.find(Place.Prefill);
    if (!E || !Budget.tryBegin(LegKind::Prefill, Now)) {
      Shared.Admission.prefillEnded(Request.SessionId, Now);
      return sendDecode(Now);
    }
    Current = Phase::Prefilling;
    PrefillEndpoint = Place.Prefill;
    LastProgress = Now;
    PrefillBy = Now + PrefillPatience +
                milliseconds(PrefillPatienceFactor * Place.PrefillBacklog /
                             PrefillTokensPerMs);
    LegRequest Leg = leg(LegKind::Prefill, *E, Now);
    Leg.IsRetry = PrefillSends++ > 0;
    Active = Io.startLeg(Leg);
  }

  void onPrefillAnswer(const LegResult &Answer, TimePoint Now) {
    if (Answer.Outcome == LegOutcome::Answered && !Answer.Handle.empty()) {
      if (const Endpoint *E = Shared.Table.find(PrefillEndpoint))
        Cache.hold({E->Record.Address, Answer.Handle}, Now);
      Shared.Admission.prefillEnded(Request.SessionId, Now);
      return sendDecode(Now);
    }
    prefillElsewhere(Now);
  }

  /// The prompt could not be read at one engine: another one, or the decode
  /// engine itself.
  void prefillElsewhere(TimePoint Now) {
    FailedPrefill = PrefillEndpoint;
    if (PrefillSends < MaxPrefillSends)
      return readPromptAgain(Now);
    Shared.Admission.prefillEnded(Request.SessionId, Now);
    sendDecode(Now);
  }

  void sendDecode(TimePoint Now) {
    if (!Io.stillAllowed())
      return finish(RejectReason::NoKey, {}, Now);
    Endpoint *E = Shared.Table.find(DecodeEndpoint);
    if (!E || !Shared.Table.mayReceive(*E, Now))
      return decodeElsewhere(Now);
    if (!Budget.tryBegin(LegKind::Decode, Now))
      return giveUp(Now);
    Current = Phase::Starting;
    Progress.restart();
    LastProgress = Now;
    LegRequest Leg = leg(LegKind::Decode, *E, Now);
    Leg.Source = Cache.usable(Now);
    Leg.ResumeAfter = Progress.lastEventId();
    Leg.IsRetry = DecodeSends++ > 0;
    Active = Io.startLeg(Leg);
  }

  /// Back to the queue, before those who have not been placed yet.
  void placeAgain(bool WithCache, std::string_view Why, TimePoint Now) {
    if (DecodeSends >= MaxDecodeSends || ++Requeues > MaxRequeues)
      return giveUp(Now);
    Io.logDecision("requeue", {{"reason", Why}, {"has_cache", WithCache}});
    releasePlace(Now);
    StreamNeed N = streamNeed(Request, Shared.Lengths, Request.Arrival);
    N.Returning = true;
    N.HasCache = WithCache;
    if (Started)
      N.GiveUpAt = std::min(LastProgress + CallerPatience, lastMoment());
    submit(std::move(N));
  }

  void onDecodeAnswer(const LegResult &Answer, TimePoint Now) {
    switch (Answer.Outcome) {
    case LegOutcome::NotSent:
      if (DecodeSends >= MaxDecodeSends)
        return giveUp(Now);
      return decodeElsewhere(Now);
    case LegOutcome::NotRun:
      return onDecodeRefused(Answer, Now);
    case LegOutcome::Answered:
      Ran = true;
      if (mayRepeat() && Answer.Response.Status >= 500)
        return continueElsewhere("failed", Now);
      if (Started)
        return breakOff(Now);
      Io.respond(Answer.Response);
      return end(Now);
    case LegOutcome::Broken:
    case LegOutcome::TimedOut:
      Ran = true;
      return continueElsewhere(legOutcomeName(Answer.Outcome), Now);
    }
  }

  /// Not run: another endpoint has the address, the engine is full, or the KV
  /// cache is gone. The answers are the same, so a cache that should still live
  /// is first offered to another engine; if that refuses too, it is lost.
  void onDecodeRefused(const LegResult &Answer, TimePoint Now) {
    if (DecodeSends >= MaxDecodeSends)
      return giveUp(Now);
    if (!Cache.held() || Answer.WrongEndpoint)
      return decodeElsewhere(Now);
    if (Cache.refused() < CacheRefusals && Cache.usable(Now))
      return decodeElsewhere(Now);
    Shared.EngineSignals.record(PrefillEndpoint, HealthSignal::CacheLost, Now);
    FailedPrefill = PrefillEndpoint;
    readPromptAgain(Now);
  }

  void onNotSent(TimePoint Now) {
    Budget.notSent(Now);
    if (++Unsent < MaxUnsent)
      --(Current == Phase::Prefilling ? PrefillSends : DecodeSends);
  }

  /// No further send is possible.
  void giveUp(TimePoint Now) {
    finish(Ran ? RejectReason::OutcomeUnknown : RejectReason::NotRun,
           RefusedReturn, Now);
  }

  /// Keeps the KV cache if there is one and it still lives.
  void decodeElsewhere(TimePoint Now) {
    FailedDecode = DecodeEndpoint;
    if (!Cache.usable(Now))
      return readPromptAgain(Now);
    placeAgain(true, "decode_elsewhere", Now);
  }

  /// A prefill engine reads the prompt twice as fast as a decode engine, and
  /// without holding up other generations.
  void readPromptAgain(TimePoint Now) {
    dropCache();
    placeAgain(false, "read_prompt", Now);
  }

  /// The run ended without its last event. Only a stream that may be resumed
  /// goes on, after the last event the caller has.
  void continueElsewhere(std::string_view Why, TimePoint Now) {
    ++Runs;
    const bool Allowed = mayRepeat() && Runs < Request.Route.MaxAttempts &&
                         DecodeSends < MaxDecodeSends;
    Io.logDecision("continue",
                   {{"why", Why},
                    {"allowed", Allowed},
                    {"last_event", Progress.lastEventId().value_or(0)},
                    {"runs", Runs}});
    if (!Allowed)
      return finish(RejectReason::OutcomeUnknown, {}, Now);
    FailedDecode = DecodeEndpoint;
    readPromptAgain(Now);
  }

  /// The engine sends what is no stream of events.
  void onSpoiled(TimePoint Now) {
    Shared.EngineSignals.record(DecodeEndpoint, HealthSignal::Broken, Now);
    stopLeg();
    continueElsewhere("event_too_long", Now);
  }

  void recordHealth(const LegResult &Answer, TimePoint Now) {
    Shared.EngineSignals.record(
        currentEndpoint(), healthSignalOf(Answer, HealthSignal::Unresponsive),
        Now);
  }

  const std::string &currentEndpoint() const {
    return Current == Phase::Prefilling ? PrefillEndpoint : DecodeEndpoint;
  }

  /// A silent engine may still answer, so its run is ended only if another one
  /// can go on with it.
  bool canContinue(TimePoint Now) {
    return Runs + 1 < Request.Route.MaxAttempts &&
           DecodeSends < MaxDecodeSends &&
           Shared.Retries.available(Request.Service, Now) &&
           Shared.Admission.hasRoom(
               Request.Service,
               streamNeed(Request, Shared.Lengths, Now).PromptTokens,
               DecodeEndpoint, Now);
  }

  TimePoint patienceEnd() const {
    return std::max(PatienceUntil, phasePatienceEnd());
  }

  TimePoint phasePatienceEnd() const {
    switch (Current) {
    case Phase::Prefilling:
      return PrefillBy;
    case Phase::Starting:
      return mayRepeat() ? LastProgress + FirstEventPatience : TimePoint::max();
    case Phase::Streaming:
      return mayRepeat()
                 ? LastProgress + (Progress.gotNewEvent() ? EventPatience
                                                          : FirstEventPatience)
                 : TimePoint::max();
    case Phase::Waiting:
    case Phase::Done:
      break;
    }
    return TimePoint::max();
  }

  void timeIsOver(TimePoint Now) {
    const bool Unsure = Ran || Current == Phase::Starting;
    stopLeg();
    Shared.Admission.cancel(Request.SessionId);
    finish(Unsure ? RejectReason::TimedOut : RejectReason::NotRunInTime, {},
           Now);
  }

  void stopLeg() {
    if (Active)
      Io.cancelLeg(*Active);
    Active.reset();
  }

  void dropCache() {
    if (const auto Source = Cache.giveUp())
      Io.dropHandle(*Source);
  }

  void releasePlace(TimePoint Now) {
    if (HasPlace)
      Shared.Admission.release(Request.SessionId, Now);
    HasPlace = false;
  }

  void end(TimePoint Now) {
    dropCache();
    releasePlace(Now);
    Current = Phase::Done;
  }

  void breakOff(TimePoint Now) {
    end(Now);
    Io.abort();
  }

  /// Ends without a whole answer. A stream that the caller has begun to read
  /// can only be broken off.
  void finish(RejectReason Reason, milliseconds RetryAfter, TimePoint Now) {
    if (Started)
      return breakOff(Now);
    end(Now);
    Io.reject(Reason, RetryAfter);
  }

  SharedFlowState Shared;
  FlowRequest Request;
  FlowIo &Io;
  Phase Current = Phase::Waiting;
  std::optional<FlowIo::LegId> Active;
  std::string PrefillEndpoint;
  std::string DecodeEndpoint;
  std::string FailedDecode; ///< failed last, not to be tried next
  std::string FailedPrefill;
  bool HasPlace = false;
  bool AskedWithCache = false; ///< the place asked for has no prefill engine
  HeldCache Cache;
  LegBudget Budget;
  StreamProgress Progress;
  TimePoint LastProgress{};
  TimePoint PatienceUntil{}; ///< a silent engine is given until then
  TimePoint PrefillBy{};     ///< a prefill without an answer by then hangs
  unsigned PrefillSends = 0;
  unsigned DecodeSends = 0;
  unsigned Unsent = 0;   ///< sends that reached no engine
  unsigned Requeues = 0; ///< times that it asked for engines again
  unsigned Runs = 0;     ///< engines that ran it, or may have, and stopped
  bool Started = false;  ///< the caller has the head of the answer
  TimePoint StartedAt{};
  bool Ran = false;
};

} // namespace

std::unique_ptr<Flow> makeStreamFlow(SharedFlowState Shared,
                                     FlowRequest Request, FlowIo &Io) {
  return std::make_unique<StreamFlow>(std::move(Shared), std::move(Request),
                                      Io);
}

} // namespace hyssoprail::routing
