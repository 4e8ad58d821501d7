#ifndef HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP
#define HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/body_admission.hpp"
#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/core/deferred_work.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/gateway/accepted_request.hpp"
#include "hyssoprail/gateway/coordination.hpp"
#include "hyssoprail/gateway/descriptor_guard.hpp"
#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "hyssoprail/gateway/handler_guard.hpp"
#include "hyssoprail/gateway/loop_lag.hpp"
#include "hyssoprail/gateway/peer_socket.hpp"
#include "hyssoprail/gateway/request_session.hpp"
#include "hyssoprail/gateway/stage_orders.hpp"
#include "hyssoprail/gateway/stream_version_exchange.hpp"
#include "hyssoprail/process/metrics.hpp"
#include "hyssoprail/routing/service_history.hpp"

namespace hyssoprail::gateway {

/// An entry that calls endpoints directly: runs the servers for callers,
/// readiness and metrics, takes the decisions of the routing library and
/// coordinates with the other entries. Uses a single event loop, as its VM has
/// only a fraction of one core.
class GatewayRuntime : public FleetListener {
public:
  GatewayRuntime(boost::asio::io_context &Context, GatewaySettings Settings,
                 const Clock &Time, const EndpointProtocol &Protocol,
                 FleetFeed &Feed, HttpClient &Http, DecisionLog &Log,
                 HandlerGuard &Guard);
  ~GatewayRuntime() override;

  /// Binds all addresses and begins to read the store.
  Status start();

  /// Applies newer settings, or keeps the present ones if \p Next is an error.
  /// Budgets, limits and the stop grace apply at once; names and addresses need
  /// a restart.
  void reload(const Result<GatewaySettings> &Next);

  /// Begins a planned stop: callers are told to use another entry, and the
  /// event loop ends when no request is left or the stop grace is over.
  void stop();

  /// The ports that were bound; the settings may ask for any free one.
  std::uint16_t callerPort() const { return CallerServer->port(); }
  std::uint16_t readyPort() const { return ReadyServer->port(); }

  // FleetListener
  void onConfig(routing::FleetConfigPtr Config,
                const ConfigDecoding &Decoding) override;
  void onZonesOut(std::set<std::string, std::less<>> Zones) override;
  void onEndpoint(const routing::EndpointRecord &Record) override;
  void onEndpointRemoved(std::string_view Id) override;
  void onEndpointsComplete() override;
  void onEntries(const std::vector<EntryAddress> &Entries) override;
  void onBadRecord(std::string_view Key, std::string_view Field) override;
  void onCrashRecord(std::string_view Record) override;
  void onRolloutOrder(const rollout::RolloutOrder &Order,
                      Duration Age) override;
  void onRolloutWithdrawn(std::string_view Service) override;
  void onRolloutState(const rollout::StatusRecord &State) override;
  void onStreamVersions(const StreamVersionRecord &Record) override;
  void onVersionState(const VersionStateRecord &Record) override;
  void onStoreLost(std::string_view Topic, std::string_view Why) override;
  void onStoreRegained(std::string_view Topic) override;
  void onStoreRestored(std::uint64_t Era) override;
  void onUnexpectedError(std::string_view Where, std::string_view Why) override;

private:
  /// Path at which other entries fetch changes of the fleet from this one.
  static constexpr std::string_view StatePath = "/state";

