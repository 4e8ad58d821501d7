#include "hyssoprail/entry/entry_runtime.hpp"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include "hyssoprail/process/scheduling_strategy.hpp"

namespace hyssoprail::entry {
namespace {

/// Interval at which a drain looks for the end of the live requests.
constexpr milliseconds DrainPoll{20};

SchedulerOptions schedulerOptions(const EntrySettings &Settings) {
  SchedulerOptions Options;
  Options.EntryName = Settings.Process.Name;
  Options.Zone = Settings.Process.Zone;
  // The settings hold valid names only.
  Options.Scheduling =
      valueOf(makeSchedulingStrategy(policyName(Settings.Scheduling)));
  Options.Placement =
      valueOf(makePlacementStrategy(policyName(Settings.Placement)));
  return Options;
}

FreshnessOptions freshnessOptions(const EntrySettings &Settings) {
  return {Settings.KeyStaleness, Settings.OutageGrace, Settings.SuspectAfter};
}

FeedOptions feedOptions(const EntrySettings &Settings) {
  FeedOptions Options;
  Options.Name = Settings.Process.Name;
  Options.Zone = Settings.Process.Zone;
  Options.IsEntry = true;
  return Options;
}

MembershipOptions membershipOptions(const EntrySettings &Settings) {
  MembershipOptions Options;
  Options.SuspectAfter = Settings.SuspectAfter;
  return Options;
}

AdminOptions adminOptions(const EntrySettings &Settings) {
  AdminOptions Options;
  Options.ProcessName = Settings.Process.Name;
  Options.OperatorTokenDigest = Settings.OperatorTokenDigest;
  Options.KeySecret = Settings.KeySecret;
  return Options;
}

std::unique_ptr<LimitService> makeLimits(const EntrySettings &Settings,
                                         std::uint64_t Self,
                                         LimitDependencies Parts) {
  LimitOptions Options;
  Options.LeaseDuration = Settings.Lease;
  Options.OutageGrace = Settings.OutageGrace;
  return Settings.Limits == LimitsPolicy::Fixed
             ? makeFixedLimits(Options, Self, Parts)
             : makeOwnerLimits(Options, Self, Parts);
}

std::string peerAddress(const EntrySettings &Settings) {
  if (!Settings.Process.PeerAddress.empty())
    return Settings.Process.PeerAddress;
  return "tcp://" + Settings.Process.Address + ":0";
}

} // namespace

EntryRuntime::EntryRuntime(EntrySettings Given, const Clock &Time)
    : Settings(std::move(Given)), Time(Time),
      Incarnation(RandomSource(systemSeed()).identifier()),
      Events(Settings.Process.TimelineEvents, Time),
      Checks(Events, Settings.Process.FatalViolations), Random(systemSeed()),
      Freshness(freshnessOptions(Settings)), Flows(flowContext()),
      Scheduling(schedulerOptions(Settings), Checks, systemSeed(), Time),
      Requests(*this, Live, Time), Callers(callerContext()), Ticker(Control),
      Http(makeHttpClient(Control)), Platform(*Http, Settings.Platform),
      Follower(Control, Platform, Store, Time, feedOptions(Settings),
               [this](TimePoint Began) {
                 std::lock_guard Lock(FreshnessMutex);
                 Freshness.logRead(Began);
               }),
      Claims(Control, Platform, Store, Time, Settings.Process.Name),
      Admin(
          adminOptions(Settings), Store, Events,
          [this] { return fleetStatus(); }, Control, Platform, Time),
      Processes(membershipOptions(Settings)), LimitRandom(systemSeed()),
      Limits(makeLimits(Settings, Incarnation,
                        {Events, Checks, Measures, LimitRandom}),
             Store, Control, Platform, Time, Settings.Process.Name,
             limitPorts()),
      AgentLeases({}, Incarnation) {}

EntryRuntime::~EntryRuntime() { stop(); }

FlowContext EntryRuntime::flowContext() {
  return {Checks,
          Events,
          {},
          [this](std::string_view Digest, std::string_view Account) {
            return keyValid(Digest, Account);
          },
          [this](const FlowSpec &Spec, std::uint32_t Attempt, TimePoint) {
            return takeRetry(Spec, Attempt);
          }};
}

CallerApiContext EntryRuntime::callerContext() {
  return {Settings.KeySecret,
          Incarnation,
          Time,
          Requests,
          Flows,
          [this] { return Store.current(); },
          [this](std::string_view Id) { return Store.claim(Id); },
          [this] { return whyClosed(); },
          [this] { return whyKeysUnchecked(); },
          [this] { return metricsText(); },
          [this](const FlowSpec &Spec) {
            Retries.firstAttempt(Spec.Account, Spec.Pool);
          },
          [this] { Scheduling.pump(Requests, false); }};
}

Status EntryRuntime::start() {
  BusOptions Options;
  Options.Name = Settings.Process.Name;
  Options.Incarnation = Incarnation;
  Options.BindAddress = peerAddress(Settings);
  Sockets = makeZmqBus(Options, Time);
  PeerLinkOptions LinkOptions;
  LinkOptions.HeartbeatInterval = Settings.HeartbeatInterval;
  LinkOptions.SuspectAfter = Settings.SuspectAfter;
  PeerLinksCallbacks Callbacks;
  Callbacks.MakeHeartbeat = [this](const std::string &Address) {
    return makeHeartbeat(Address);
  };
  Callbacks.OnMessage = [this](const std::string &Address,
                               const wire::Envelope &Message) {
    onLinkMessage(Address, Message);
  };
  Callbacks.OnReplaced = [this](const std::string &Address) {
    onReplaced(Address);
  };
  Callbacks.OnIncarnation = [this](const std::string &Address,
                                   std::uint64_t Old, std::uint64_t) {
    onIncarnation(Address, Old);
  };
  Links = std::make_unique<PeerLinks>(*Sockets, Time, LinkOptions,
                                      std::move(Callbacks));
  Status Bound =
      Sockets->start([this](const BusSource &Source, wire::Envelope Message) {
        onBusMessage(Source, std::move(Message));
      });
  if (errorOf(Bound) != nullptr)
    return Bound;
  Status Listening = startServers();
  if (errorOf(Listening) != nullptr)
    return Listening;
  Members = std::make_unique<MembershipRecorder>(ownMember());
  startLinks();
  return std::monostate{};
}

Status EntryRuntime::startServers() {
  HttpServerOptions Options;
  Options.Address = Settings.Process.Address;
  Options.Port = Settings.Process.HttpPort;
  Options.Threads = Settings.Threads;
  Options.ErrorResponse = [](const Error &E) {
    return refusalResponse({E, true, ""});
  };
  CallerServer = makeHttpServer(
      Options, [this](const std::shared_ptr<HttpExchange> &Exchange) {
        Callers.handle(Exchange);
      });
  Options.Port = Settings.AdminPort;
  Options.Threads = 1;
  AdminServer = makeHttpServer(
      Options, [this](const std::shared_ptr<HttpExchange> &Exchange) {
        if (Exchange->request().path().starts_with("/admin/v1/"))
          return Admin.handle(Exchange);
        Callers.handleOwn(Exchange);
      });
  for (HttpServer *Server : {CallerServer.get(), AdminServer.get()}) {
    Status Started = Server->start();
    if (errorOf(Started) != nullptr)
      return Started;
  }
  return std::monostate{};
}

void EntryRuntime::startLinks() {
  Store.subscribe([this](const ConfigUpdate &Update) { onConfig(Update); });
  for (const std::string &Address : Settings.Entries)
    Links->ensure(Address);
  boost::asio::post(Control, [this] { scheduleTick(); });
  ControlThread = std::thread([this] { Control.run(); });
}

std::string EntryRuntime::readyLine() const {
  return "ready http=" + std::to_string(CallerServer->port()) +
         " peer=" + Sockets->boundAddress() +
         " admin=" + std::to_string(AdminServer->port());
}

void EntryRuntime::drain() {
  Draining = true;
  // The load balancer reads /readyz on new connections, so the server stays
  // open until the live requests have ended.
  while (Requests.size() > 0 || CallerServer->openExchanges() > 0)
    std::this_thread::sleep_for(DrainPoll);
  CallerServer->drain();
  // Limit shards get a new owner without waiting for this one to be missed.
  wire::Member Self = ownMember();
  Self.set_gone(true);
  boost::asio::post(Control, [this, Self] { appendMember(Self); });
}

void EntryRuntime::stop() {
  if (!ControlThread.joinable())
    return;
  Checks.check(Invariant::PlannedStop, !Draining || Requests.size() == 0,
               "requests are live at a planned stop");
  CallerServer->stop();
  AdminServer->stop();
  Control.stop();
  ControlThread.join();
  Sockets->stop();
}

void EntryRuntime::sendTo(const std::string &Endpoint, wire::Envelope Message) {
  Links->send(Directory.addressOf(Endpoint), std::move(Message));
}

void EntryRuntime::schedule(const FlowSpec &Spec, const FindPlacement &Ask) {
  Scheduling.submit(Spec, Ask);
}

void EntryRuntime::workEnded(const FlowSpec &Spec, const EndWork &End) {
  Scheduling.workEnded(Spec, End);
}

void EntryRuntime::requestEnded(const FlowSpec &Spec, std::uint32_t Tokens) {
  const MetricLabels Class = {{"class", wire::RouteClass_Name(Spec.Class)}};
  Measures.counter("hyssoprail_requests_total", Class).add();
  Measures.distribution("hyssoprail_request_seconds", Class)
      .record(
          std::chrono::duration<double>(Time.now() - Spec.Accepted).count());
  Measures.counter("hyssoprail_output_tokens_total").add(Tokens);
  Scheduling.requestEnded(Spec, Tokens);
  Limits.forget(Spec.RequestId);
}

std::optional<Status> EntryRuntime::debit(const FlowSpec &Spec,
                                          std::uint64_t Tokens) {
  return Limits.debit(Spec.RequestId, Spec.Account, Tokens);
}

void EntryRuntime::refund(const FlowSpec &Spec, std::uint64_t Tokens) {
  Limits.refund(Spec.RequestId, Spec.Account, Tokens);
}

void EntryRuntime::claim(const FlowSpec &Spec, const wire::Claim &Claim) {
  Claims.claim(Claim, [this, Id = Spec.RequestId](
                          const Result<wire::ClaimState> &Winner) {
    Requests.post(Id, [&](RequestFlow &F, TimePoint Now, FlowActions &Out) {
      F.claimed(Winner, Now, Out);
    });
    Scheduling.pump(Requests, false);
  });
}

void EntryRuntime::recordOutcome(const wire::ClaimOutcome &Outcome) {
  Claims.record(Outcome);
}

std::optional<Error> EntryRuntime::whyClosed() const {
  if (!Draining)
    return std::nullopt;
  return Error{ErrorKind::Unavailable, "the entry is shutting down",
               "send the request to another entry", "", milliseconds(1'000)};
}

std::optional<Error> EntryRuntime::whyKeysUnchecked() {
  std::vector<std::uint64_t> Others;
  for (const wire::MemberState &M : Store.members())
    if (M.member().incarnation() != Incarnation && !M.member().gone())
      Others.push_back(M.member().incarnation());
  std::lock_guard Lock(FreshnessMutex);
  return Freshness.whyStale(Time.now(), Store.current()->version(), Others);
}

std::string EntryRuntime::metricsText() {
  Measures.gauge("hyssoprail_requests_in_flight")
      .set(static_cast<double>(Requests.size()));
  Measures.gauge("hyssoprail_requests_queued")
      .set(static_cast<double>(Scheduling.queued()));
  Measures.gauge("hyssoprail_violations_total")
      .set(static_cast<double>(Checks.violations()));
  Measures.gauge("hyssoprail_configuration_version")
      .set(static_cast<double>(Store.current()->version()));
  Measures.gauge("hyssoprail_log_age_seconds")
      .set(static_cast<double>(logAge().count()) / 1000.0);
  return Measures.prometheusText();
}

bool EntryRuntime::keyValid(std::string_view Digest,
                            std::string_view Account) const {
  const ConfigPtr Config = Store.current();
  const wire::Key *Key = Config->keyByDigest(Digest);
  return Key != nullptr && Key->account() == Account &&
         Config->account(Account) != nullptr;
}

std::optional<Duration> EntryRuntime::takeRetry(const FlowSpec &Spec,
                                                std::uint32_t Attempt) {
  if (!Retries.takeRetry(Spec.Account, Spec.Pool))
    return std::nullopt;
  std::lock_guard Lock(RandomMutex);
  return Retries.backoff(Attempt, Random);
}

} // namespace hyssoprail::entry
