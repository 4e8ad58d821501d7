#ifndef HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP
#define HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/gateway/coordination.hpp"
#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "hyssoprail/gateway/request_session.hpp"
#include "hyssoprail/gateway/stage_orders.hpp"
#include "hyssoprail/process/metrics.hpp"

namespace hyssoprail::gateway {

/// An entry that calls endpoints directly: servers for callers, readiness and
/// metrics; the decisions of the routing library; reports to the other entries.
/// Runs on one event loop, as its VM has a fraction of one core.
class GatewayRuntime : public FleetListener {
public:
  GatewayRuntime(boost::asio::io_context &Context, GatewaySettings Settings,
                 const Clock &Time, const EndpointProtocol &Protocol,
                 FleetFeed &Feed, HttpClient &Http, DecisionLog &Log);
  ~GatewayRuntime() override;

  /// Binds all addresses and begins to follow the store.
  Status start();

  /// Takes newer settings. Those of budgets and bounds apply at once; names and
  /// addresses need a restart.
  void reload(const Result<GatewaySettings> &Next);

  /// Begins a planned stop: callers are sent elsewhere, and the event loop ends
  /// when no request is left or the grace is over.
  void stop();

  /// Ports that were bound.
  std::uint16_t callerPort() const { return CallerServer->port(); }
  std::uint16_t readyPort() const { return ReadyServer->port(); }

  // FleetListener
  void onConfig(routing::FleetConfigPtr Config) override;
  void onZonesOut(std::set<std::string, std::less<>> Zones) override;
  void onEndpoint(const routing::EndpointRecord &Record) override;
  void onEndpointGone(std::string_view Id) override;
  void onEndpointsComplete() override;
  void onEntries(const std::vector<EntryAddress> &Entries) override;
  void onBadRecord(std::string_view Key, std::string_view Field) override;
  void onStoreLost(std::string_view Topic, std::string_view Why) override;
  void onStoreRegained(std::string_view Topic) override;

private:
  /// Where other entries ask for what this one knows.
  static constexpr std::string_view StatePath = "/state";

  /// Ages are reported up to this.
  static constexpr milliseconds LargestReportedAge{60'000};

  /// Time kept of the grace for the end of the process.
  static constexpr milliseconds StopMargin{400};

  using Exchange = std::shared_ptr<HttpExchange>;

  void handle(const Exchange &Caller);
  bool leavesTooSoon(const routing::RoutePolicy &Route,
                     const routing::RequestInfo &Info) const;
  void admit(const Exchange &Caller, routing::RequestInfo Info,
             const routing::RoutePolicy &Route);
  routing::FlowRequest flowRequest(routing::RequestInfo Info,
                                   const routing::RoutePolicy &Route,
                                   const routing::AccountPolicy *Account) const;
  void startSession(const Exchange &Caller, routing::FlowRequest Request,
                    double QuotaTokens);
  SessionHooks sessionHooks(const std::string &Key, double QuotaTokens);
  bool stillAllowed(const std::string &Key) const;
  void sessionEnded(const std::string &Key, double QuotaTokens,
                    const SessionResult &Result);
  void rejectAtOnce(const Exchange &Caller, const routing::RequestInfo &Info,
                    routing::RejectReason Reason, milliseconds RetryAfter);

  void onDecisions(const std::vector<routing::StreamDecision> &Decisions);

  bool ready() const;
  void handleReadiness(const Exchange &Caller);
  void handleInternal(const Exchange &Caller);
  void handleState(const Exchange &Caller);
  void handleMetrics(const Exchange &Caller);
  std::unique_ptr<HttpServer> makeServer(const std::string &Address,
                                         HttpHandler Handler);

  void tick();
  std::size_t sharingEntries(TimePoint Now) const;
  /// End of a stopping process that is not idle sooner.
  TimePoint stopsAt() const {
    return StopBegan + Settings.StopGrace - StopMargin;
  }

  std::string changesSource(TimePoint Now);
  void pullChanges(TimePoint Now);
  void onChanges(const std::string &Source, const Result<HttpResponse> &Answer);
  void updateStartBounds(TimePoint Now);
  void updateGauges();
  void checkStopped();

  boost::asio::io_context &Context;
  GatewaySettings Settings;
  const Clock &Time;
  const EndpointProtocol &Protocol;
  FleetFeed &Feed;
  HttpClient &Http;
  DecisionLog &Log;
  RandomSource Random;
  const std::uint64_t Incarnation;
  const TimePoint StartedAt;

  routing::EndpointTable Table;
  routing::SharedQuota Quota;
  routing::RetryLimiter Retries;
  routing::LengthEstimator Lengths;
  routing::HealthSignalLog Engines;
  Coordination Coordinator;
  StageOrders Stages;
  routing::FleetConfigPtr Config;
  TimePoint ConfigSince{};
  bool EndpointsComplete = false;
  std::size_t AnnouncedEntries = 1;

  Metrics Counters;
  std::unique_ptr<UpstreamClient> Endpoints;
  AnswerMemory Answers;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::map<std::string, std::shared_ptr<RequestSession>> Sessions;
  std::uint64_t NextKey = 1;

  boost::asio::steady_timer TickTimer;
  bool Pulling = false;
  TimePoint PullAt{};      ///< not before
  FeedPosition AdvancedTo; ///< newest knowledge of the fleet
  TimePoint AdvancedAt{};  ///< when it grew, or was complete
  bool Stopping = false;
  bool Draining = false;
  TimePoint StopBegan{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_GATEWAY_RUNTIME_HPP
