#include "hyssoprail/gateway/gateway_runtime.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/post.hpp>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/routing/stream_request.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::AccountPolicy;
using routing::FlowRequest;
using routing::RouteKind;

/// Shares of the configured quota tolerance that this entry grants. The rest is
/// kept in reserve for the grants of other entries, which become known late, or
/// not at all during a network partition.
constexpr double QuotaOverageShare = 0;
constexpr double QuotaSlackShare = 0.05;

constexpr unsigned StatusInternalError = 500;

/// A streamed response is aborted if its caller has this much left to read.
constexpr std::size_t MaxUnsentBytes = std::size_t{1024} * 1024;

constexpr std::size_t BytesPerMb = std::size_t{1024} * 1024;

/// Memory of the process itself: 10 MB for the program and what it knows of the
/// fleet, 17 MB for 3,000 idle connections, and what the allocator and the
/// connections to endpoints need besides.
constexpr std::size_t ProcessBaseMb = 40;

/// With less than this, no large request would be served.
constexpr std::size_t MinCallerMemoryMb = 8;

std::size_t callerMemoryBytes(const GatewaySettings &S) {
  const std::size_t Base = ProcessBaseMb + MinCallerMemoryMb;
  return (std::max(S.MemoryMb, Base) - ProcessBaseMb) * BytesPerMb;
}

routing::QuotaTolerance quotaTolerance(const GatewaySettings &S) {
  return {S.QuotaOverage * QuotaOverageShare,
          S.QuotaSlackTokens * QuotaSlackShare};
}

} // namespace

GatewayRuntime::GatewayRuntime(boost::asio::io_context &Context,
                               GatewaySettings Settings, const Clock &Time,
                               const EndpointProtocol &Protocol,
                               FleetFeed &Feed, HttpClient &Http,
                               DecisionLog &Log, HandlerGuard &Guard)
    : Context(Context),
      CallerWork(boost::asio::use_service<DeferredWork>(Context)),
      Settings(std::move(Settings)), Time(Time), Protocol(Protocol), Feed(Feed),
      Http(Http), Log(Log), Guard(Guard), Random(systemSeed()),
      Incarnation(Random.identifier()), StartedAt(Time.now()),
      Quota(quotaTolerance(this->Settings)),
      Retries({this->Settings.RetryRatio, this->Settings.RetrySlack,
               this->Settings.RetryWindow}),
      EngineSignals(Table), Crashes(Incarnation),
      Peers(Context,
            [this](std::string_view Why) {
              this->Guard.report(Boundary::Peer, "", Why);
            }),
      FleetCoordination(
          Context, this->Settings, Incarnation, Time, Log, Peers,
          {Table, EngineSignals, Crashes, Quota, Feed, &EngineWork},
          {[this](const auto &Decisions) { onDecisions(Decisions); },
           [this](const auto &Decisions) { onDecisions(Decisions); },
           [this](const auto &Decisions) { onDecisions(Decisions); }}),
      Stages(this->Settings.Name, Time, Table, FleetCoordination.scheduler(),
             Feed, Http, Protocol, Log, this->Settings.Overload,
             [this](const std::string &Id, std::int64_t StartedAtMs,
                    const AvailabilityStatement &Statement) {
               onAvailabilityStatement(Id, StartedAtMs, Statement);
             }),
      StreamOrigins(Table, Feed, Time, Log),
      Endpoints(makeUpstreamClient(Context)),
      Descriptors(descriptorLimit(this->Settings.FileDescriptors), *Endpoints,
                  Http),
      CallerMemory(
          std::make_shared<MemoryAccount>(callerMemoryBytes(this->Settings))),
      TickTimer(Context) {}

GatewayRuntime::~GatewayRuntime() = default;

std::unique_ptr<HttpServer>
GatewayRuntime::makeServer(const std::string &Address, HttpHandler Handler) {
  return makeServer(Address, {}, std::move(Handler));
}

