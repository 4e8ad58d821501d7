#include "hyssoprail/gateway/gateway_runtime.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/post.hpp>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/process/query.hpp"
#include "hyssoprail/routing/request_fingerprint.hpp"
#include "hyssoprail/routing/stream_request.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::AccountPolicy;
using routing::FlowRequest;
using routing::RejectReason;
using routing::RequestInfo;
using routing::RouteKind;
using routing::RoutePolicy;

/// Shares of the configured quota tolerance that this entry grants. The rest is
/// kept in reserve for the grants of other entries, which become known late, or
/// not at all during a network partition.
constexpr double QuotaOverageShare = 0;
constexpr double QuotaSlackShare = 0.05;

constexpr milliseconds NoConfigurationRetryAfter{400};
constexpr milliseconds MinQuotaRetryAfter{100};

/// Time to allow for a stream from its arrival to its first event, and the
/// factor by which it may run longer than estimated.
constexpr milliseconds ExpectedFirstEventTime{400};
constexpr double RunTimeSafetyFactor = 1.5;

/// Longest run time of nearly all calls, in multiples of their route's
/// objective.
constexpr int CallRunTimeInObjectives = 3;

/// A streamed response is aborted if its caller has this much left to read.
constexpr std::size_t MaxUnsentBytes = std::size_t{1024} * 1024;

/// Memory for buffered responses of endpoints that are not complete yet.
constexpr std::size_t ResponseBufferBytes = std::size_t{16} * 1024 * 1024;

routing::QuotaTolerance quotaTolerance(const GatewaySettings &S) {
  return {S.QuotaOverage * QuotaOverageShare,
          S.QuotaSlackTokens * QuotaSlackShare};
}

} // namespace

GatewayRuntime::GatewayRuntime(boost::asio::io_context &Context,
                               GatewaySettings Settings, const Clock &Time,
                               const EndpointProtocol &Protocol,
                               FleetFeed &Feed, HttpClient &Http,
                               DecisionLog &Log)
    : Context(Context), Settings(std::move(Settings)), Time(Time),
      Protocol(Protocol), Feed(Feed), Http(Http), Log(Log),
      Random(systemSeed()), Incarnation(Random.identifier()),
      StartedAt(Time.now()), Quota(quotaTolerance(this->Settings)),
      Retries({this->Settings.RetryRatio, this->Settings.RetrySlack,
               this->Settings.RetryWindow}),
      EngineSignals(Table), Crashes(Incarnation), Peers(Context),
      FleetCoordination(
          Context, this->Settings, Incarnation, Time, Log, Peers,
          {Table, EngineSignals, Crashes, Quota, Feed},
          {[this](const auto &Decisions) { onDecisions(Decisions); },
           [this](const auto &Decisions) { onDecisions(Decisions); }}),
      Stages(this->Settings.Name, Time, Table, FleetCoordination.scheduler(),
             Feed, Http, Protocol, Log,
             [this](const std::string &Id, std::int64_t StartedAtMs,
                    const AvailabilityStatement &Statement) {
               onAvailabilityStatement(Id, StartedAtMs, Statement);
             }),
      Endpoints(makeUpstreamClient(Context)), BufferBudget(ResponseBufferBytes),
      TickTimer(Context) {}

GatewayRuntime::~GatewayRuntime() = default;

std::unique_ptr<HttpServer>
GatewayRuntime::makeServer(const std::string &Address, HttpHandler Handler) {
  const HostPort At = splitHostPort(Address);
  HttpServerOptions Options;
  Options.Address = At.Ip;
  Options.Port = At.Port;
  Options.MaxUnsentBytes = MaxUnsentBytes;
  return makeHttpServer(Context, std::move(Options), std::move(Handler));
}

