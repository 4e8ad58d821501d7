#include "hyssoprail/agent/agent_runtime.hpp"

#include <csignal>
#include <cstdio>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/log.hpp"

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

void gauge(std::string &Out, std::string_view Name, double Value) {
  Out += fmt::format("hyssoprail_agent_{} {}\n", Name, Value);
}

} // namespace

AgentRuntime::AgentRuntime(AgentSettings Settings, const Clock &Time,
                           AgentConfig &Config)
    : Settings(std::move(Settings)), Time(Time), Log(logger("agent")),
      Incarnation(RandomSource(systemSeed()).identifier()),
      Events(this->Settings.TimelineEvents, Time),
      Checks(Events, std::getenv("HYSSOPRAIL_FATAL_INVARIANTS") != nullptr),
      Ticker(Context), Signals(Context, SIGTERM, SIGINT),
      Client(makeHttpClient(Context)),
      Gateway(*Client, this->Settings.Engine,
              [this](const AgentResult &Result) {
                Core.onResult(Result, this->Time.now());
                performActions();
              }),
      Core(coreOptions(), Config, Events, Checks, Time.now()) {}

AgentRuntime::~AgentRuntime() = default;

AgentOptions AgentRuntime::coreOptions() const {
  AgentOptions O;
  O.Name = Settings.Name;
  O.Zone = Settings.Zone;
  O.Endpoint = Settings.Endpoint;
  O.Incarnation = Incarnation;
  O.Kind = Settings.Kind;
  O.EngineAddress = Settings.Engine;
  O.Lease = Settings.Lease;
  return O;
}

Status AgentRuntime::start() {
  Messages =
      makeZmqBus({Settings.Name, Incarnation, Settings.PeerAddress}, Time);
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
  Http.Address = Settings.Address;
  Http.Port = Settings.HttpPort;
  Server = makeHttpServer(
      Http, [this](const std::shared_ptr<HttpExchange> &E) { serve(E); });
  return Server->start();
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

void AgentRuntime::serveTimeline(HttpExchange &Exchange) const {
  const std::string &Target = Exchange.request().Target;
  EventFilter Filter;
  Filter.RequestId = queryValue(Target, "request");
  Filter.Account = queryValue(Target, "account");
  Filter.Endpoint = queryValue(Target, "endpoint");
  const std::string Limit = queryValue(Target, "limit");
  if (!Limit.empty())
    Filter.Limit = std::strtoul(Limit.c_str(), nullptr, 10);
  nlohmann::json List = nlohmann::json::array();
  for (const Event &E : Events.select(Filter))
    List.push_back({{"unix_us", E.UnixMicros},
                    {"process", Settings.Name},
                    {"kind", eventKindName(E.Kind)},
                    {"request_id", E.RequestId},
                    {"attempt", E.Attempt},
                    {"account", E.Account},
                    {"endpoint", E.Endpoint},
                    {"version", E.Version},
                    {"detail", E.Detail}});
  const nlohmann::json Body{{"events", std::move(List)},
                            {"now_unix_us", Time.unixMicros()}};
  Exchange.respond(jsonResponse(200, Body.dump()));
}

std::string AgentRuntime::metricsText() const {
  const AgentStats S = Core.stats();
  std::string Out;
  gauge(Out, "engine_up", S.EngineUp ? 1 : 0);
  gauge(Out, "cold", S.Cold ? 1 : 0);
  gauge(Out, "leaving", S.Leaving ? 1 : 0);
  gauge(Out, "slots", S.Slots);
  gauge(Out, "slots_admitted", S.Limit);
  gauge(Out, "slots_used", S.SlotsUsed);
  gauge(Out, "running", S.Running);
  gauge(Out, "pieces", S.Pieces);
  gauge(Out, "pieces_used", S.PiecesUsed);
  gauge(Out, "queued", static_cast<double>(S.Queued));
  gauge(Out, "live", static_cast<double>(S.Live));
  gauge(Out, "entries", static_cast<double>(S.Entries));
  gauge(Out, "outcomes", static_cast<double>(S.Outcomes));
  gauge(Out, "config_version", static_cast<double>(S.Version));
  gauge(Out, "granted_total", static_cast<double>(S.Granted));
  gauge(Out, "refused_total", static_cast<double>(S.Refused));
  gauge(Out, "stale_total", static_cast<double>(S.Stale));
  gauge(Out, "leases_expired_total", static_cast<double>(S.LeasesExpired));
  gauge(Out, "cold_starts_total", static_cast<double>(S.ColdStarts));
  gauge(Out, "orphans_cancelled_total",
        static_cast<double>(S.OrphansCancelled));
  gauge(Out, "bytes_sent_total", static_cast<double>(Messages->bytesSent()));
  gauge(Out, "bytes_received_total",
        static_cast<double>(Messages->bytesReceived()));
  for (std::size_t I = 0; I < InvariantCount; ++I) {
    const auto Which = static_cast<Invariant>(I);
    Out += fmt::format("hyssoprail_violations_total{{invariant=\"{}\"}} {}\n",
                       invariantName(Which), Checks.violations(Which));
  }
  return Out;
}

} // namespace hyssoprail
