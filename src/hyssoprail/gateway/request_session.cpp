#include "hyssoprail/gateway/request_session.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace hyssoprail::gateway {
namespace {

using routing::LegKind;
using routing::LegOutcome;
using routing::LegResult;

/// Largest responses. They are buffered in memory until they are complete; the
/// response to a prefill only names a KV cache.
constexpr std::size_t MaxResponseBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t MaxPrefillResponseBytes = std::size_t{64} * 1024;

constexpr milliseconds CallConnectTimeout{150};
constexpr milliseconds EngineConnectTimeout{250};
constexpr milliseconds DropHandleTimeout{1'000};

/// How long an endpoint may take to answer after its request was given up, if
/// what it states is to count.
constexpr milliseconds StatementWait{1'500};

constexpr unsigned StatusInternalError = 500;
constexpr unsigned StatusOutcomeUnknown = 502;
constexpr std::string_view FailureReason = "internal_error";

} // namespace

void RequestSession::Leg::cancel() const {
  if (Exchange)
    Exchange->cancel();
  if (Check)
    Check->cancel();
  if (Recheck)
    Recheck->cancel();
}

RequestSession::RequestSession(SessionServices Services, SessionHooks Hooks,
                               std::shared_ptr<HttpExchange> Caller,
                               routing::FlowRequest Request)
    : Services(Services), Hooks(std::move(Hooks)), Caller(std::move(Caller)),
      Request(std::move(Request)), Timer(Services.Context) {}

RequestSession::~RequestSession() {
  while (!Legs.empty())
    removeLeg(Legs.begin());
}

void RequestSession::start(const FlowFactory &MakeFlow) {
  run(Boundary::Request, [&] {
    ActiveFlow = MakeFlow(Request, *this);
    Caller->onDisconnect([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->run(Boundary::Caller, [&] { Self->onCallerLeft(); });
    });
    if (Ended)
      return;
    ActiveFlow->start(Services.Time.now());
    afterEvent();
  });
}

void RequestSession::onCallerLeft() {
  Result.Outcome = "left";
  ActiveFlow->onCallerDisconnected(Services.Time.now());
  afterEvent();
}

void RequestSession::endBy(TimePoint Deadline) {
  run(Boundary::Signal, [&] {
    ActiveFlow->endBy(Deadline);
    armTimer();
  });
}

/// Releases what the request holds and answers its caller, unless the caller
/// already has an answer. The flow may have ended: then only the answer failed.
void RequestSession::fail(Boundary At) {
  if (Ended)
    return;
  Failed = true;
  const auto Step = [&](void (RequestSession::*Work)()) {
    Services.Guard.run(At, Request.Info.Id, [&] { (this->*Work)(); });
  };
  if (ActiveFlow && !ActiveFlow->done())
    Services.Guard.run(At, Request.Info.Id, [&] {
      ActiveFlow->onCallerDisconnected(Services.Time.now());
    });
  Step(&RequestSession::cancelAllLegs);
  if (!Answered)
    Step(&RequestSession::answerFailure);
  Step(&RequestSession::finish);
}

void RequestSession::cancelAllLegs() {
  while (!Legs.empty()) {
    const Leg L = removeLeg(Legs.begin());
    L.cancel();
  }
}

/// Tells the caller that the request failed here: before it was sent to an
/// endpoint, or when it may have run.
void RequestSession::answerFailure() {
  Answered = true;
  Result.Reason = FailureReason;
  if (StreamHead) {
    Result.Outcome = "broken_off";
    return Caller->abort();
  }
  Result.Outcome = "failed";
  Result.Status = Sent ? StatusOutcomeUnknown : StatusInternalError;
  HttpResponse Response{Result.Status, {}, ""};
  Services.Guard.run(Boundary::Answer, Request.Info.Id, [&] {
    Response = Services.Protocol.failure(Result.Status, Request.Info.Id);
  });
  Caller->respond(std::move(Response));
}

routing::FlowIo::LegId
RequestSession::startLeg(const routing::LegRequest &Spec) {
  const LegId Id = NextLeg++;
  if (endsBeforeSend(Id))
    return Id;
  // The flow releases the endpoint's capacity with the leg, so an exception
  // must not leave from here. The request fails when the flow returns.
  if (!Services.Guard.run(Boundary::Request, Request.Info.Id,
                          [&] { sendLeg(Id, Spec); }))
    LegFailed = true;
  return Id;
}

/// A request whose caller has left, or whose deadline has passed, is not sent,
/// also if this entry has not come to handle that yet. It ends in an event of
/// its own, as the flow is in the call that sends.
bool RequestSession::endsBeforeSend(LegId Id) {
  const bool TooLate = Services.Time.now() >= Request.AnswerBy;
  if (!TooLate && Caller->clientConnected())
    return false;
  Legs[Id].StartedAt = Services.Time.now();
  boost::asio::post(Services.Context, [Weak = weak_from_this(), TooLate] {
    if (const auto Self = Weak.lock())
      Self->run(Boundary::Timer,
                [&] { TooLate ? Self->onTimer() : Self->onCallerLeft(); });
  });
  return true;
}

template <typename Argument, typename Value>
std::function<void(Value)> RequestSession::deliverLater(
    void (routing::Flow::*Handler)(Argument, TimePoint)) {
  return [Weak = weak_from_this(), Handler](const Value &Found) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    boost::asio::post(Self->Services.Context, [Self, Handler, Found] {
      Self->run(Boundary::Store, [&] {
        (Self->ActiveFlow.get()->*Handler)(Found, Self->Services.Time.now());
        Self->afterEvent();
      });
    });
  };
}

void RequestSession::recordVersion(const std::string &Version,
                                   routing::RecordNeed Need) {
  Hooks.RecordVersion(
      Version, Need,
      deliverLater<bool, bool>(&routing::Flow::onVersionRecorded));
}

void RequestSession::streamBegan(const std::string &Version) {
  Hooks.OnStreamBegan(Version);
}

void RequestSession::findVersion() {
  using Found = std::optional<std::string>;
  Hooks.FindVersion(
      deliverLater<const Found &, Found>(&routing::Flow::onVersionFound));
}

void RequestSession::sendLeg(LegId Id, const routing::LegRequest &Spec) {
  Leg &L = Legs[Id];
  L.Kind = Spec.Kind;
  L.Buffered = MemoryReservation(Services.Memory);
  L.EndpointId = Spec.EndpointId;
  L.EndpointAddress = Spec.Address;
  L.EndpointStartedAtMs = Spec.StartedAtMs;
  L.StartedAt = Services.Time.now();
  UpstreamCall Call;
  Call.Authority = Spec.Address;
  Call.Incarnation = Spec.EndpointId;
  Call.RequestId = Request.Info.Id;
  Call.Request =
      Services.Protocol.encode(Caller->request(), Spec, Request.Account);
  // Shares the body with the caller's exchange and the other legs.
  Call.Body =
      std::shared_ptr<const std::string>(Caller, &Caller->request().Body);
  Call.ConnectTimeout =
      Spec.Kind == LegKind::Call ? CallConnectTimeout : EngineConnectTimeout;
  Call.HeadTimeout = Spec.Deadline;
  logDecision("send", {{"kind", legKindName(Spec.Kind)},
                       {"endpoint", Spec.EndpointId},
                       {"address", Spec.Address},
                       {"version", Spec.Version},
                       {"deadline_ms", Spec.Deadline},
                       {"has_cache", Spec.Source.has_value()},
                       {"repeat", Spec.IsRetry}});
  Hooks.OnLegStart(Spec.EndpointId);
  Sent = true;
  L.Exchange = Services.Endpoints.send(std::move(Call), legHandlers(Id));
}

UpstreamHandlers RequestSession::legHandlers(LegId Id) {
  UpstreamHandlers H;
  const auto Self = shared_from_this();
  H.MatchesRequest = [Self](const HttpResponse &Head) {
    bool Matches = false;
    Self->run(Boundary::Answer, [&] {
      Matches =
          Self->Services.Protocol.isResponseTo(Head, Self->Request.Info.Id);
    });
    return Matches;
  };
  H.NamesRequest = [Self](const HttpResponse &Head) {
    return Self->Services.Protocol.namesRequest(Head);
  };
  H.OnHead = [Self, Id](HttpResponse Head) {
    Self->run(Boundary::Answer, [&] { Self->onLegHead(Id, std::move(Head)); });
  };
  H.OnData = [Self, Id](std::string_view Data) {
    Self->run(Boundary::Answer, [&] { Self->onLegData(Id, Data); });
  };
  H.OnEnd = [Self, Id](UpstreamEnd End, const std::string &Detail) {
    Self->run(Boundary::Answer, [&] { Self->onLegEnd(Id, End, Detail); });
  };
  return H;
}

void RequestSession::onLegHead(LegId Id, HttpResponse Head) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  Leg &L = It->second;
  L.HasHead = true;
  L.Limit = Services.Protocol.limitStatement(L.Kind, Head);
  if (L.Limit)
    Hooks.OnLimitStatement(L.EndpointId, *L.Limit);
  const AvailabilityStatement Stated =
      Services.Protocol.availabilityStatement(Head);
  if (!Stated.empty())
    Hooks.OnAvailabilityStatement(L.EndpointId, L.EndpointStartedAtMs, Stated);
  L.Streaming = isPartOfStream(L.Kind, Head);
  if (!L.Streaming) {
    L.Response = std::move(Head);
    return;
  }
  ActiveFlow->onStreamHead(Id, Head, Services.Time.now());
  afterEvent();
}