std::unique_ptr<HttpServer>
GatewayRuntime::makeServer(const std::string &Address,
                           HttpServerOptions Options, HttpHandler Handler) {
  const HostPort At = splitHostPort(Address);
  Options.Address = At.Ip;
  Options.Port = At.Port;
  Options.MaxUnsentBytes = MaxUnsentBytes;
  Options.FreeDescriptors = [this] { return Descriptors.makeRoom(); };
  return makeHttpServer(
      Context, std::move(Options),
      [this, Handler = std::move(Handler)](const Exchange &Caller) {
        if (!Guard.run(Boundary::Request, Protocol.requestId(Caller->request()),
                       [&] { Handler(Caller); }))
          Caller->respond(Protocol.failure(
              StatusInternalError, Protocol.requestId(Caller->request())));
      });
}

Status GatewayRuntime::start() {
  CallerServer = makeServer(Settings.CallerAddress, callerServerOptions(),
                            [this](const Exchange &E) { handle(E); });
  ReadyServer = makeServer(Settings.ReadyAddress,
                           [this](const Exchange &E) { handleReadiness(E); });
  if (!Settings.MetricsAddress.empty())
    MetricsServer =
        makeServer(Settings.MetricsAddress,
                   [this](const Exchange &E) { handleInternal(E); });
  for (HttpServer *Server :
       {CallerServer.get(), ReadyServer.get(), MetricsServer.get()}) {
    if (!Server)
      continue;
    if (Status S = Server->start(); !succeeded(S))
      return S;
  }
  if (Status S = FleetCoordination.start(); !succeeded(S))
    return S;
  Log.write(LogCategory::Outcome, "start", "",
            {{"zone", Settings.Zone},
             {"callers", Settings.CallerAddress},
             {"peers", Settings.PeerAddress},
             {"store", Settings.Store}});
  Feed.start(*this, {Settings.Name, Settings.PeerAddress, Settings.Weight});
  tick();
  return std::monostate{};
}

void GatewayRuntime::reload(const Result<GatewaySettings> &Next) {
  if (const Error *E = errorOf(Next)) {
    Log.write(LogCategory::Outcome, "reload", "",
              {{"outcome", "kept the last settings"},
               {"field", E->Field},
               {"why", E->Message}});
    return;
  }
  const GatewaySettings &N = valueOf(Next);
  const auto Fixed = [](const GatewaySettings &S) {
    return std::tie(S.Name, S.Zone, S.CallerAddress, S.ReadyAddress,
                    S.MetricsAddress, S.PeerAddress, S.Store, S.Weight,
                    S.RetryWindow, S.UsePrefillEngines, S.MemoryMb);
  };
  const bool NeedsRestart = Fixed(N) != Fixed(Settings);
  // The time of SIGKILL may follow the settings of either file, so a stop that
  // has begun is only brought forward.
  Settings.StopGrace =
      Stopping ? std::min(Settings.StopGrace, N.StopGrace) : N.StopGrace;
  if (Stopping)
    for (const auto &[Key, Session] : Sessions)
      Session->endBy(stopDeadline());
  Settings.ColdOverage = N.ColdOverage;
  Settings.ColdSlack = N.ColdSlack;
  Quota.setTolerance(quotaTolerance(N));
  Retries.setBudget(N.RetryRatio, N.RetrySlack);
  updateColdStartLimits(Time.now());
  Log.write(
      LogCategory::Outcome, "reload", "",
      {{"outcome",
        NeedsRestart ? "budgets taken, the rest needs a restart" : "taken"}});
}

// ---- Requests -------------------------------------------------------------