Status GatewayRuntime::start() {
  CallerServer = makeServer(Settings.CallerAddress,
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
                    S.RetryWindow, S.UsePrefillEngines);
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

void GatewayRuntime::stop() {
  if (Stopping)
    return;
  Stopping = true;
  StopBeganAt = Time.now();
  CallerServer->disableKeepAlive();
  FleetCoordination.beginStop();
  Stages.stop();
  for (const auto &[Key, Session] : Sessions)
    Session->endBy(stopDeadline());
  Log.write(LogCategory::Outcome, "stop", "", {{"open", Sessions.size()}});
}

// ---- Requests -------------------------------------------------------------

void GatewayRuntime::handle(const Exchange &Caller) {
  Result<RequestInfo> Decoded = Protocol.decode(Caller->request());
  if (const Error *E = errorOf(Decoded)) {
    Log.write(LogCategory::Outcome, "bad_request", "", {{"field", E->Field}});
    return Caller->respond(jsonResponse(400, "{\"error\":\"bad request\"}"));
  }
  RequestInfo &Info = valueOf(Decoded);
  if (!Config)
    return rejectAtOnce(Caller, Info, RejectReason::NoConfiguration,
                        NoConfigurationRetryAfter);
  const RoutePolicy *Route = Config->route(Info.Host, Info.Path);
  if (!Route)
    return rejectAtOnce(Caller, Info, RejectReason::NoRoute, {});
  if (cannotFinishBeforeStop(*Route, Info))
    return rejectAtOnce(Caller, Info, RejectReason::Draining,
                        DrainingRetryAfter);
  admit(Caller, std::move(Info), *Route);
}

/// After a stop has begun, callers still send requests on their open
/// connections. Requests that would not end within the stop grace are rejected,
/// so that the caller sends them to another entry.
bool GatewayRuntime::cannotFinishBeforeStop(const RoutePolicy &Route,
                                            const RequestInfo &Info) const {
  if (!Stopping)
    return false;
  if (Route.Kind != RouteKind::Stream)
    return Time.now() + Route.LatencyObjective * CallRunTimeInObjectives >
           stopDeadline();
  const std::uint32_t Tokens = Lengths.estimate(
      Info.OutputHint, Info.Tokens ? Info.Tokens->MaxOutput : 0);
  const auto RunTime = std::chrono::duration_cast<Duration>(
      Lengths.generationTime(Tokens) * RunTimeSafetyFactor);
  return Draining ||
         Time.now() + ExpectedFirstEventTime + RunTime > stopDeadline();
}

void GatewayRuntime::admit(const Exchange &Caller, RequestInfo Info,
                           const RoutePolicy &Route) {
  const AccountPolicy *Account =
      Info.ApiKey.empty() ? nullptr : Config->accountOfKey(Info.ApiKey);
  if (!Account && Config->requiresKeys() && !Route.AllowAnonymous)
    return rejectAtOnce(Caller, Info, RejectReason::NoKey, {});
  if (Route.Kind != RouteKind::Stream || Info.PromptParts.empty())
    Info.Fingerprint = routing::requestFingerprint(
        Caller->request(), Info.Host, Account ? Account->Name : "");
  if (Crashes.watch(Info).isQuarantined(Time.now()))
    return rejectAtOnce(Caller, Info, RejectReason::Quarantined,
                        routing::QuarantineRetryAfter);
  double Tokens = 0;
  bool BeyondQuota = false;
  if (Account) {
    Tokens = Info.Tokens ? double(Info.Tokens->Prompt) + Info.Tokens->MaxOutput
                         : Account->DefaultTokens;
    const routing::QuotaDecision D =
        Quota.take(Account->Name, Tokens, Time.now());
    if (!D.Granted) {
      Log.write(LogCategory::Outcome, "over_quota", Info.Id,
                {{"account", Account->Name},
                 {"tokens", Tokens},
                 {"debt", D.Debt},
                 {"burst", D.Burst},
                 {"version", Config->Version}});
      return rejectAtOnce(
          Caller, Info, RejectReason::OverQuota,
          std::max(MinQuotaRetryAfter,
                   std::chrono::duration_cast<milliseconds>(D.RetryAfter)));
    }
    BeyondQuota = D.BeyondQuota;
  }
  FlowRequest Request = flowRequest(std::move(Info), Route, Account);
  Request.BeyondQuota = BeyondQuota;
  startSession(Caller, std::move(Request), Tokens);
}

FlowRequest GatewayRuntime::flowRequest(RequestInfo Info,
                                        const RoutePolicy &Route,
                                        const AccountPolicy *Account) const {
  FlowRequest R;
  R.SessionId = std::to_string(NextSessionKey);
  R.Route = Route;
  R.Service = chooseService(Route, stableHash(Info.Id));
  if (Account)
    R.Account = Account->Name;
  R.Priority =
      Account && Account->Priority ? *Account->Priority : Route.Priority;
  R.Arrival = Time.now();
  const milliseconds CallerTimeout =
      Info.Deadline > milliseconds(0) ? std::min(Info.Deadline, Route.Timeout)
                                      : Route.Timeout;
  R.AnswerBy = R.Arrival + CallerTimeout;
  // The process ends at that time even if the endpoint has not answered, so the
  // caller gets a final answer before it.
  if (Stopping)
    R.AnswerBy = std::min(R.AnswerBy, stopDeadline());
  const routing::ServicePolicy *Service = Config->service(R.Service);
  if (Service && Service->Engine) {
    R.HandleRetention = Service->Engine->HandleRetention;
    R.EventTokens = Service->Engine->EventTokens;
  }
  R.Info = std::move(Info);
  return R;
}

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
             {"version", Config->Version},
             {"version_age_ms", Time.now() - ConfigAppliedAt}});
  Retries.recordRequest(Request.Service, Time.now());
  const std::string Key = Request.SessionId;
  const bool IsStream = Request.Route.Kind == RouteKind::Stream;
  auto Session = std::make_shared<RequestSession>(
      SessionServices{Context, Time, *Endpoints, Protocol, Log, BufferBudget},
      sessionHooks(Key, QuotaTokens), Caller, std::move(Request));
  Sessions.emplace(Key, Session);
  Session->start([this, IsStream](FlowRequest R, routing::FlowIo &Io) {
    const routing::SharedFlowState Shared{Table,
                                          EngineSignals,
                                          Crashes,
                                          FleetCoordination.admission(),
                                          FleetCoordination.calls(),
                                          Retries,
                                          Lengths,
                                          Settings.Zone};
    return IsStream ? makeStreamFlow(Shared, std::move(R), Io)
                    : makeCallFlow(Shared, std::move(R), Io);
  });
}

