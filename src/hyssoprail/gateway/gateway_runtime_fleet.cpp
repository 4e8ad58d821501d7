// The part of GatewayRuntime that deals with the fleet: records of the store,
// changes fetched from other entries, fleet-wide limits and the planned stop.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/gateway/gateway_runtime.hpp"
#include "hyssoprail/gateway/start_limits.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds TickInterval{50};

/// A stopping entry still accepts connections for this time, as the load
/// balancer takes a while to see that it is not ready.
constexpr milliseconds StopAcceptPeriod{2'500};

/// Shortest time from the start of draining to the end of the process, as
/// requests may still be in transit on idle connections.
constexpr milliseconds MinDrainTime{600};

/// For this time after the start, all announced entries count as sharing the
/// fleet-wide limits, even if no message of theirs has arrived yet.
constexpr milliseconds StartUpPeriod{6'000};

/// Time after which a configuration is applied again if a step of it threw.
constexpr milliseconds ConfigRetryDelay{1'000};

constexpr milliseconds MinPullInterval{40};
constexpr milliseconds PullTimeout{600};

/// Thousands of routes take a narrow link longer than a source may be silent.
constexpr HttpBodyLimits PullBodyLimits{milliseconds(600), milliseconds(5'000)};

/// Delay after a failed pull. A source that did not answer in time may have
/// more to send than its link can carry.
constexpr milliseconds PullRetryDelay{200};

/// A source in the same zone that relays nothing new for this time is replaced
/// by the entry that reads the store.
constexpr milliseconds NearbySourceTimeout{1'000};

} // namespace

// ---- Records of the store -------------------------------------------------

void GatewayRuntime::onConfig(routing::FleetConfigPtr Next,
                              const ConfigDecoding &Decoding) {
  if (Config && Next->Version <= Config->Version)
    return;
  const TimePoint Now = Time.now();
  if (Config)
    PastRoutes.replaced(*Config, *Next, Now, Now - StreamOrigins.lifetime());
  Config = std::move(Next);
  applyConfig();
  Log.write(LogCategory::Outcome, "configuration", "",
            {{"version", Config->Version},
             {"operator_position", Feed.newestChange().Operator},
             {"era", Feed.newestChange().Era},
             {"routes", Config->Routes.size()},
             {"accounts", Config->Accounts.size()},
             {"bytes", Decoding.Bytes},
             {"decode_ms", Decoding.Time},
             {"apply_ms", Time.now() - Now}});
}

/// Each step is done although another one throws. All of them are repeated
/// then, as the store does not deliver the same configuration again.
void GatewayRuntime::applyConfig() {
  ConfigAppliedAt = Time.now();
  ConfigIncomplete = false;
  const auto Step = [&](const auto &Work) {
    if (!Guard.run(Boundary::Store, "", Work))
      ConfigIncomplete = true;
  };
  Step([this] { Quota.configure(*Config, ConfigAppliedAt); });
  Step([this] { FleetCoordination.configure(Config); });
  Step([this] { updateColdStartLimits(ConfigAppliedAt); });
  Step([this] { StreamOrigins.configure(*Config); });
  const routing::CallerLimits &L = Config->Limits;
  Step([&] {
    CallerServer->setLimits(L.HeaderBytes, L.BodyBytes, L.HeaderTimeout,
                            L.IdleTimeout);
  });
}

void GatewayRuntime::onZonesOut(std::set<std::string, std::less<>> Zones) {
  std::string Names;
  for (const std::string &Zone : Zones)
    Names += (Names.empty() ? "" : ",") + Zone;
  Table.setExcludedZones(std::move(Zones));
  FleetCoordination.notifyStateChanged();
  Log.write(LogCategory::Outcome, "zones_out", "", {{"zones", Names}});
}

void GatewayRuntime::onEndpoint(const routing::EndpointRecord &Record) {
  const routing::Endpoint *Known = Table.find(Record.Id);
  const bool NewIncarnation = !Known ||
                              Known->Record.StartedAtMs != Record.StartedAtMs ||
                              Known->Record.Version != Record.Version;
  if (!Table.apply(Record))
    return;
  if (NewIncarnation) {
    const TimePoint Now = Time.now();
    Table.noteSeen(
        Record.Id, EndpointsComplete ? Now : TimePoint{},
        FleetCoordination.rollouts().noteVersion(Record.Service, Record.Version,
                                                 !EndpointsComplete, Now));
  }
  StreamOrigins.noteVersion(Record.Service, Record.Version);
  Endpoints->closeIdle(Record.Id, Record.Draining ? "" : Record.Address);
  Log.write(LogCategory::Outcome, "endpoint", "",
            {{"endpoint", Record.Id},
             {"service", Record.Service},
             {"zone", Record.Zone},
             {"address", Record.Address},
             {"draining", Record.Draining},
             {"cold_ms", Record.ColdFor},
             {"prefill", Record.Stage == routing::EngineStage::Prefill},
             {"sequence", Record.Sequence}});
  FleetCoordination.notifyStateChanged();
}

void GatewayRuntime::onEndpointRemoved(std::string_view Id) {
  Table.remove(Id);
  Endpoints->closeIdle(std::string(Id), "");
  FleetCoordination.notifyStateChanged();
  Log.write(LogCategory::Outcome, "endpoint_gone", "", {{"endpoint", Id}});
}

void GatewayRuntime::onEndpointsComplete() { EndpointsComplete = true; }

void GatewayRuntime::onEntries(const std::vector<EntryAddress> &Entries) {
  AnnouncedEntryCount = std::max<std::size_t>(1, Entries.size());
  FleetCoordination.setEntries(Entries);
}

void GatewayRuntime::onBadRecord(std::string_view Key, std::string_view Field) {
  Log.write(LogCategory::Outcome, "bad_record", "",
            {{"key", Key}, {"field", Field}});
  Counters.counter("store_bad_records").add();
}

void GatewayRuntime::onUnexpectedError(std::string_view Where,
                                       std::string_view Why) {
  Guard.report(Boundary::Store, "", fmt::format("{}: {}", Where, Why));
}

void GatewayRuntime::onCrashRecord(std::string_view Record) {
  Crashes.merge(Record, Time.now(), Time.unixMicros());
}

void GatewayRuntime::onRolloutOrder(const rollout::RolloutOrder &Order,
                                    Duration Age) {
  FleetCoordination.rollouts().order(Order, Age, Time.now());
  Table.forEach([&](routing::Endpoint &E) {
    if (E.Record.Service == Order.Service && E.Record.Version == Order.Target)
      E.HeldUntil = {};
  });
}

void GatewayRuntime::onRolloutWithdrawn(std::string_view Service) {
  FleetCoordination.rollouts().withdraw(Service);
}

void GatewayRuntime::onRolloutState(const rollout::StatusRecord &State) {
  FleetCoordination.rollouts().applyStored(State);
}

void GatewayRuntime::onStreamVersions(const StreamVersionRecord &Record) {
  StreamOrigins.onStreamVersions(Record);
}

void GatewayRuntime::onVersionState(const VersionStateRecord &Record) {
  StreamOrigins.onVersionState(Record);
}

void GatewayRuntime::onStoreLost(std::string_view Topic, std::string_view Why) {
  Log.write(LogCategory::Outcome, "store_lost", "",
            {{"topic", Topic}, {"why", Why}});
}

void GatewayRuntime::onStoreRegained(std::string_view Topic) {
  Log.write(LogCategory::Outcome, "store_regained", "", {{"topic", Topic}});
}

void GatewayRuntime::onStoreRestored(std::uint64_t Era) {
  const FeedPosition Known = Feed.syncedPosition();
  Log.write(LogCategory::Outcome, "store_restored", "",
            {{"era", Era},
             {"operator_position", Known.Operator},
             {"endpoint_position", Known.Endpoints},
             {"version", Config ? Config->Version : 0}});
  Counters.counter("store_restored").add();
  FleetCoordination.storeRestored();
  StreamOrigins.storeRestored();
}

// ---- What endpoints state ---------------------------------------------------

void GatewayRuntime::onAvailabilityStatement(
    const std::string &EndpointId, std::int64_t StartedAtMs,
    const AvailabilityStatement &Statement) {
  const TimePoint Now = Time.now();
  if (Statement.Pause &&
      Table.recordPause(EndpointId, StartedAtMs, Now + *Statement.Pause)) {
    Counters.counter("endpoint_pauses", {{"endpoint", EndpointId}}).add();
    Log.write(LogCategory::Outcome, "endpoint_pause", "",
              {{"endpoint", EndpointId},
               {"started_at_ms", StartedAtMs},
               {"pause_ms", *Statement.Pause}});
  }
  if (!Statement.Leaving || !Table.recordLeaving(EndpointId, StartedAtMs))
    return;
  Log.write(LogCategory::Outcome, "endpoint_leaving", "",
            {{"endpoint", EndpointId},
             {"started_at_ms", StartedAtMs},
             {"source", "response"}});
  FleetCoordination.notifyStateChanged();
}

// ---- Periodic work --------------------------------------------------------

/// The timer is set before the work, so that an exception ends no later tick.
void GatewayRuntime::tick() {
  recordLag(TickTimer.expiry());
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      tick();
  });
  doPeriodicWork(Time.now());
}

void GatewayRuntime::recordLag(TimePoint DueAt) {
  const TimePoint Now = Time.now();
  if (DueAt != TimePoint{}) // not set for the first tick
    Lag.record(DueAt, Now);
  if (const auto Late = Lag.takeReport(Now))
    Log.write(LogCategory::Outcome, "loop_lag", "",
              {{"lag_ms", *Late}, {"open", Sessions.size()}});
}

void GatewayRuntime::doPeriodicWork(TimePoint Now) {
  const auto Step = [this](const auto &Work) {
    Guard.run(Boundary::Timer, "", Work);
  };
  Step([this] { FleetCoordination.tick(); });
  Step([&] {
    StreamOrigins.tick(FleetCoordination.isCoordinator(), EndpointsComplete,
                       Now);
  });
  Step([&] { Descriptors.tick(Now); });
  Step([this] {
    if (Config && FleetCoordination.isCoordinator())
      Stages.tick(Config);
    else
      Stages.stop();
  });
  Step([&] {
    Quota.setReportingShare(FleetCoordination.reportingShare(), Now);
    Table.setLimitShare(FleetCoordination.limitShare(), Now);
    FleetCoordination.slots().setKnownEntries(entriesSharingLimits(Now));
    Retries.setEntries(static_cast<unsigned>(entriesSharingLimits(Now)));
    updateColdStartLimits(Now);
  });
  if (ConfigIncomplete && Now - ConfigAppliedAt >= ConfigRetryDelay)
    applyConfig();
  Step([&] { logQuarantineChanges(Now); });
  Step([&] { pullChanges(Now); });
  if (Stopping)
    Step([this] { stopWhenIdle(); });
}

/// An entry that does not read the store gets the changes from one that does,
/// or from an entry in its zone that gets them first and relays them. If the
/// latter brings nothing new for some time, it is disconnected or has stopped,
/// and the entry that reads the store is asked.
std::string GatewayRuntime::chooseChangeSource(TimePoint Now) {
  const FleetSources Sources = FleetCoordination.changeSources();
  const FeedPosition Known = Feed.syncedPosition();
  if (Sources.StoreReader.empty() || !LastSynced.covers(Known)) {
    LastSynced = Known;
    SyncProgressAt = Now;
  }
  return Sources.Nearby.empty() || Now - SyncProgressAt > NearbySourceTimeout
             ? Sources.StoreReader
             : Sources.Nearby;
}

void GatewayRuntime::pullChanges(TimePoint Now) {
  const std::string Source = chooseChangeSource(Now);
  if (Source.empty() || Pulling || Now < NextPullAt)
    return;
  Pulling = true;
  NextPullAt = Now + MinPullInterval;
  const FeedPosition Known = Feed.syncedPosition();
  HttpCall Call;
  Call.Authority = Source;
  Call.Request = {"GET",
                  fmt::format("{}?operator={}&endpoints={}&era={}&config={}"
                              "&config_encoding=deflate",
                              StatePath, Known.Operator, Known.Endpoints,
                              Known.Era, Known.ConfigVersion),
                  {},
                  ""};
  Call.Timeout = PullTimeout;
  Call.Body = PullBodyLimits;
  const auto OnDone = [this, Source,
                       Now](const Result<HttpResponse> &Response) {
    Guard.run(Boundary::HttpClient, "",
              [&] { onChangesPulled(Source, Now, Response); });
  };
  if (!Guard.run(Boundary::HttpClient, "",
                 [&] { Http.call(std::move(Call), OnDone); }))
    Pulling = false;
}

void GatewayRuntime::onChangesPulled(const std::string &Source,
                                     TimePoint AskedAt,
                                     const Result<HttpResponse> &Response) {
  Pulling = false;
  const Duration ResponseTime = Time.now() - AskedAt;
  const Error *E = errorOf(Response);
  const bool Applied = !E && valueOf(Response).Status == 200;
  if (Applied)
    Feed.applyChanges(valueOf(Response).Body);
  else
    NextPullAt = Time.now() + PullRetryDelay;
  const FeedPosition Position = Feed.syncedPosition();
  Log.write(Applied ? LogCategory::Routine : LogCategory::Outcome,
            "changes_from_entry", "",
            {{"source", Source},
             {"operator_position", Position.Operator},
             {"endpoint_position", Position.Endpoints},
             {"era", Position.Era},
             {"bytes", E ? std::size_t{0} : valueOf(Response).Body.size()},
             {"response_ms", ResponseTime},
             {"outcome", E ? E->Message : std::string("answered")}});
}

/// Number of entries that share the fleet-wide limits.
std::size_t GatewayRuntime::entriesSharingLimits(TimePoint Now) const {
  const std::size_t Known = FleetCoordination.knownEntries();
  return Now - StartedAt < StartUpPeriod ? std::max(Known, AnnouncedEntryCount)
                                         : Known;
}

void GatewayRuntime::updateColdStartLimits(TimePoint Now) {
  if (!Config)
    return;
  applyStartLimits(Table, *Config, {Settings.ColdOverage, Settings.ColdSlack},
                   {entriesSharingLimits(Now),
                    FleetCoordination.reportingShare(),
                    FleetCoordination.isCoordinator()});
}

void GatewayRuntime::logQuarantineChanges(TimePoint Now) {
  logQuarantineChanges("part", Crashes.Prompts.quarantined(Now), LoggedParts);
  logQuarantineChanges("fingerprint", Crashes.Requests.quarantined(Now),
                       LoggedFingerprints);
}

void GatewayRuntime::logQuarantineChanges(
    std::string_view Field, const std::vector<routing::QuarantinedPart> &All,
    std::set<std::string> &Logged) {
  std::set<std::string> Ids;
  for (const routing::QuarantinedPart &Q : All) {
    Ids.insert(Q.Part);
    if (!Logged.contains(Q.Part))
      Log.write(LogCategory::Outcome, "quarantine_begins", "",
                {{Field, Q.Part},
                 {"crashes", Q.Crashes},
                 {"ends_in_ms", Q.Until - Time.now()}});
  }
  for (const std::string &Id : Logged)
    if (!Ids.contains(Id))
      Log.write(LogCategory::Outcome, "quarantine_ends", "", {{Field, Id}});
  Logged = std::move(Ids);
}

void GatewayRuntime::stop() {
  if (Stopping)
    return;
  Stopping = true;
  StopBeganAt = Time.now();
  CallerServer->disableKeepAlive();
  Guard.run(Boundary::Signal, "", [this] { FleetCoordination.beginStop(); });
  Guard.run(Boundary::Signal, "", [this] { Stages.stop(); });
  // A session whose deadline cannot be set fails and is erased.
  const auto Open = Sessions;
  for (const auto &[Key, Session] : Open)
    Session->endBy(stopDeadline());
  Log.write(LogCategory::Outcome, "stop", "", {{"open", Sessions.size()}});
}

void GatewayRuntime::stopWhenIdle() {
  const TimePoint Now = Time.now();
  const bool DeadlinePassed = Now >= stopDeadline();
  if (!Draining && (DeadlinePassed || Now - StopBeganAt >= StopAcceptPeriod)) {
    Draining = true;
    CallerServer->drain();
  }
  if (DeadlinePassed)
    CallerServer->refuseIncomplete(Protocol.rejection(
        routing::RejectReason::Draining, DrainingRetryAfter, ""));
  const bool MayEnd =
      Draining &&
      (DeadlinePassed || Now - StopBeganAt >= StopAcceptPeriod + MinDrainTime);
  const bool Idle = Sessions.empty() && CallerServer->busyConnections() == 0;
  if (!(MayEnd && Idle) && Now < processEnd())
    return;
  Context.stop();
  FleetCoordination.shutDown();
  Log.write(LogCategory::Outcome, "stopped", "", {{"open", Sessions.size()}});
}

} // namespace hyssoprail::gateway