void GatewayRuntime::startSession(const Exchange &Caller, FlowRequest Request,
                                  double QuotaTokens) {
  ++NextSessionKey;
  Log.write(LogCategory::Routine, "admit", Request.Info.Id,
            {{"route", Request.Route.Name},
             {"account", Request.Account},
             {"service", Request.Service},
             {"deadline_ms", Request.Info.Deadline},
             {"tokens", QuotaTokens},
             {"parts", boost::algorithm::join(Request.Info.PromptParts, ",")},
             {"fingerprint", Request.Info.Fingerprint},
             {"beyond_quota", Request.BeyondQuota},
             {"first_attempt", Request.Info.FirstAttempt},
             {"version", Config->Version},
             {"version_age_ms", Time.now() - ConfigAppliedAt}});
  Retries.recordRequest(Request.Service, Time.now());
  if (Request.SendsPriority && routing::isReturning(Request))
    Counters
        .counter("generations_returned",
                 {{"service", Request.Service},
                  {"priority", std::to_string(Request.Priority)}})
        .add();
  const std::string Key = Request.SessionId;
  const bool IsStream = Request.Route.Kind == RouteKind::Stream;
  SessionHooks Hooks = sessionHooks(Request, QuotaTokens);
  auto Session = std::make_shared<RequestSession>(
      SessionServices{Context, Time, *Endpoints, Protocol, Log, CallerMemory,
                      Guard},
      std::move(Hooks), Caller, std::move(Request));
  Sessions.emplace(Key, Session);
  Session->start([this, IsStream](FlowRequest R, routing::FlowIo &Io) {
    const routing::SharedFlowState Shared{
        Table,
        EngineSignals,
        Crashes,
        FleetCoordination.admission(),
        FleetCoordination.calls(),
        Retries,
        Lengths,
        Settings.Zone,
        &EngineWork,
        FleetCoordination.rollouts().usedGate(),
        &FleetCoordination.slots(),
        &StreamOrigins.versions()};
    return IsStream ? makeStreamFlow(Shared, std::move(R), Io)
                    : makeCallFlow(Shared, std::move(R), Io);
  });
}

SessionHooks GatewayRuntime::sessionHooks(const FlowRequest &Request,
                                          double QuotaTokens) {
  const std::string &Key = Request.SessionId;
  const routing::RequestInfo &Info = Request.Info;
  const std::string &Service = Request.Service;
  SessionHooks Hooks;
  Hooks.StillAllowed = [this, Key] { return stillAllowed(Key); };
  Hooks.AdmissionChanged = [this] { FleetCoordination.notifyStateChanged(); };
  Hooks.OnLegStart = [this](const std::string &EndpointId) {
    Counters.counter("endpoint_sends", {{"endpoint", EndpointId}}).add();
  };
  Hooks.RegisteredStart =
      [this](const std::string &EndpointId) -> std::optional<std::int64_t> {
    const routing::Endpoint *E = Table.find(EndpointId);
    return E ? std::optional(E->Record.StartedAtMs) : std::nullopt;
  };
  Hooks.RegistrationsKnownUntil = [this] {
    const Duration Age = Feed.dataAge();
    return Age == Duration::max() ? TimePoint{} : Time.now() - Age;
  };
  Hooks.OnLimitStatement = [this](const std::string &EndpointId,
                                  const LimitStatement &Statement) {
    onLimitStatement(EndpointId, Statement);
  };
  Hooks.OnAvailabilityStatement =
      [this](const std::string &EndpointId, std::int64_t StartedAtMs,
             const AvailabilityStatement &Statement) {
        onAvailabilityStatement(EndpointId, StartedAtMs, Statement);
      };
  Hooks.RecordVersion = [this, Id = Info.Id](const std::string &Version,
                                             routing::RecordNeed Need,
                                             std::function<void(bool)> OnDone) {
    StreamOrigins.record(Id, Version, std::move(OnDone), Need);
  };
  Hooks.OnStreamBegan = [this, Id = Info.Id,
                         Service](const std::string &Version) {
    StreamOrigins.began(Id, Service, Version);
  };
  Hooks.FindVersion = [this, Key](StreamVersionExchange::FindHandler OnDone) {
    findVersion(Key, std::move(OnDone));
  };
  Hooks.OnEnd = [this, Key, QuotaTokens](const SessionResult &R) {
    sessionEnded(Key, QuotaTokens, R);
  };
  return Hooks;
}

/// A stream goes on only at the service and at the version that began it.
void GatewayRuntime::findVersion(const std::string &Key,
                                 StreamVersionExchange::FindHandler OnDone) {
  const auto Session = Sessions.find(Key);
  if (Session == Sessions.end())
    return OnDone(std::nullopt);
  const FlowRequest &R = Session->second->request();
  const TimePoint Since = Time.now() - StreamOrigins.lifetime();
  if (!PastRoutes.mayHaveBegunElsewhere(R.Info, R.Service, Since))
    return StreamOrigins.find(R.Info.FirstAttempt, R.Service,
                              std::move(OnDone));
  Log.write(
      LogCategory::Outcome, "version_found", R.Info.FirstAttempt,
      {{"service", R.Service}, {"version", ""}, {"source", "route_moved"}});
  OnDone(std::nullopt);
}

