// The part of GatewayRuntime that concerns the fleet: what the store says, what
// the entries tell each other, and the end of the process.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/gateway/gateway_runtime.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds TickInterval{50};

/// A stopping entry still accepts connections for this time, until the load
/// balancer has seen that it is not ready.
constexpr milliseconds StopAcceptsFor{2'500};

/// A draining entry ends no sooner than this, as requests may still be on their
/// way on idle connections.
constexpr milliseconds DrainsAtLeast{600};

/// Entries that were announced but not heard count among those that share a
/// bound for this time after a start.
constexpr milliseconds StartUpTime{6'000};

/// Part of the bound of a cold endpoint that is used.
constexpr double ColdBoundShare = 0.9;

constexpr milliseconds ShortestPullInterval{40};
constexpr milliseconds PullTimeout{600};

/// A source that did not answer in time may have more to send than its link
/// takes.
constexpr milliseconds PullRetry{200};

/// Time within which a nearby source passes on what it gets.
constexpr milliseconds NearbyMayTake{1'000};

} // namespace

// ---- What the store says --------------------------------------------------

void GatewayRuntime::onConfig(routing::FleetConfigPtr Next) {
  if (Config && Next->Version <= Config->Version)
    return;
  Config = std::move(Next);
  ConfigSince = Time.now();
  const routing::CallerLimits &L = Config->Limits;
  CallerServer->setLimits(L.HeaderBytes, L.BodyBytes, L.HeaderTimeout,
                          L.IdleTimeout);
  Quota.configure(*Config, ConfigSince);
  Coordinator.configure(Config);
  updateStartBounds(ConfigSince);
  Log.write(LogCategory::Outcome, "configuration", "",
            {{"version", Config->Version},
             {"routes", Config->Routes.size()},
             {"accounts", Config->Accounts.size()}});
}

void GatewayRuntime::onZonesOut(std::set<std::string, std::less<>> Zones) {
  std::string Names;
  for (const std::string &Zone : Zones)
    Names += (Names.empty() ? "" : ",") + Zone;
  Log.write(LogCategory::Outcome, "zones_out", "", {{"zones", Names}});
  Table.setZonesOut(std::move(Zones));
  Coordinator.wake();
}

void GatewayRuntime::onEndpoint(const routing::EndpointRecord &Record) {
  if (!Table.apply(Record))
    return;
  Log.write(LogCategory::Outcome, "endpoint", "",
            {{"endpoint", Record.Id},
             {"service", Record.Service},
             {"zone", Record.Zone},
             {"address", Record.Address},
             {"draining", Record.Draining},
             {"cold_ms", Record.ColdFor},
             {"prefill", Record.Stage == routing::EngineStage::Prefill},
             {"sequence", Record.Sequence}});
  Coordinator.wake();
}

void GatewayRuntime::onEndpointGone(std::string_view Id) {
  Log.write(LogCategory::Outcome, "endpoint_gone", "", {{"endpoint", Id}});
  Table.remove(Id);
  Coordinator.wake();
}

void GatewayRuntime::onEndpointsComplete() { EndpointsComplete = true; }

void GatewayRuntime::onEntries(const std::vector<EntryAddress> &Entries) {
  AnnouncedEntries = std::max<std::size_t>(1, Entries.size());
  Coordinator.setEntries(Entries);
}

void GatewayRuntime::onBadRecord(std::string_view Key, std::string_view Field) {
  Log.write(LogCategory::Outcome, "bad_record", "",
            {{"key", Key}, {"field", Field}});
  Counters.counter("store_bad_records").add();
}

void GatewayRuntime::onStoreLost(std::string_view Topic, std::string_view Why) {
  Log.write(LogCategory::Outcome, "store_lost", "",
            {{"topic", Topic}, {"why", Why}});
}

void GatewayRuntime::onStoreRegained(std::string_view Topic) {
  Log.write(LogCategory::Outcome, "store_regained", "", {{"topic", Topic}});
}

// ---- Periodic work --------------------------------------------------------

void GatewayRuntime::tick() {
  const TimePoint Now = Time.now();
  Coordinator.tick();
  if (Config && Coordinator.coordinates())
    Stages.tick(Config);
  else
    Stages.stop();
  Quota.setAudibleShare(Coordinator.audibleShare(), Now);
  Retries.setEntries(static_cast<unsigned>(sharingEntries(Now)));
  updateStartBounds(Now);
  pullChanges(Now);
  if (Stopping)
    checkStopped();
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      tick();
  });
}

/// An entry that does not read the store gets the changes from one that does,
/// or from one nearby that gets them sooner. If the latter brings nothing new
/// for some time, it is cut off or has stopped.
std::string GatewayRuntime::changesSource(TimePoint Now) {
  const FleetSources Sources = Coordinator.newerSources();
  const FeedPosition Known = Feed.known();
  if (Sources.Reader.empty() || !AdvancedTo.covers(Known)) {
    AdvancedTo = Known;
    AdvancedAt = Now;
  }
  return Sources.Nearby.empty() || Now - AdvancedAt > NearbyMayTake
             ? Sources.Reader
             : Sources.Nearby;
}

void GatewayRuntime::pullChanges(TimePoint Now) {
  const std::string Source = changesSource(Now);
  if (Source.empty() || Pulling || Now < PullAt)
    return;
  Pulling = true;
  PullAt = Now + ShortestPullInterval;
  const FeedPosition Known = Feed.known();
  HttpCall Call;
  Call.Authority = Source;
  Call.Request = {"GET",
                  fmt::format("{}?operator={}&endpoints={}", StatePath,
                              Known.Operator, Known.Endpoints),
                  {},
                  ""};
  Call.Timeout = PullTimeout;
  Http.call(std::move(Call),
            [this, Source](const Result<HttpResponse> &Answer) {
              onChanges(Source, Answer);
            });
}

void GatewayRuntime::onChanges(const std::string &Source,
                               const Result<HttpResponse> &Answer) {
  Pulling = false;
  const Error *E = errorOf(Answer);
  const bool Taken = !E && valueOf(Answer).Status == 200;
  if (Taken)
    Feed.offer(valueOf(Answer).Body);
  else
    PullAt = Time.now() + PullRetry;
  const FeedPosition Position = Feed.known();
  Log.write(Taken ? LogCategory::Routine : LogCategory::Outcome,
            "changes_from_entry", "",
            {{"source", Source},
             {"operator_position", Position.Operator},
             {"endpoint_position", Position.Endpoints},
             {"outcome", E ? E->Message : std::string("answered")}});
}

/// Entries that share a bound of the whole fleet.
std::size_t GatewayRuntime::sharingEntries(TimePoint Now) const {
  const std::size_t Known = Coordinator.knownEntries();
  return Now - StartedAt < StartUpTime ? std::max(Known, AnnouncedEntries)
                                       : Known;
}

/// Bounds what a cold endpoint gets; it may turn cold at any moment, so the
/// bound always holds. The coordinator places the work of all engines, and of
/// those entries that it does not hear each may place its part by itself. Calls
/// are placed by every entry, which share the bound evenly.
void GatewayRuntime::updateStartBounds(TimePoint Now) {
  if (!Config)
    return;
  const double CallShare = 1 / double(sharingEntries(Now));
  const double EngineShare = Coordinator.audibleShare();
  for (const auto &[Name, Service] : Config->Services) {
    if (Service.ColdPerSecond <= 0)
      continue;
    const double Bound =
        Service.ColdPerSecond * Settings.ColdOverage + Settings.ColdSlack;
    const double Share =
        Bound * ColdBoundShare * (Service.Engine ? EngineShare : CallShare);
    Table.setStartsPerSecond(
        Name, std::max<std::size_t>(1, static_cast<std::size_t>(Share)));
  }
}

void GatewayRuntime::checkStopped() {
  const TimePoint Now = Time.now();
  if (!Draining && Now - StopBegan >= StopAcceptsFor) {
    Draining = true;
    CallerServer->drain();
  }
  const bool Idle = Draining && Sessions.empty() &&
                    CallerServer->openExchanges() == 0 &&
                    Now - StopBegan >= StopAcceptsFor + DrainsAtLeast;
  if (!Idle && Now < stopsAt())
    return;
  Coordinator.end();
  Log.write(LogCategory::Outcome, "stopped", "", {{"open", Sessions.size()}});
  Context.stop();
}

} // namespace hyssoprail::gateway
