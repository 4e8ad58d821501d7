#ifndef HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP
#define HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP

#include <map>
#include <string>
#include <vector>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/gateway/endpoint_protocol.hpp"
#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/stage_planner.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::gateway {

/// Gives engines the orders that the planner asks for, while this entry holds
/// the lease on orders. Used by the coordinator, on the thread of the event
/// loop.
class StageOrders {
public:
  StageOrders(std::string Holder, const Clock &Time,
              routing::EndpointTable &Table,
              const routing::StreamScheduler &Scheduler, FleetFeed &Feed,
              HttpClient &Http, const EndpointProtocol &Protocol,
              DecisionLog &Log)
      : Holder(std::move(Holder)), Time(Time), Table(Table),
        Scheduler(Scheduler), Feed(Feed), Http(Http), Protocol(Protocol),
        Log(Log), Planner(Table) {}

  /// To be called some times a second while this entry coordinates.
  void tick(const routing::FleetConfigPtr &Config);

  /// This entry does not coordinate any more.
  void stop();

private:
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
  routing::StagePlanner Planner;
  TimePoint LeaseRequestedAt{};
  bool LeaseWanted = false; ///< a lease was asked for and not given back
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_STAGE_ORDERS_HPP