/// Checks the API key of a request that has waited against the present
/// configuration, which may have changed since the request was admitted.
bool GatewayRuntime::stillAllowed(const std::string &Key) const {
  const auto It = Sessions.find(Key);
  if (It == Sessions.end())
    return false;
  const FlowRequest &R = It->second->request();
  if (R.Account.empty())
    return true;
  const AccountPolicy *Account = Config->accountOfKey(R.Info.ApiKey);
  return Account && Account->Name == R.Account;
}

void GatewayRuntime::sessionEnded(const std::string &Key, double QuotaTokens,
                                  const SessionResult &Result) {
  // Taken out first: a session that stays would keep the process from ending.
  const auto Ended = Sessions.extract(Key);
  if (Ended.empty())
    return;
  const FlowRequest &R = Ended.mapped()->request();
  if (!Result.MayHaveRun && !R.Account.empty())
    Quota.refund(R.Account, QuotaTokens, Time.now());
  Log.write(Result.Outcome == "answered" ? LogCategory::Routine
                                         : LogCategory::Outcome,
            "end", R.Info.Id,
            {{"outcome", Result.Outcome},
             {"reason", Result.Reason},
             {"status", Result.Status},
             {"first_event_ms", Result.FirstEventDelay},
             {"total_ms", Result.TotalTime}});
  const MetricLabels Labels{{"route", R.Route.Name},
                            {"outcome", std::string(Result.Outcome)},
                            {"reason", std::string(Result.Reason)}};
  Counters.counter("requests", Labels).add();
  Counters.distribution("request_ms", {{"route", R.Route.Name}})
      .record(
          std::chrono::duration<double, std::milli>(Result.TotalTime).count());
  if (Stopping)
    stopWhenIdle();
}

// ---- Admission ------------------------------------------------------------

/// Counts decisions on generations under the overload policy.
template <typename Decision>
void GatewayRuntime::countDecision(const FlowRequest &R, const Decision &D) {
  constexpr bool IsPlacement =
      std::is_same_v<Decision, routing::StreamPlacement>;
  constexpr bool IsRefusal = std::is_same_v<Decision, routing::StreamRefusal>;
  if constexpr (IsPlacement || IsRefusal) {
    if (!R.SendsPriority)
      return;
    std::string Result;
    if constexpr (IsRefusal)
      Result = routing::streamRefusalName(D.Reason);
    else
      Result = Time.now() + routing::TimeToFirstEvent <=
                       R.Arrival + R.Route.LatencyObjective
                   ? "placed_on_time"
                   : "placed_late";
    Counters
        .counter("generations_decided",
                 {{"service", R.Service},
                  {"priority", std::to_string(R.Priority)},
                  {"result", Result}})
        .add();
  }
}

template <typename Decision>
void GatewayRuntime::onDecisions(const std::vector<Decision> &Decisions) {
  for (const Decision &Any : Decisions)
    std::visit(
        [this](const auto &D) {
          const auto It = Sessions.find(routing::sessionOfPlacement(D.Id));
          if (It == Sessions.end())
            return;
          const auto Session = It->second; // may end and be erased
          countDecision(Session->request(), D);
          Session->onDecision(D);
        },
        Any);
}

void GatewayRuntime::onLimitStatement(const std::string &EndpointId,
                                      const LimitStatement &Statement) {
  if (!FleetCoordination.calls().recordResponse(EndpointId, Statement.PerSecond,
                                                Time.now()))
    return;
  Log.write(LogCategory::Outcome, "endpoint_limit", "",
            {{"endpoint", EndpointId},
             {"limit_per_s", Statement.PerSecond.value_or(0)},
             {"share", FleetCoordination.limitShare()}});
  FleetCoordination.notifyStateChanged();
}

} // namespace hyssoprail::gateway
