#include "hyssoprail/gateway/stage_orders.hpp"

namespace hyssoprail::gateway {
namespace {

/// Between two calls for the lease; its term is a multiple of this.
constexpr milliseconds AskInterval{900};
constexpr milliseconds OrderTimeout{1'500};

} // namespace

void StageOrders::tick(const routing::FleetConfigPtr &Config) {
  const TimePoint Now = Time.now();
  if (Now - AskedAt < AskInterval)
    return;
  bool Due = false;
  for (const auto &[Name, Service] : Config->Services)
    Due = Due || !Planner.plan(Service, Scheduler.work(Name), Now).empty();
  if (!Due)
    return stop();
  AskedAt = Now;
  Wanting = true;
  // The orders leave in the same turn of the loop that confirms the lease.
  Feed.withOrderLease([this, Config](std::uint64_t Fence) {
    if (Wanting)
      order(*Config, Fence);
  });
}

void StageOrders::stop() {
  if (std::exchange(Wanting, false))
    Feed.leaveOrderLease();
}

void StageOrders::order(const routing::FleetConfig &Config,
                        std::uint64_t Fence) {
  const TimePoint Now = Time.now();
  for (const auto &[Name, Service] : Config.Services)
    for (const routing::StageChange &Change :
         Planner.plan(Service, Scheduler.work(Name), Now)) {
      const routing::Endpoint *E = Table.find(Change.EndpointId);
      if (!E)
        continue;
      Planner.ordered(Change, Service, Now);
      send(Change, E->Record, Fence);
    }
}

void StageOrders::send(const routing::StageChange &Change,
                       const routing::EndpointRecord &Record,
                       std::uint64_t Fence) {
  HttpCall Call;
  Call.Authority = Record.Address;
  Call.Request = Protocol.stageOrder(Record.Id, Change.To, Holder, Fence);
  Call.Timeout = OrderTimeout;
  Http.call(std::move(Call), [this, Id = Record.Id, To = Change.To,
                              Fence](Result<HttpResponse> Answer) {
    const Error *E = errorOf(Answer);
    Log.write(LogCategory::Outcome, "stage_order", "",
              {{"endpoint", Id},
               {"to_prefill", To == routing::EngineStage::Prefill},
               {"fence", Fence},
               {"status", E ? 0U : valueOf(Answer).Status},
               {"why", E ? E->Message : std::string()}});
  });
}

} // namespace hyssoprail::gateway