/// True if what follows \p Head may be passed on to the caller as it arrives.
bool RequestSession::isPartOfStream(LegKind Kind,
                                    const HttpResponse &Head) const {
  const EndpointProtocol &Protocol = Services.Protocol;
  return Kind == LegKind::Decode && Protocol.beginsStream(Head) &&
         (!StreamHead || Protocol.continuesStream(Head, *StreamHead));
}

void RequestSession::onLegData(LegId Id, std::string_view Data) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  if (It->second.Streaming) {
    ActiveFlow->onStreamData(Id, Data, Services.Time.now());
    return afterEvent();
  }
  if (bufferResponse(It->second, Data))
    return;
  It->second.Exchange->cancel();
  onLegEnd(Id, UpstreamEnd::Broken, "response exceeds the buffer limit");
}

/// Appends to the buffered response. Returns false if the response becomes too
/// large or the memory for callers is full.
bool RequestSession::bufferResponse(Leg &L, std::string_view Data) {
  const std::size_t Limit =
      L.Kind == LegKind::Prefill ? MaxPrefillResponseBytes : MaxResponseBytes;
  if (L.Response.Body.size() + Data.size() > Limit ||
      !L.Buffered.grow(Data.size()))
    return false;
  L.Response.Body.append(Data);
  return true;
}