SessionHooks GatewayRuntime::sessionHooks(const std::string &Key,
                                          double QuotaTokens) {
  SessionHooks Hooks;
  Hooks.StillAllowed = [this, Key] { return stillAllowed(Key); };
  Hooks.AdmissionChanged = [this] { FleetCoordination.notifyStateChanged(); };
  Hooks.OnLegStart = [this](const std::string &EndpointId) {
    Counters.counter("endpoint_sends", {{"endpoint", EndpointId}}).add();
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
  Hooks.OnEnd = [this, Key, QuotaTokens](const SessionResult &R) {
    sessionEnded(Key, QuotaTokens, R);
  };
  return Hooks;
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
  const auto It = Sessions.find(Key);
  if (It == Sessions.end())
    return;
  const FlowRequest &R = It->second->request();
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
  Sessions.erase(It);
  if (Stopping)
    stopWhenIdle();
}

void GatewayRuntime::rejectAtOnce(const Exchange &Caller,
                                  const RequestInfo &Info, RejectReason Reason,
                                  milliseconds RetryAfter) {
  Log.write(LogCategory::Outcome, "reject", Info.Id,
            {{"reason", rejectReasonName(Reason)},
             {"retry_after_ms", RetryAfter},
             {"version", Config ? Config->Version : 0}});
  Counters
      .counter("rejections",
               {{"reason", std::string(rejectReasonName(Reason))}})
      .add();
  Caller->respond(Protocol.rejection(Reason, RetryAfter, Info.Id));
}

// ---- Admission ------------------------------------------------------------

template <typename Decision>
void GatewayRuntime::onDecisions(const std::vector<Decision> &Decisions) {
  for (const Decision &Any : Decisions)
    std::visit(
        [this](const auto &D) {
          const auto It = Sessions.find(routing::sessionOfPlacement(D.Id));
          if (It == Sessions.end())
            return;
          const auto Session = It->second; // may end and be erased
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

// ---- Readiness and metrics ------------------------------------------------

bool GatewayRuntime::ready() const {
  return !Stopping && Config && EndpointsComplete;
}

void GatewayRuntime::handleReadiness(const Exchange &Caller) {
  Caller->respond(jsonResponse(ready() ? 200 : 503, "{}"));
}

void GatewayRuntime::handleInternal(const Exchange &Caller) {
  if (Caller->request().path() == StatePath)
    return handleState(Caller);
  handleMetrics(Caller);
}

/// Answers an entry that does not read the store with the changes since the
/// positions that it has.
void GatewayRuntime::handleState(const Exchange &Caller) {
  const Query Known = parseQuery(Caller->request().Target);
  Caller->respond(jsonResponse(
      200, Feed.changesSince(
               {queryNumber(Known, "operator"), queryNumber(Known, "endpoints"),
                queryNumber(Known, "era"), queryNumber(Known, "config")})));
}

void GatewayRuntime::handleMetrics(const Exchange &Caller) {
  updateGauges();
  HttpResponse Response;
  Response.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Response.Body = Counters.prometheusText();
  Caller->respond(std::move(Response));
}

void GatewayRuntime::updateGauges() {
  const TimePoint Now = Time.now();
  Counters.gauge("requests_open").set(double(Sessions.size()));
  Counters.gauge("streams_waiting")
      .set(double(FleetCoordination.waitingStreams()));
  Counters.gauge("fleet_streams_waiting")
      .set(double(FleetCoordination.fleetQueueLength()));
  Counters.gauge("coordinates").set(FleetCoordination.isCoordinator() ? 1 : 0);
  Counters.gauge("entries_known").set(double(FleetCoordination.knownEntries()));
  Counters.gauge("entries_heard_share").set(FleetCoordination.reportingShare());
  Counters.gauge("config_version").set(Config ? double(Config->Version) : 0);
  Counters.gauge("store_age_seconds")
      .set(std::chrono::duration<double>(
               std::min<Duration>(Feed.dataAge(), MaxReportedAge))
               .count());
  Counters.gauge("store_calls").set(double(Feed.storeCalls()));
  Counters.gauge("engine_crashes_remembered")
      .set(double(Crashes.Prompts.crashCount()));
  Counters.gauge("prompt_parts_quarantined")
      .set(double(Crashes.Prompts.quarantined(Now).size()));
  Counters.gauge("request_crashes_remembered")
      .set(double(Crashes.Requests.crashCount()));
  Counters.gauge("requests_quarantined")
      .set(double(Crashes.Requests.quarantined(Now).size()));
  Counters.gauge("log_lines_dropped").set(double(Log.dropped()));
  const UpstreamCounters &U = Endpoints->counters();
  Counters.gauge("answer_bytes_held").set(double(BufferBudget.reserved()));
  Counters.gauge("endpoint_connects").set(double(U.Connects));
  Counters.gauge("endpoint_reuses").set(double(U.Reuses));
  Counters.gauge("endpoint_stale_answers").set(double(U.StaleResponses));
  Table.forEach([&](routing::Endpoint &E) {
    const MetricLabels Label{{"endpoint", E.Record.Id}};
    Counters.gauge("endpoint_runs", Label).set(E.totalLoad().Runs);
    Counters.gauge("endpoint_tokens", Label).set(double(E.totalLoad().Tokens));
    Counters.gauge("endpoint_failure_share", Label)
        .set(E.Health.failureShare());
    Counters.gauge("endpoint_limit_per_second", Label)
        .set(E.Limit.perSecond().value_or(0));
    Counters.gauge("endpoint_leaving", Label)
        .set(E.Availability.leaving() ? 1 : 0);
    Counters.gauge("endpoint_pause_seconds", Label)
        .set(std::chrono::duration<double>(
                 std::max(Duration{0}, E.Availability.pausedUntil() - Now))
                 .count());
    Counters.gauge("endpoint_usable", Label).set(E.Health.usable(Now) ? 1 : 0);
  });
}

} // namespace hyssoprail::gateway
