#ifndef HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP
#define HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/gateway/endpoint_protocol.hpp"
#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/overload_mode.hpp"
#include "hyssoprail/routing/stage_planner.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::gateway {

/// Orders engines to change their stage as the planner decides, while this
/// entry holds the order lease. Used by the coordinator, on the event loop
/// thread only.
class StageOrders {
public:
  /// Called with what the response of an engine states.
  using StatementHandler = std::function<void(
      const std::string &EndpointId, std::int64_t StartedAtMs,
      const AvailabilityStatement &Statement)>;

  StageOrders(std::string Holder, const Clock &Time,
              routing::EndpointTable &Table,
              const routing::StreamScheduler &Scheduler, FleetFeed &Feed,
              HttpClient &Http, const EndpointProtocol &Protocol,
              DecisionLog &Log, routing::OverloadMode Overload,
              StatementHandler OnStatement)
      : Holder(std::move(Holder)), Time(Time), Table(Table),
        Scheduler(Scheduler), Feed(Feed), Http(Http), Protocol(Protocol),
        Log(Log), Overload(Overload), OnStatement(std::move(OnStatement)),
        Planner(Table) {}

  /// Does the periodic work; to be called several times a second while this
  /// entry is the coordinator.
  void tick(const routing::FleetConfigPtr &Config);

  /// Releases the lease: this entry is not the coordinator, or no change is
  /// due.
  void stop();

private:
  routing::StagePressure pressure(const routing::FleetConfig &Config,
                                  const routing::ServicePolicy &Service,
                                  TimePoint Now) const;
  void sendOrders(const routing::FleetConfig &Config, std::uint64_t Fence);
  void send(const routing::StageChange &Change,
            const routing::EndpointRecord &Record, std::uint64_t Fence);

  std::string Holder;
  const Clock &Time;
  routing::EndpointTable &Table;
  const routing::StreamScheduler &Scheduler;
  FleetFeed &Feed;
  HttpClient &Http;
  const EndpointProtocol &Protocol;
  DecisionLog &Log;
  routing::OverloadMode Overload;
  StatementHandler OnStatement;
  routing::StagePlanner Planner;
  TimePoint LeaseRequestedAt{};
  bool LeaseWanted = false; ///< the lease was requested and not released
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP
