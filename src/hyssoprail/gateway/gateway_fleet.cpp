// The part of GatewayRuntime that concerns the fleet: what the store says, what
// the entries tell each other, and the end of the process.
#include <algorithm>
#include <utility>

#include "hyssoprail/gateway/gateway_runtime.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds TickInterval{80};

/// Reports that say nothing new are sent this often.
constexpr milliseconds IdleReportInterval{400};

/// Between two reports that placements cause.
constexpr milliseconds ShortestReportInterval{15};

/// Requests that wait at one entry and that a report names; few are served
/// before the next report.
constexpr std::size_t ReportedWaiting = 4;

/// A stopping entry still accepts connections for this time, until the load
/// balancer has seen that it is not ready.
constexpr milliseconds StopAcceptsFor{2'500};

/// A draining entry ends no sooner than this, as requests may still be on their
/// way on idle connections.
constexpr milliseconds DrainsAtLeast{600};

/// Time kept of the grace for the end of the process.
constexpr milliseconds StopMargin{400};

/// Entries that were announced but not heard count among those that share a
/// bound for this time after a start.
constexpr milliseconds StartUpTime{6'000};

/// Part of the bound of a cold endpoint that is used.
constexpr double ColdBoundShare = 0.9;

/// The store answers at least every two seconds; after this time without an
/// answer an entry asks a peer.
constexpr milliseconds StaleAfter{2'600};
constexpr milliseconds AskPeerInterval{700};
constexpr milliseconds AskPeerTimeout{1'000};

std::uint32_t waitedMillis(const routing::WaitingRequest &W, TimePoint Now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(
          std::max<Duration>(Now - W.Arrival, Duration::zero()))
          .count());
}

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
  Scheduler.configure(Config);
  updateStartBounds(ConfigSince);
  Log.write(LogUrgency::Outcome, "configuration", "",
            {{"version", Config->Version},
             {"routes", Config->Routes.size()},
             {"accounts", Config->Accounts.size()}});
  pollSoon();
}

void GatewayRuntime::onZonesOut(std::set<std::string, std::less<>> Zones) {
  std::string Names;
  for (const std::string &Zone : Zones)
    Names += (Names.empty() ? "" : ",") + Zone;
  Log.write(LogUrgency::Outcome, "zones_out", "", {{"zones", Names}});
  Table.setZonesOut(std::move(Zones));
  pollSoon();
}

void GatewayRuntime::onEndpoint(const routing::EndpointRecord &Record) {
  if (!Table.apply(Record))
    return;
  Log.write(LogUrgency::Outcome, "endpoint", "",
            {{"endpoint", Record.Id},
             {"service", Record.Service},
             {"zone", Record.Zone},
             {"address", Record.Address},
             {"draining", Record.Draining},
             {"cold_ms", Record.ColdFor},
             {"prefill", Record.Stage == routing::EngineStage::Prefill},
             {"sequence", Record.Sequence}});
  pollSoon();
}

void GatewayRuntime::onEndpointGone(std::string_view Id) {
  Log.write(LogUrgency::Outcome, "endpoint_gone", "", {{"endpoint", Id}});
  Table.remove(Id);
  pollSoon();
}

void GatewayRuntime::onEndpointsComplete() { EndpointsComplete = true; }

void GatewayRuntime::onEntries(const std::vector<std::string> &Addresses) {
  AnnouncedEntries = std::max<std::size_t>(1, Addresses.size());
  for (const std::string &Address : Addresses)
    if (Address != Settings.PeerAddress)
      Peers.addCandidate(Address, Time.now());
}

void GatewayRuntime::onBadRecord(std::string_view Key, std::string_view Field) {
  Log.write(LogUrgency::Outcome, "bad_record", "",
            {{"key", Key}, {"field", Field}});
  Counters.counter("store_bad_records").add();
}

void GatewayRuntime::onStoreLost(std::string_view Topic, std::string_view Why) {
  Log.write(LogUrgency::Outcome, "store_lost", "",
            {{"topic", Topic}, {"why", Why}});
}

void GatewayRuntime::onStoreRegained(std::string_view Topic) {
  Log.write(LogUrgency::Outcome, "store_regained", "", {{"topic", Topic}});
}

// ---- Periodic work --------------------------------------------------------

void GatewayRuntime::tick() {
  const TimePoint Now = Time.now();
  Peers.age(Now);
  Retries.setEntries(static_cast<unsigned>(sharingEntries(Now)));
  updateStartBounds(Now);
  reportUsage();
  askPeer(Now);
  if (Scheduler.queued() > 0)
    pollSoon();
  if (Stopping)
    checkStopped();
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      tick();
  });
}

/// An entry that the store does not answer learns changes from a peer.
void GatewayRuntime::askPeer(TimePoint Now) {
  if (Feed.age() < StaleAfter || Now - AskedPeerAt < AskPeerInterval)
    return;
  const std::string Peer = Peers.freshestState(StaleAfter, Now);
  if (Peer.empty())
    return;
  AskedPeerAt = Now;
  HttpCall Call;
  Call.Authority = Peer;
  Call.Request = {"GET", std::string(StatePath), {}, ""};
  Call.Timeout = AskPeerTimeout;
  Http.call(std::move(Call), [this, Peer, Now](Result<HttpResponse> Answer) {
    const Error *E = errorOf(Answer);
    Log.write(LogUrgency::Outcome, "state_from_peer", "",
              {{"peer", Peer},
               {"store_age_ms", Feed.age()},
               {"outcome", E ? E->Message : std::string("taken")}});
    if (!E && valueOf(Answer).Status == 200)
      Feed.offer(valueOf(Answer).Body, Now);
  });
}

/// Entries that share a bound of the whole fleet.
std::size_t GatewayRuntime::sharingEntries(TimePoint Now) const {
  const std::size_t Known = Peers.known(Now);
  return Now - StartedAt < StartUpTime ? std::max(Known, AnnouncedEntries)
                                       : Known;
}

/// Entries share what a cold endpoint bears; an endpoint may turn cold at any
/// moment, so the bound always holds.
void GatewayRuntime::updateStartBounds(TimePoint Now) {
  if (!Config)
    return;
  const std::size_t Sharing = sharingEntries(Now);
  for (const auto &[Name, Service] : Config->Services) {
    if (Service.ColdPerSecond <= 0)
      continue;
    const double Bound =
        Service.ColdPerSecond * Settings.ColdOverage + Settings.ColdSlack;
    const double Share = Bound * ColdBoundShare / double(Sharing);
    Table.setStartsPerSecond(
        Name, std::max<std::size_t>(1, static_cast<std::size_t>(Share)));
  }
}

wire::UsageReport GatewayRuntime::usageReport(TimePoint Now) const {
  wire::UsageReport Report;
  Report.set_sender(Settings.Name);
  Report.set_incarnation(Incarnation);
  Report.set_address(Settings.PeerAddress);
  Report.set_state_address(Settings.MetricsAddress);
  for (const auto &[Id, Load] : Table.ownLoads()) {
    wire::EndpointUse *Use = Report.add_endpoints();
    Use->set_endpoint(Id);
    Use->set_runs(static_cast<std::uint32_t>(Load.Runs));
    Use->set_tokens(static_cast<std::uint64_t>(Load.Tokens));
    Use->set_prefill_tokens(static_cast<std::uint64_t>(Load.PrefillTokens));
  }
  for (const auto &[Name, Tokens] : Quota.granted()) {
    wire::AccountUse *Use = Report.add_accounts();
    Use->set_account(Name);
    Use->set_tokens(Tokens);
  }
  Report.set_waiting_tokens(
      static_cast<std::uint64_t>(Scheduler.waitingTokens()));
  for (const routing::WaitingRequest &W :
       Scheduler.firstWaiting(ReportedWaiting, Now)) {
    wire::WaitingUse *Use = Report.add_waiting();
    Use->set_service(W.Service);
    Use->set_rank(W.Rank);
    Use->set_waited_ms(waitedMillis(W, Now));
    Use->set_tokens(static_cast<std::uint64_t>(W.Tokens));
  }
  for (std::string &Id : Table.unreachable(Now))
    Report.add_unreachable(std::move(Id));
  Report.set_config_version(Config ? Config->Version : 0);
  Report.set_leaving(Stopping);
  return Report;
}

/// The other entries must know of a placement before they use the same memory.
void GatewayRuntime::reportSoon() {
  if (ReportPending)
    return;
  ReportPending = true;
  ReportTimer.expires_at(ReportedAt + ShortestReportInterval);
  ReportTimer.async_wait([this](boost::system::error_code Code) {
    ReportPending = false;
    if (!Code)
      reportUsage();
  });
}

void GatewayRuntime::reportUsage() {
  const TimePoint Now = Time.now();
  wire::UsageReport Report = usageReport(Now);
  std::string Content = Report.SerializeAsString();
  if (Content == LastReport && Now - ReportedAt < IdleReportInterval)
    return;
  LastReport = std::move(Content);
  ReportedAt = Now;
  Report.set_store_age_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(
          std::min<Duration>(Feed.age(), LargestReportedAge))
          .count()));
  Report.set_sequence(++ReportSequence);
  const std::string Datagram = Report.SerializeAsString();
  for (const std::string &Address : Peers.addresses(Now))
    Socket.send(Datagram, Address);
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
  if (!Idle && Now - StopBegan < Settings.StopGrace - StopMargin)
    return;
  Log.write(LogUrgency::Outcome, "stopped", "", {{"open", Sessions.size()}});
  Context.stop();
}

} // namespace hyssoprail::gateway