RequestSession::Leg
RequestSession::removeLeg(std::map<LegId, Leg>::iterator It) {
  Leg L = std::move(It->second);
  Legs.erase(It);
  return L;
}

void RequestSession::onLegEnd(LegId Id, UpstreamEnd End,
                              const std::string &Detail) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  if (End != UpstreamEnd::Closed)
    return endLeg(Id, End, Detail);
  if (needsCheck(It->second))
    return checkEnd(Id, It->second, Detail);
  endLeg(Id, UpstreamEnd::Complete, Detail);
}

void RequestSession::endLeg(LegId Id, UpstreamEnd End,
                            const std::string &Detail) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  Leg L = removeLeg(It);
  if (L.Streaming) {
    const bool Complete = End == UpstreamEnd::Complete;
    logLegEnd(L, Complete ? "complete" : "broken", 200, Detail);
    ActiveFlow->onStreamEnd(Id, Complete, Services.Time.now());
    return afterEvent();
  }
  LegResult R = makeLegResult(L, End, Detail);
  logLegEnd(L, legOutcomeName(R.Outcome), R.Response.Status, R.Detail);
  ActiveFlow->onLegResult(Id, std::move(R), Services.Time.now());
  afterEvent();
}

LegResult RequestSession::makeLegResult(Leg &L, UpstreamEnd End,
                                        const std::string &Detail) const {
  LegResult Out;
  Out.Detail = Detail;
  Out.Response.Status = 0;
  Out.AnswerBegan = L.HasHead;
  switch (End) {
  case UpstreamEnd::Complete:
    Out = Services.Protocol.interpret(L.Kind, std::move(L.Response));
    if (Out.Detail.empty())
      Out.Detail = Detail;
    Out.ConnectedAt = L.Exchange->connectedAt();
    return Out;
  case UpstreamEnd::NotSent:
    Out.Outcome = LegOutcome::NotSent;
    return Out;
  case UpstreamEnd::TimedOut:
    Out.Outcome = LegOutcome::TimedOut;
    return Out;
  case UpstreamEnd::Closed: // becomes complete or broken before
  case UpstreamEnd::Broken:
    break;
  }
  Out.Outcome = LegOutcome::Broken;
  return Out;
}

