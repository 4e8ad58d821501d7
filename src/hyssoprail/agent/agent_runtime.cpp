#include "hyssoprail/agent/agent_runtime.hpp"

#include <csignal>
#include <cstdio>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/log.hpp"
#include "hyssoprail/process/timeline_json.hpp"

namespace hyssoprail {
namespace {

/// Interval between calls of AgentCore::onTick.
constexpr milliseconds TickInterval{25};

constexpr std::string_view Version = "0.1.0";

/// Returns the value of the parameter \p Name in the query string of \p Target
/// without decoding it, or "" if the parameter is absent.
std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t Separator = Target.find('?');
  while (Separator != std::string_view::npos) {
    const std::size_t End = Target.find('&', Separator + 1);
    const std::string_view Parameter = Target.substr(
        Separator + 1,
        End == std::string_view::npos ? End : End - Separator - 1);
    const std::size_t EqualSign = Parameter.find('=');
    if (EqualSign != std::string_view::npos &&
        Parameter.substr(0, EqualSign) == Name)
      return std::string(Parameter.substr(EqualSign + 1));
    Separator = End;
  }
  return {};
}

HttpResponse plainText(std::string Body) {
  return {
      200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(Body)};
}

} // namespace

AgentRuntime::AgentRuntime(AgentSettings Settings, const Clock &Time,
                           AgentConfig &Config)
    : Settings(std::move(Settings)), Time(Time), Log(logger("agent")),
      Incarnation(RandomSource(systemSeed()).identifier()),
      Events(this->Settings.Process.TimelineEvents, Time),
      Checks(Events, this->Settings.Process.FatalViolations),
      TickTimer(Context), Signals(Context, SIGTERM, SIGINT),
      Client(makeHttpClient(Context)),
      EngineApi(*Client, this->Settings.Engine,
                [this](const AgentResult &Result) {
                  Core.onResult(Result, this->Time.now());
                  performActions();
                }),
      Core(agentOptions(), Config, Events, Checks, Time.now()) {}

AgentRuntime::~AgentRuntime() = default;

AgentOptions AgentRuntime::agentOptions() const {
  AgentOptions Options;
  Options.Name = Settings.Process.Name;
  Options.Zone = Settings.Process.Zone;
  Options.Endpoint = Settings.Endpoint;
  Options.Incarnation = Incarnation;
  Options.Kind = Settings.Kind == EndpointKind::Engine ? AgentKind::Engine
                                                       : AgentKind::Service;
  Options.EngineAddress = Settings.Engine;
  Options.LeaseTimeout = Settings.Lease;
  return Options;
}

Status AgentRuntime::start() {
  MessageBus = makeZmqBus(
      {Settings.Process.Name, Incarnation, Settings.Process.PeerAddress}, Time);
  Status BusStatus = MessageBus->start(
      [this](const BusSource &Source, wire::Envelope Message) {
        boost::asio::post(Context, [this, Peer = Source.Identity,
                                    Message = std::move(Message)] {
          Core.onMessage(Peer, Message, Time.now());
          performActions();
        });
      });
  if (errorOf(BusStatus) != nullptr)
    return BusStatus;
  HttpServerOptions ServerOptions;
  ServerOptions.Address = Settings.Process.Address;
  ServerOptions.Port = Settings.Process.HttpPort;
  Server = makeHttpServer(
      ServerOptions,
      [this](const std::shared_ptr<HttpExchange> &E) { handleRequest(E); });
  Status ServerStatus = Server->start();
  Core.setHttpAddress(Settings.Process.Address + ":" +
                      std::to_string(Server->port()));
  return ServerStatus;
}

int AgentRuntime::run() {
  const Status StartStatus = start();
  if (const Error *E = errorOf(StartStatus)) {
    Log->error("{}; {}.", E->Message, E->Remedy);
    return 1;
  }
  Signals.async_wait([this](boost::system::error_code Code, int) {
    if (Code)
      return;
    Log->info("Shutdown requested; {} legs are not finished.",
              Core.stats().Live);
    Core.drain(Time.now());
    Ready = false;
    performActions();
  });
  scheduleTick();
  performActions();
  std::printf("ready http=%u peer=%s\n", static_cast<unsigned>(Server->port()),
              MessageBus->boundAddress().c_str());
  std::fflush(stdout);
  Context.run();
  Server->stop();
  MessageBus->stop();
  return 0;
}

void AgentRuntime::scheduleTick() {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    const TimePoint Now = Time.now();
    Core.onTick(Now);
    performActions();
    Ready = Core.ready();
    if (Core.drained(Now)) {
      Log->info("All work has finished; shutting down.");
      Context.stop();
      return;
    }
    scheduleTick();
  });
}

void AgentRuntime::performActions() {
  for (AgentAction &Action : Core.takeActions()) {
    if (auto *Send = std::get_if<SendMessage>(&Action)) {
      MessageBus->reply(Send->Peer, std::move(Send->Message));
      continue;
    }
    std::visit(
        [this](const auto &Call) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(Call)>,
                                        SendMessage>)
            EngineApi.perform(Call);
        },
        Action);
  }
}

