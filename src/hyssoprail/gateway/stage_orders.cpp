#include "hyssoprail/gateway/stage_orders.hpp"

#include "hyssoprail/routing/overload_scope.hpp"

namespace hyssoprail::gateway {
namespace {

/// Time between two requests for the lease; the lease lasts several times as
/// long.
constexpr milliseconds LeaseRequestInterval{900};
constexpr milliseconds OrderTimeout{1'500};

/// Engines answer an order with a few words.
constexpr std::size_t MaxOrderResponseBytes = std::size_t{64} * 1024;

} // namespace

void StageOrders::tick(const routing::FleetConfigPtr &Config) {
  const TimePoint Now = Time.now();
  if (Now - LeaseRequestedAt < LeaseRequestInterval)
    return;
  bool ChangesDue = false;
  for (const auto &[Name, Service] : Config->Services)
    ChangesDue = !Planner
                      .plan(Service, Scheduler.utilization(Name), Now,
                            pressure(*Config, Service, Now))
                      .empty() ||
                 ChangesDue;
  if (!ChangesDue)
    return stop();
  LeaseRequestedAt = Now;
  LeaseWanted = true;
  // The orders are sent in the same event loop iteration in which the lease is
  // confirmed, so the lease cannot expire in between.
  Feed.withOrderLease([this, Config](std::uint64_t Fence) {
    if (LeaseWanted)
      sendOrders(*Config, Fence);
  });
}

routing::StagePressure
StageOrders::pressure(const routing::FleetConfig &Config,
                      const routing::ServicePolicy &Service,
                      TimePoint Now) const {
  if (!Service.Engine ||
      !routing::isLeastCostInForce(Overload, Config, Table, Service.Name))
    return {};
  routing::StagePressure Out = Scheduler.pressure(Service.Name, Now);
  Out.LeastCost = true;
  return Out;
}

void StageOrders::stop() {
  if (std::exchange(LeaseWanted, false))
    Feed.releaseOrderLease();
}

void StageOrders::sendOrders(const routing::FleetConfig &Config,
                             std::uint64_t Fence) {
  const TimePoint Now = Time.now();
  for (const auto &[Name, Service] : Config.Services) {
    const routing::StagePressure Pressure = pressure(Config, Service, Now);
    const auto Changes =
        Planner.plan(Service, Scheduler.utilization(Name), Now, Pressure);
    if (Pressure.LeastCost && !Changes.empty())
      Log.write(LogCategory::Outcome, "stage_round", "",
                {{"service", Name},
                 {"changes", Changes.size()},
                 {"wait_ms", Pressure.Wait},
                 {"objective_ms", Pressure.Objective},
                 {"drain_ms", Pressure.DrainTime}});
    for (const routing::StageChange &Change : Changes) {
      const routing::Endpoint *E = Table.find(Change.EndpointId);
      if (!E)
        continue;
      Planner.recordOrder(Change, Service, Now);
      send(Change, E->Record, Fence);
    }
  }
}

void StageOrders::send(const routing::StageChange &Change,
                       const routing::EndpointRecord &Record,
                       std::uint64_t Fence) {
  HttpCall Call;
  Call.Authority = Record.Address;
  Call.Request =
      Protocol.stageOrderRequest(Record.Id, Change.To, Holder, Fence);
  Call.Timeout = OrderTimeout;
  Call.MaxResponseBytes = MaxOrderResponseBytes;
  Http.call(std::move(Call),
            [this, Id = Record.Id, StartedAtMs = Record.StartedAtMs,
             To = Change.To, Fence](Result<HttpResponse> Response) {
              const Error *E = errorOf(Response);
              if (!E)
                OnStatement(Id, StartedAtMs,
                            Protocol.availabilityStatement(valueOf(Response)));
              Log.write(LogCategory::Outcome, "stage_order", "",
                        {{"endpoint", Id},
                         {"to_prefill", To == routing::EngineStage::Prefill},
                         {"fence", Fence},
                         {"status", E ? 0U : valueOf(Response).Status},
                         {"why", E ? E->Message : std::string()}});
            });
}

} // namespace hyssoprail::gateway