void RequestSession::logLegEnd(const Leg &L, std::string_view Outcome,
                               unsigned Status, std::string_view Detail) {
  const bool Good =
      Outcome == "complete" || (Outcome == "answered" && Status < 500);
  Services.Log.write(
      Good ? LogCategory::Routine : LogCategory::Outcome, "send_ended",
      Request.Info.Id,
      {{"kind", legKindName(L.Kind)},
       {"endpoint", L.EndpointId},
       {"outcome", Outcome},
       {"status", Status},
       {"detail", Detail},
       {"end_check", L.Checked ? endpointCheckResultName(*L.Checked) : ""},
       {"limit_per_s", L.Limit ? L.Limit->PerSecond.value_or(0) : 0},
       {"took_ms", Services.Time.now() - L.StartedAt}});
}

void RequestSession::cancelLeg(LegId Id) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  const Leg L = removeLeg(It);
  if (L.Exchange && !L.HasHead && Caller->clientConnected())
    L.Exchange->abandon(StatementWait, statementHandlers(L));
  else
    L.cancel();
  logLegEnd(L, "cancelled", 0, "");
}

/// Handlers that read from the response to a leg that was given up what it
/// states of the endpoint. They may outlive the session.
UpstreamHandlers RequestSession::statementHandlers(const Leg &L) const {
  const EndpointProtocol &Protocol = Services.Protocol;
  UpstreamHandlers H;
  H.MatchesRequest = [&Protocol, Id = Request.Info.Id](const HttpResponse &R) {
    return Protocol.isResponseTo(R, Id);
  };
  H.NamesRequest = [&Protocol](const HttpResponse &R) {
    return Protocol.namesRequest(R);
  };
  H.OnHead = [&Protocol, &Guard = Services.Guard, Id = Request.Info.Id,
              OnStatement = Hooks.OnAvailabilityStatement,
              Endpoint = L.EndpointId,
              StartedAtMs = L.EndpointStartedAtMs](const HttpResponse &Head) {
    Guard.run(Boundary::Answer, Id, [&] {
      const AvailabilityStatement Stated = Protocol.availabilityStatement(Head);
      if (!Stated.empty())
        OnStatement(Endpoint, StartedAtMs, Stated);
    });
  };
  return H;
}