  /// Larger ages are reported as this one.
  static constexpr milliseconds MaxReportedAge{60'000};

  /// Part of the stop grace that is reserved for the end of the process.
  static constexpr milliseconds StopMargin{400};

  /// The part of StopMargin that remains when the last answers are sent: a tick
  /// comes up to 50 ms late.
  static constexpr milliseconds EndMargin{150};

  static constexpr milliseconds DrainingRetryAfter{20};

  using Exchange = std::shared_ptr<HttpExchange>;

  /// Decides on a request by its head, before its body is read.
  HeadDecision judgeHead(const HttpRequest &Head);
  std::optional<HttpResponse> judge(const HttpRequest &Head,
                                    AcceptedRequest &Out);
  HttpResponse denial(const routing::RequestInfo &Info,
                      routing::RejectReason Reason);
  std::optional<HttpResponse> takeQuota(AcceptedRequest &Request);
  std::optional<HttpResponse> rejectIfReadLate(const HttpRequest &Head);
  /// When what a caller's connection does now became ready: a caller waits from
  /// then on, not from the time at which this entry comes to it.
  TimePoint readyAt() const { return Time.now() - CallerWork.currentWait(); }
  HttpResponse rejectForMemory(const std::string &Id, milliseconds RetryAfter);
  HttpServerOptions callerServerOptions();
  /// Runs an accepted request, whose body has arrived.
  void handle(const Exchange &Caller);
  Duration expectedRunTime(const routing::RoutePolicy &Route,
                           const routing::RequestInfo &Info) const;
  bool cannotFinishBeforeStop(const routing::RoutePolicy &Route,
                              const routing::RequestInfo &Info) const;
  routing::FlowRequest flowRequest(const AcceptedRequest &Accepted) const;
  void startSession(const Exchange &Caller, routing::FlowRequest Request,
                    double QuotaTokens);
  void findVersion(const std::string &Key,
                   StreamVersionExchange::FindHandler OnDone);
  SessionHooks sessionHooks(const routing::FlowRequest &Request,
                            double QuotaTokens);
  bool stillAllowed(const std::string &Key) const;
  void sessionEnded(const std::string &Key, double QuotaTokens,
                    const SessionResult &Result);
  HttpResponse rejection(const routing::RequestInfo &Info,
                         routing::RejectReason Reason, milliseconds RetryAfter);

  template <typename Decision>
  void countDecision(const routing::FlowRequest &R, const Decision &D);

  /// Delivers decisions on generations or calls to their sessions.
  template <typename Decision>
  void onDecisions(const std::vector<Decision> &Decisions);
  void onLimitStatement(const std::string &EndpointId,
                        const LimitStatement &Statement);
  void onAvailabilityStatement(const std::string &EndpointId,
                               std::int64_t StartedAtMs,
                               const AvailabilityStatement &Statement);

  bool ready() const;
  void handleReadiness(const Exchange &Caller);
  void handleInternal(const Exchange &Caller);
  void handleState(const Exchange &Caller);
  void handleMetrics(const Exchange &Caller);
  std::unique_ptr<HttpServer> makeServer(const std::string &Address,
                                         HttpHandler Handler);
  std::unique_ptr<HttpServer> makeServer(const std::string &Address,
                                         HttpServerOptions Options,
                                         HttpHandler Handler);

  void tick();
  void recordLag(TimePoint DueAt);
  void doPeriodicWork(TimePoint Now);
  void applyConfig();
  std::size_t entriesSharingLimits(TimePoint Now) const;
  /// Time at which a stopping process has answered all requests; it then only
  /// sends the rest of the answers and refuses what is not whole.
  TimePoint stopDeadline() const {
    return StopBeganAt + Settings.StopGrace - StopMargin;
  }
  /// Time at which it ends although answers are on their way.
  TimePoint processEnd() const {
    return StopBeganAt + Settings.StopGrace - EndMargin;
  }

  std::string chooseChangeSource(TimePoint Now);
  void pullChanges(TimePoint Now);
  void onChangesPulled(const std::string &Source, TimePoint AskedAt,
                       const Result<HttpResponse> &Response);
  void updateColdStartLimits(TimePoint Now);
  void logQuarantineChanges(TimePoint Now);
  void logQuarantineChanges(std::string_view Field,
                            const std::vector<routing::QuarantinedPart> &All,
                            std::set<std::string> &Logged);
  void updateGauges();
  void updateGenerationGauges();
  void updateRolloutGauges(TimePoint Now);
  void updateCallGauges();
  void updateEndpointGauges(TimePoint Now);
  void stopWhenIdle();

  boost::asio::io_context &Context;
  DeferredWork &CallerWork; ///< what connections of callers do
  GatewaySettings Settings;
  const Clock &Time;
  const EndpointProtocol &Protocol;
  FleetFeed &Feed;
  HttpClient &Http;
  DecisionLog &Log;
  HandlerGuard &Guard;
  RandomSource Random;
  const std::uint64_t Incarnation;
  const TimePoint StartedAt;

  routing::EndpointTable Table;
  routing::SharedQuota Quota;
  routing::RetryLimiter Retries;
  routing::LengthEstimator Lengths;
  routing::HealthSignalLog EngineSignals;
  routing::EngineWorkLog EngineWork;
  routing::CrashLedgers Crashes;
  /// Parts of prompts and fingerprints, as last logged.
  std::set<std::string> LoggedParts;
  std::set<std::string> LoggedFingerprints;
  PeerSocket Peers;
  Coordination FleetCoordination;
  StageOrders Stages;
  StreamVersionExchange StreamOrigins;
  routing::ServiceHistory PastRoutes;
  routing::FleetConfigPtr Config;
  TimePoint ConfigAppliedAt{};
  bool ConfigIncomplete = false; ///< a step of applying it threw
  bool EndpointsComplete = false;
  std::size_t AnnouncedEntryCount = 1;

  Metrics Counters;
  /// Generations of this entry that wait, by service and priority. A pair stays
  /// with 0, so that its gauge is reset.
  std::map<std::pair<std::string, int>, std::size_t> WaitingGenerations;
  std::unique_ptr<UpstreamClient> Endpoints;
  DescriptorGuard Descriptors;
  const std::shared_ptr<MemoryAccount> CallerMemory;
  std::shared_ptr<BodyAdmission> Bodies;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::map<std::string, std::shared_ptr<RequestSession>> Sessions;
  std::uint64_t NextSessionKey = 1;
  /// Ends with this object; connections may outlive it for a moment.
  const std::shared_ptr<GatewayRuntime *> Self =
      std::make_shared<GatewayRuntime *>(this);

  boost::asio::steady_timer TickTimer;
  LoopLag Lag;
  bool Pulling = false;
  TimePoint NextPullAt{};     ///< earliest time of the next pull
  FeedPosition LastSynced;    ///< syncedPosition() at the last progress
  TimePoint SyncProgressAt{}; ///< last progress, or nothing to fetch
  bool Stopping = false;
  bool Draining = false;
  TimePoint StopBeganAt{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP
