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

/// Interval of AgentCore::onTick.
constexpr milliseconds TickInterval{25};

constexpr std::string_view Version = "0.1.0";

/// Returns the value of \p Name in the query of \p Target, or "".
std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t At = Target.find('?');
  while (At != std::string_view::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string_view Pair = Target.substr(
        At + 1, End == std::string_view::npos ? End : End - At - 1);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(Equals + 1));
    At = End;
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
      Checks(Events, this->Settings.Process.FatalViolations), Ticker(Context),
      Signals(Context, SIGTERM, SIGINT), Client(makeHttpClient(Context)),
      Gateway(*Client, this->Settings.Engine,
              [this](const AgentResult &Result) {
                Core.onResult(Result, this->Time.now());
                performActions();
              }),
      Core(coreOptions(), Config, Events, Checks, Time.now()) {}

AgentRuntime::~AgentRuntime() = default;

AgentOptions AgentRuntime::coreOptions() const {
  AgentOptions O;
  O.Name = Settings.Process.Name;
  O.Zone = Settings.Process.Zone;
  O.Endpoint = Settings.Endpoint;
  O.Incarnation = Incarnation;
  O.Kind = Settings.Kind == EndpointKind::Engine ? AgentKind::Engine
                                                 : AgentKind::Service;
  O.EngineAddress = Settings.Engine;
  O.LeaseTimeout = Settings.Lease;
  return O;
}

Status AgentRuntime::start() {
  Messages = makeZmqBus(
      {Settings.Process.Name, Incarnation, Settings.Process.PeerAddress}, Time);
  Status Bound =
      Messages->start([this](const BusSource &Source, wire::Envelope Message) {
        boost::asio::post(Context, [this, Peer = Source.Identity,
                                    Message = std::move(Message)] {
          Core.onMessage(Peer, Message, Time.now());
          performActions();
        });
      });
  if (errorOf(Bound) != nullptr)
    return Bound;
  HttpServerOptions Http;
  Http.Address = Settings.Process.Address;
  Http.Port = Settings.Process.HttpPort;
  Server = makeHttpServer(
      Http, [this](const std::shared_ptr<HttpExchange> &E) { serve(E); });
  Status Listening = Server->start();
  Core.setHttpAddress(Settings.Process.Address + ":" +
                      std::to_string(Server->port()));
  return Listening;
}

int AgentRuntime::run() {
  const Status Started = start();
  if (const Error *E = errorOf(Started)) {
    Log->error("{}; {}.", E->Message, E->Remedy);
    return 1;
  }
  Signals.async_wait([this](boost::system::error_code Failed, int) {
    if (Failed)
      return;
    Log->info("Shutdown requested, {} units of work live.", Core.stats().Live);
    Core.drain(Time.now());
    Ready = false;
    performActions();
  });
  scheduleTick();
  performActions();
  std::printf("ready http=%u peer=%s\n", static_cast<unsigned>(Server->port()),
              Messages->boundAddress().c_str());
  std::fflush(stdout);
  Context.run();
  Server->stop();
  Messages->stop();
  return 0;
}

void AgentRuntime::scheduleTick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](boost::system::error_code Failed) {
    if (Failed)
      return;
    const TimePoint Now = Time.now();
    Core.onTick(Now);
    performActions();
    Ready = Core.ready();
    if (Core.drained(Now)) {
      Log->info("All work has finished.");
      Context.stop();
      return;
    }
    scheduleTick();
  });
}

void AgentRuntime::performActions() {
  for (AgentAction &Action : Core.takeActions()) {
    if (auto *Send = std::get_if<SendMessage>(&Action)) {
      Messages->reply(Send->Peer, std::move(Send->Message));
      continue;
    }
    std::visit(
        [this](const auto &Call) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(Call)>,
                                        SendMessage>)
            Gateway.perform(Call);
        },
        Action);
  }
}

void AgentRuntime::serve(const std::shared_ptr<HttpExchange> &Exchange) {
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
    serveTimeline(*Exchange);
  } else {
    Exchange->respond(jsonResponse(
        404, R"({"error":{"code":"not_found","message":"no such path"}})"));
  }
}

void AgentRuntime::answerTimeline(const BusSource &To,
                                  const wire::TimelineQuery &Query) {
  EventFilter Filter;
  Filter.RequestId = Query.request_id();
  Filter.Account = Query.account();
  Filter.Endpoint = Query.endpoint();
  if (Query.limit() != 0)
    Filter.Limit = Query.limit();
  wire::Envelope Answer;
  wire::TimelineReply &Reply = *Answer.mutable_timeline_reply();
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
  Messages->replyTo(To, std::move(Answer));
}

void AgentRuntime::serveTimeline(HttpExchange &Exchange) const {
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
  const AgentStats S = Core.stats();
  const auto Set = [this](std::string_view Name, auto Value) {
    Numbers.gauge(Name).set(static_cast<double>(Value));
  };
  Set("hyssoprail_agent_engine_up", S.EngineUp);
  Set("hyssoprail_agent_cold", S.Cold);
  Set("hyssoprail_agent_leaving", S.Leaving);
  Set("hyssoprail_agent_slots", S.Slots);
  Set("hyssoprail_agent_slots_admitted", S.SlotLimit);
  Set("hyssoprail_agent_slots_used", S.SlotsUsed);
  Set("hyssoprail_agent_running", S.Running);
  Set("hyssoprail_agent_pieces", S.Pieces);
  Set("hyssoprail_agent_pieces_used", S.PiecesUsed);
  Set("hyssoprail_agent_queued", S.Queued);
  Set("hyssoprail_agent_live", S.Live);
  Set("hyssoprail_agent_entries", S.Entries);
  Set("hyssoprail_agent_outcomes", S.Outcomes);
  Set("hyssoprail_agent_config_version", S.Version);
  Set("hyssoprail_agent_granted", S.Granted);
  Set("hyssoprail_agent_refused", S.Refused);
  Set("hyssoprail_agent_stale", S.Stale);
  Set("hyssoprail_agent_leases_expired", S.LeasesExpired);
  Set("hyssoprail_agent_cold_starts", S.ColdStarts);
  Set("hyssoprail_agent_orphans_cancelled", S.OrphansCancelled);
  Set("hyssoprail_agent_orders", S.OrdersGiven);
  Set("hyssoprail_bus_bytes_sent", Messages->bytesSent());
  Set("hyssoprail_bus_bytes_received", Messages->bytesReceived());
  for (std::size_t I = 0; I < InvariantCount; ++I) {
    const auto Which = static_cast<Invariant>(I);
    Numbers
        .gauge("hyssoprail_violations_total",
               {{"invariant", std::string(invariantName(Which))}})
        .set(static_cast<double>(Checks.violations(Which)));
  }
  return Numbers.prometheusText();
}

} // namespace hyssoprail