std::optional<TimePoint> RequestSession::connectedAt(LegId Leg) const {
  const auto It = Legs.find(Leg);
  return It != Legs.end() && It->second.Exchange
             ? It->second.Exchange->connectedAt()
             : std::nullopt;
}

void RequestSession::dropHandle(const routing::KvSource &Source) {
  UpstreamCall Call;
  Call.Authority = Source.Address;
  Call.Request = Services.Protocol.dropHandleRequest(Source);
  Call.HeadTimeout = DropHandleTimeout;
  Services.Endpoints.send(std::move(Call), {});
}

void RequestSession::respond(const HttpResponse &Response) {
  Result.Outcome = "answered";
  Result.Status = Response.Status;
  Caller->respond(Response);
  Answered = true;
}

void RequestSession::reject(routing::RejectReason Reason,
                            milliseconds RetryAfter) {
  HttpResponse Response =
      Services.Protocol.rejection(Reason, RetryAfter, Request.Info.Id);
  Result.Outcome = "rejected";
  Result.Reason = rejectReasonName(Reason);
  Result.Status = Response.Status;
  Services.Log.write(LogCategory::Outcome, "reject", Request.Info.Id,
                     {{"reason", Result.Reason},
                      {"status", Response.Status},
                      {"retry_after_ms", RetryAfter},
                      {"age_ms", Services.Time.now() - Request.Arrival},
                      {"account", Request.Account},
                      {"route", Request.Route.Name}});
  Caller->respond(std::move(Response));
  Answered = true;
}

void RequestSession::beginStream(const HttpResponse &Head) {
  Result.FirstEventDelay = Services.Time.now() - Request.Arrival;
  Result.Status = Head.Status;
  StreamHead = Head;
  Caller->begin(Head.Status, Head.Headers);
}

void RequestSession::forward(std::string_view Events) {
  Caller->write(std::string(Events));
}

void RequestSession::finishStream() {
  Result.Outcome = "answered";
  Caller->finish();
  Answered = true;
}

void RequestSession::abort(routing::RejectReason Reason) {
  Result.Outcome = "broken_off";
  Result.Reason = rejectReasonName(Reason);
  Services.Log.write(LogCategory::Outcome, "break_off", Request.Info.Id,
                     {{"reason", Result.Reason},
                      {"age_ms", Services.Time.now() - Request.Arrival}});
  Caller->abort();
  Answered = true;
}

void RequestSession::logDecision(std::string_view What, LogFields Fields) {
  Services.Log.write(LogCategory::Routine, What, Request.Info.Id, Fields);
}

void RequestSession::afterEvent() {
  if (Ended || LegFailed)
    return;
  if (ActiveFlow->done())
    return finish();
  armTimer();
  Hooks.AdmissionChanged();
}

/// Sets the timer only if it would fire too late. Most deadlines are moved to a
/// later time before they are reached, so it need not be set after each event.
void RequestSession::armTimer() {
  const TimePoint Next = ActiveFlow->nextDeadline();
  if (Next >= TimerExpiry)
    return;
  TimerExpiry = Next;
  Timer.expires_at(Next);
  Timer.async_wait([Weak = weak_from_this()](boost::system::error_code Code) {
    if (const auto Self = Weak.lock(); Self && !Code)
      Self->run(Boundary::Timer, [&] { Self->onTimer(); });
  });
}

void RequestSession::onTimer() {
  TimerExpiry = TimePoint::max();
  ActiveFlow->onTimer(Services.Time.now());
  afterEvent();
}

void RequestSession::finish() {
  Ended = true;
  Timer.cancel();
  Result.TotalTime = Services.Time.now() - Request.Arrival;
  Result.MayHaveRun = Failed ? Sent : ActiveFlow->mayHaveRun();
  const auto Self = shared_from_this();
  Hooks.OnEnd(Result);
  Hooks.AdmissionChanged();
}

} // namespace hyssoprail::gateway