void AgentRuntime::handleRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string_view Path = Exchange->request().path();
  if (Path == "/healthz") {
    Exchange->respond(jsonResponse(200, R"({"status":"ok"})"));
  } else if (Path == "/readyz") {
    Exchange->respond(Ready ? jsonResponse(200, R"({"ready":true})")
                            : jsonResponse(503, R"({"ready":false})"));
  } else if (Path == "/version") {
    const nlohmann::json Body{
        {"program", "hyssoprail-agent"},
        {"version", Version},
        {"incarnation", fmt::format("{:x}", Incarnation)}};
    Exchange->respond(jsonResponse(200, Body.dump()));
  } else if (Path == "/metrics") {
    boost::asio::post(Context, [this, Exchange] {
      Exchange->respond(plainText(metricsText()));
    });
  } else if (Path == "/admin/v1/timeline") {
    respondWithTimeline(*Exchange);
  } else {
    Exchange->respond(jsonResponse(
        404, R"({"error":{"code":"not_found","message":"no such path"}})"));
  }
}

void AgentRuntime::sendTimelineReply(const BusSource &Source,
                                     const wire::TimelineQuery &Query) {
  EventFilter Filter;
  Filter.RequestId = Query.request_id();
  Filter.Account = Query.account();
  Filter.Endpoint = Query.endpoint();
  if (Query.limit() != 0)
    Filter.Limit = Query.limit();
  wire::Envelope ReplyEnvelope;
  wire::TimelineReply &Reply = *ReplyEnvelope.mutable_timeline_reply();
  for (const Event &E : Events.select(Filter)) {
    wire::TimelineEvent &Out = *Reply.add_events();
    Out.set_unix_us(E.UnixMicros);
    Out.set_process(Settings.Process.Name);
    Out.set_kind(std::string(eventKindName(E.Kind)));
    Out.set_request_id(E.RequestId);
    Out.set_attempt(E.Attempt);
    Out.set_account(E.Account);
    Out.set_endpoint(E.Endpoint);
    Out.set_version(E.Version);
    Out.set_detail(E.Detail);
  }
  Reply.set_now_unix_us(Time.unixMicros());
  MessageBus->replyTo(Source, std::move(ReplyEnvelope));
}

void AgentRuntime::respondWithTimeline(HttpExchange &Exchange) const {
  const std::string &Target = Exchange.request().Target;
  EventFilter Filter;
  Filter.RequestId = queryValue(Target, "request");
  Filter.Account = queryValue(Target, "account");
  Filter.Endpoint = queryValue(Target, "endpoint");
  const std::string Limit = queryValue(Target, "limit");
  if (!Limit.empty())
    Filter.Limit = std::strtoul(Limit.c_str(), nullptr, 10);
  Exchange.respond(
      jsonResponse(200, encodeTimeline(Settings.Process.Name, Time.unixMicros(),
                                       Events.select(Filter))));
}

std::string AgentRuntime::metricsText() {
  const AgentStats Stats = Core.stats();
  const auto SetGauge = [this](std::string_view Name, auto Value) {
    Gauges.gauge(Name).set(static_cast<double>(Value));
  };
  SetGauge("hyssoprail_agent_engine_up", Stats.EngineUp);
  SetGauge("hyssoprail_agent_cold", Stats.Cold);
  SetGauge("hyssoprail_agent_leaving", Stats.Leaving);
  SetGauge("hyssoprail_agent_slots", Stats.Slots);
  SetGauge("hyssoprail_agent_slots_admitted", Stats.SlotLimit);
  SetGauge("hyssoprail_agent_slots_used", Stats.SlotsUsed);
  SetGauge("hyssoprail_agent_running", Stats.Running);
  SetGauge("hyssoprail_agent_pieces", Stats.Pieces);
  SetGauge("hyssoprail_agent_pieces_used", Stats.PiecesUsed);
  SetGauge("hyssoprail_agent_queued", Stats.Queued);
  SetGauge("hyssoprail_agent_live", Stats.Live);
  SetGauge("hyssoprail_agent_entries", Stats.Entries);
  SetGauge("hyssoprail_agent_outcomes", Stats.Outcomes);
  SetGauge("hyssoprail_agent_config_version", Stats.Version);
  SetGauge("hyssoprail_agent_granted", Stats.Granted);
  SetGauge("hyssoprail_agent_refused", Stats.Refused);
  SetGauge("hyssoprail_agent_stale", Stats.Stale);
  SetGauge("hyssoprail_agent_leases_expired", Stats.LeasesExpired);
  SetGauge("hyssoprail_agent_cold_starts", Stats.ColdStarts);
  SetGauge("hyssoprail_agent_orphans_cancelled", Stats.OrphansCancelled);
  SetGauge("hyssoprail_agent_orders", Stats.OrdersGiven);
  SetGauge("hyssoprail_bus_bytes_sent", MessageBus->bytesSent());
  SetGauge("hyssoprail_bus_bytes_received", MessageBus->bytesReceived());
  for (std::size_t I = 0; I < InvariantCount; ++I) {
    const auto CheckedInvariant = static_cast<Invariant>(I);
    Gauges
        .gauge("hyssoprail_violations_total",
               {{"invariant", std::string(invariantName(CheckedInvariant))}})
        .set(static_cast<double>(Checks.violations(CheckedInvariant)));
  }
  return Gauges.prometheusText();
}

} // namespace hyssoprail
