#ifndef HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP
#define HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/core/memory_account.hpp"
#include "hyssoprail/gateway/endpoint_check.hpp"
#include "hyssoprail/gateway/endpoint_protocol.hpp"
#include "hyssoprail/gateway/handler_guard.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::gateway {

/// How a request ended, for logs and metrics.
struct SessionResult {
  /// "answered", "rejected", "failed", "broken_off" or "left"
  std::string_view Outcome;
  std::string_view Reason;    ///< of a rejection, or why it was broken off
  unsigned Status = 0;        ///< HTTP status of the response; 0: none was sent
  Duration FirstEventDelay{}; ///< of a stream, from arrival
  Duration TotalTime{};
  bool MayHaveRun = false;
};

/// References that every session needs.
struct SessionServices {
  boost::asio::io_context &Context;
  const Clock &Time;
  UpstreamClient &Endpoints;
  const EndpointProtocol &Protocol;
  DecisionLog &Log;
  std::shared_ptr<MemoryAccount> Memory;
  HandlerGuard &Guard;
};

/// Functions of the gateway that a session calls.
struct SessionHooks {
  std::function<bool()> StillAllowed;
  /// The session may have submitted or withdrawn a request for engines, or
  /// released some.
  std::function<void()> AdmissionChanged;
  /// A leg to the endpoint begins.
  std::function<void(const std::string &EndpointId)> OnLegStart;
  /// A response of the endpoint states its limit, or that it has none.
  std::function<void(const std::string &EndpointId,
                     const LimitStatement &Statement)>
      OnLimitStatement;
  /// A response of the incarnation of the endpoint that started at \p
  /// StartedAtMs states which work it takes.
  std::function<void(const std::string &EndpointId, std::int64_t StartedAtMs,
                     const AvailabilityStatement &Statement)>
      OnAvailabilityStatement;
  /// Records the version at which the stream is to begin.
  std::function<void(const std::string &Version, routing::RecordNeed Need,
                     std::function<void(bool Written)> OnDone)>
      RecordVersion;
  /// The caller gets the first event of the stream.
  std::function<void(const std::string &Version)> OnStreamBegan;
  /// Looks up the version at which the resumed stream began; nullopt if that
  /// cannot be found out.
  std::function<void(
      std::function<void(const std::optional<std::string> &Version)> OnDone)>
      FindVersion;
  /// When the endpoint with this id has started, as it is registered now;
  /// nullopt if it is not registered.
  std::function<std::optional<std::int64_t>(const std::string &EndpointId)>
      RegisteredStart;
  /// Up to when all registrations in the store are known.
  std::function<TimePoint()> RegistrationsKnownUntil;
  /// The request has ended; called once, after all other work of the session.
  std::function<void(const SessionResult &)> OnEnd;
};

