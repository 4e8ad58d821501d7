#ifndef HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP
#define HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/gateway/endpoint_protocol.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::gateway {

/// How a request ended, for logs and metrics.
struct SessionResult {
  std::string_view Outcome; ///< "answered", "rejected", "broken_off" or "left"
  std::string_view Reason;  ///< of a rejection
  unsigned Status = 0;      ///< of the answer; 0: none was sent
  Duration FirstEvent{};    ///< of a stream, from arrival
  Duration Total{};
  bool MayHaveRun = false;
};

/// Memory for answers that are held until they are whole, of all sessions.
class AnswerMemory {
public:
  explicit AnswerMemory(std::size_t Limit) : Limit(Limit) {}

  /// Takes \p Bytes; false if they would exceed the limit.
  bool take(std::size_t Bytes) {
    if (Held + Bytes > Limit)
      return false;
    Held += Bytes;
    return true;
  }

  void giveBack(std::size_t Bytes) { Held -= Bytes; }

  std::size_t held() const { return Held; }

private:
  std::size_t Limit;
  std::size_t Held = 0;
};

/// Services that a session uses.
struct SessionServices {
  boost::asio::io_context &Context;
  const Clock &Time;
  UpstreamClient &Endpoints;
  const EndpointProtocol &Protocol;
  DecisionLog &Log;
  AnswerMemory &Memory;
};

/// What a session asks of the gateway.
struct SessionHooks {
  std::function<bool()> StillAllowed;
  /// Something was asked of the admission, or given back.
  std::function<void()> AdmissionChanged;
  /// The request has ended; called once, last.
  std::function<void(const SessionResult &)> OnEnd;
};

/// One request of a caller: connects its flow to the caller's connection and to
/// the endpoints. Used on the thread of the event loop.
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

  void onPlaced(const routing::StreamPlace &Place);
  void onRefused(const routing::StreamRefusal &Refusal);

  const routing::FlowRequest &request() const { return Request; }

  // FlowIo
  LegId startLeg(const routing::LegRequest &Leg) override;
  void cancelLeg(LegId Leg) override;
  void dropHandle(const routing::KvSource &Source) override;
  void respond(const HttpResponse &Response) override;
  void reject(routing::RejectReason Reason, milliseconds RetryAfter) override;
  void beginStream(const HttpResponse &Head) override;
  void forward(std::string_view Events) override;
  void finishStream() override;
  void abort() override;
  bool stillAllowed() override { return Hooks.StillAllowed(); }
  void logDecision(std::string_view What, LogFields Fields) override;

private:
  struct Leg {
    routing::LegKind Kind = routing::LegKind::Call;
    std::string EndpointId;
    TimePoint Since{};
    std::shared_ptr<UpstreamExchange> Exchange;
    HttpResponse Answer;
    std::size_t Held = 0; ///< bytes of the answer, taken from the memory
    bool Streaming = false;
  };

  UpstreamHandlers legHandlers(LegId Id);
  void onLegHead(LegId Id, HttpResponse Head);
  void onLegData(LegId Id, std::string_view Data);
  void onLegEnd(LegId Id, UpstreamEnd End, const std::string &Detail);
  bool holdAnswer(Leg &L, std::string_view Data);
  Leg takeLeg(std::map<LegId, Leg>::iterator It);
  routing::LegResult legAnswer(Leg &L, UpstreamEnd End,
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
  std::unique_ptr<routing::Flow> Course;
  std::map<LegId, Leg> Legs;
  LegId NextLeg = 1;
  boost::asio::steady_timer Timer;
  TimePoint TimerAt = TimePoint::max();
  SessionResult Result;
  bool Ended = false;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_REQUEST_SESSION_HPP