/// One request of a caller: connects the flow that decides on it with the
/// caller's connection and the endpoints. An exception in one of its steps ends
/// this request only, with an answer to its caller. Used on the event loop
/// thread only.
class RequestSession : public routing::FlowIo,
                       public std::enable_shared_from_this<RequestSession> {
public:
  RequestSession(SessionServices Services, SessionHooks Hooks,
                 std::shared_ptr<HttpExchange> Caller,
                 routing::FlowRequest Request);
  ~RequestSession() override;

  /// Starts the flow that \p MakeFlow makes.
  using FlowFactory = std::function<std::unique_ptr<routing::Flow>(
      routing::FlowRequest, routing::FlowIo &)>;
  void start(const FlowFactory &MakeFlow);

  void onDecision(const routing::StreamPlacement &D) {
    deliver(&routing::Flow::onPlaced, D);
  }
  void onDecision(const routing::StreamRefusal &D) {
    deliver(&routing::Flow::onRefused, D);
  }
  void onDecision(const routing::CallGrant &D) {
    deliver(&routing::Flow::onCallGranted, D);
  }
  void onDecision(const routing::CallDenial &D) {
    deliver(&routing::Flow::onCallDenied, D);
  }

  void onDecision(const routing::CallRelease &D) {
    deliver(&routing::Flow::onCallReleased, D);
  }
  void onDecision(const routing::CallRefusal &D) {
    deliver(&routing::Flow::onCallRefused, D);
  }

  /// The process ends at \p Deadline.
  void endBy(TimePoint Deadline);

  const routing::FlowRequest &request() const { return Request; }

  // FlowIo
  LegId startLeg(const routing::LegRequest &Leg) override;
  std::optional<TimePoint> connectedAt(LegId Leg) const override;
  void cancelLeg(LegId Leg) override;
  void dropHandle(const routing::KvSource &Source) override;
  void respond(const HttpResponse &Response) override;
  void reject(routing::RejectReason Reason, milliseconds RetryAfter) override;
  void beginStream(const HttpResponse &Head) override;
  void forward(std::string_view Events) override;
  void finishStream() override;
  void abort(routing::RejectReason Reason) override;
  void recordVersion(const std::string &Version,
                     routing::RecordNeed Need) override;
  void streamBegan(const std::string &Version) override;
  void findVersion() override;
  bool stillAllowed() override { return Hooks.StillAllowed(); }
  void logDecision(std::string_view What, LogFields Fields) override;

private:
  struct Leg {
    routing::LegKind Kind = routing::LegKind::Call;
    std::string EndpointId;
    std::string EndpointAddress;
    std::int64_t EndpointStartedAtMs = 0;
    TimePoint StartedAt{};
    std::shared_ptr<UpstreamExchange> Exchange;
    /// Asks whether the endpoint lives, after a response without framing.
    std::shared_ptr<EndpointCheck> Check;
    std::optional<TimePoint> CheckAnsweredAt;
    /// Judges the check again when the registrations may be known.
    std::shared_ptr<boost::asio::steady_timer> Recheck;
    std::optional<EndpointCheckResult> Checked;
    HttpResponse Response;
    MemoryReservation Buffered; ///< for Response
    bool HasHead = false;       ///< the head of the response has arrived
    bool Streaming = false;
    std::optional<LimitStatement> Limit; ///< what the response states

    void cancel() const;
  };

  template <typename Decision>
  void deliver(void (routing::Flow::*Handler)(const Decision &, TimePoint),
               const Decision &D) {
    run(Boundary::Decision, [&] {
      (ActiveFlow.get()->*Handler)(D, Services.Time.now());
      afterEvent();
    });
  }

  /// Does one step of the request. If it throws, the request fails.
  template <typename Step> void run(Boundary At, Step &&Work) {
    if (Ended)
      return;
    const auto Self = shared_from_this(); // the step may end the session
    if (!Services.Guard.run(At, Request.Info.Id, Work) || LegFailed)
      fail(At);
  }

  /// Returns a function that passes what the store said to \p Handler of the
  /// flow, in an event of its own: the flow may be in the call that asked.
  template <typename Argument, typename Value>
  std::function<void(Value)>
  deliverLater(void (routing::Flow::*Handler)(Argument, TimePoint));

  bool endsBeforeSend(LegId Id);
  void fail(Boundary At);
  void answerFailure();
  void cancelAllLegs();

  void onCallerLeft();
  void onTimer();
  void sendLeg(LegId Id, const routing::LegRequest &Spec);
  UpstreamHandlers legHandlers(LegId Id);
  UpstreamHandlers statementHandlers(const Leg &L) const;
  void onLegHead(LegId Id, HttpResponse Head);
  bool isPartOfStream(routing::LegKind Kind, const HttpResponse &Head) const;
  void onLegData(LegId Id, std::string_view Data);
  void onLegEnd(LegId Id, UpstreamEnd End, const std::string &Detail);
  bool needsCheck(const Leg &L) const;
  void checkEnd(LegId Id, Leg &L, const std::string &Detail);
  void onChecked(LegId Id, const EndpointCheckReport &Report,
                 const std::string &Detail);
  bool needsRegistration(const Leg &L, const EndpointCheckReport &Report) const;
  void checkAgain(LegId Id, Leg &L, const EndpointCheckReport &Report,
                  const std::string &Detail);
  EndpointCheckResult judge(const Leg &L,
                            const EndpointCheckReport &Report) const;
  void endLeg(LegId Id, UpstreamEnd End, const std::string &Detail);
  bool bufferResponse(Leg &L, std::string_view Data);
  Leg removeLeg(std::map<LegId, Leg>::iterator It);
  routing::LegResult makeLegResult(Leg &L, UpstreamEnd End,
                                   const std::string &Detail) const;
  void logLegEnd(const Leg &L, std::string_view Outcome, unsigned Status,
                 std::string_view Detail);
  void afterEvent();
  void armTimer();
  void finish();

  SessionServices Services;
  SessionHooks Hooks;
  std::shared_ptr<HttpExchange> Caller;
  routing::FlowRequest Request;
  std::unique_ptr<routing::Flow> ActiveFlow;
  std::map<LegId, Leg> Legs;
  LegId NextLeg = 1;
  boost::asio::steady_timer Timer;
  TimePoint TimerExpiry = TimePoint::max();
  SessionResult Result;
  /// Head of the stream that the caller receives.
  std::optional<HttpResponse> StreamHead;
  bool Sent = false;      ///< a leg was handed to the connections
  bool LegFailed = false; ///< a leg could not be started
  bool Failed = false;    ///< an exception has ended the request
  bool Answered = false;  ///< the caller has the final answer
  bool Ended = false;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP
