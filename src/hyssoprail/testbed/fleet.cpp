#include "hyssoprail/testbed/fleet.hpp"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <sys/wait.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/core/random.hpp"

namespace hyssoprail::testbed {
namespace {

using nlohmann::json;

constexpr const char *Loopback = "127.0.0.1";
constexpr const char *KeySecret = "fleet-secret-of-tests";
constexpr std::chrono::milliseconds PollInterval{5};

/// Time in which a fresh fleet becomes ready; generous, since ten programs
/// start at once on a loaded machine.
constexpr std::chrono::seconds StartTimeout{30};

std::string zoneName(unsigned Index) { return fmt::format("zone-{}", Index); }

/// One role of endpoints.
struct RoleRow {
  const char *Name;
  const char *Kind;
  const char *Pool;
  const char *WireRole;
  unsigned FleetOptions::*Count;
  std::vector<std::string> FleetOptions::*Flags;
};

constexpr std::array<RoleRow, 3> Roles{{
    {"prefill", "engine", "assistants", "ENDPOINT_ROLE_PREFILL",
     &FleetOptions::PrefillEngines, &FleetOptions::PrefillFlags},
    {"decode", "engine", "assistants", "ENDPOINT_ROLE_DECODE",
     &FleetOptions::DecodeEngines, &FleetOptions::DecodeFlags},
    {"service", "service", "orders", "ENDPOINT_ROLE_SERVICE",
     &FleetOptions::Services, &FleetOptions::ServiceFlags},
}};

const RoleRow &roleRow(const std::string &Name) {
  for (const RoleRow &Row : Roles)
    if (Name == Row.Name)
      return Row;
  return Roles.back();
}

} // namespace

Fleet::Fleet(FleetOptions Options) : Options(std::move(Options)) {}

Fleet::~Fleet() {
  for (auto &[Name, Process] : Processes)
    Process->kill();
}

Status Fleet::start() {
  std::filesystem::create_directories(Options.RunDirectory);
  for (auto Step : {&Fleet::startStandins, &Fleet::startAgents,
                    &Fleet::startEntries, &Fleet::configure}) {
    Status S = (this->*Step)();
    if (errorOf(S) != nullptr)
      return S;
  }
  return std::monostate{};
}

Status Fleet::launch(const std::string &Name, const std::string &Program,
                     std::vector<std::string> Arguments) {
  auto Process = std::make_unique<ChildProcess>(
      Options.BinaryDirectory + "/" + Program, std::move(Arguments),
      Options.RunDirectory + "/" + Name + ".log");
  Status Started = Process->start();
  // A restarted stand-in must listen where its agent or the entries expect it.
  if (succeeded(Started) && Process->ready().contains("http"))
    Process->replaceArgument("--port=0",
                             "--port=" + Process->ready().at("http"));
  Processes[Name] = std::move(Process);
  return Started;
}

Status Fleet::startStandins() {
  std::vector<std::string> Flags = Options.PlatformFlags;
  Flags.insert(Flags.begin(), {"--port=0"});
  Status S = launch("platform", "standin-platform", Flags);
  for (const RoleRow &Row : Roles) {
    for (unsigned I = 0; I < Options.*Row.Count; ++I) {
      if (errorOf(S) != nullptr)
        return S;
      Flags = Options.*Row.Flags;
      Flags.insert(Flags.begin(), {"--port=0"});
      const bool Engine = std::string(Row.Kind) == "engine";
      if (Engine) {
        Flags.push_back(std::string("--role=") + Row.Name);
        Flags.push_back(
            fmt::format("--check_fencing={}", Options.EnginesCheckFencing));
      }
      S = launch(fmt::format("{}-{}", Row.Name, I),
                 Engine ? "standin-engine" : "standin-service", Flags);
    }
  }
  return S;
}

Status Fleet::startAgents() {
  for (const RoleRow &Row : Roles)
    for (unsigned I = 0; I < Options.*Row.Count; ++I) {
      Status S = startAgent(Row.Name, I);
      if (errorOf(S) != nullptr)
        return S;
    }
  return std::monostate{};
}

Status Fleet::startAgent(const std::string &Role, unsigned Index) {
  const std::string Standin = fmt::format("{}-{}", Role, Index);
  const std::string Name = "agent-" + Standin;
  json Config = {
      {"name", Name},
      {"vm", "vm-" + Standin},
      {"zone", zoneName(Index % Options.Zones)},
      {"address", Loopback},
      {"peer_address", fmt::format("tcp://{}:0", Loopback)},
      {"http_port", 0},
      {"log", {{"level", Options.LogLevel}, {"format", "text"}}},
      {"timeline_events", 20000},
      {"endpoint", Standin},
      {"engine", httpAddress(Standin)},
      {"kind", roleRow(Role).Kind},
      {"fatal_violations", Options.FatalViolations},
  };
  Settings[Name] = Config;
  Status S = launch(Name, "hyssoprail-agent",
                    {"--settings=" + writeSettings(Name, Config)});
  if (errorOf(S) == nullptr)
    pinPorts(Name);
  return S;
}

Status Fleet::startEntries() {
  json Others = json::array();
  for (unsigned I = 0; I < Options.Entries; ++I) {
    const std::string Name = fmt::format("entry-{}", I);
    json Config = {
        {"name", Name},
        {"vm", "vm-" + Name},
        {"zone", zoneName(I % Options.Zones)},
        {"address", Loopback},
        {"peer_address", fmt::format("tcp://{}:0", Loopback)},
        {"http_port", 0},
        {"admin_port", 0},
        {"threads", 2},
        {"platform", httpAddress("platform")},
        {"entries", Others},
        {"key_secret", KeySecret},
        {"operator_token_digest", sha256(OperatorToken)},
        {"log", {{"level", Options.LogLevel}, {"format", "text"}}},
        {"timeline_events", 20000},
        {"policy",
         {{"scheduling", Options.Policy.Scheduling},
          {"limits", Options.Policy.Limits},
          {"placement", Options.Policy.Placement}}},
        {"fatal_violations", Options.FatalViolations},
    };
    Settings[Name] = Config;
    Status S = launch(Name, "hyssoprail-entry",
                      {"--settings=" + writeSettings(Name, Config)});
    if (errorOf(S) != nullptr)
      return S;
    pinPorts(Name);
    Others.push_back(Settings[Name]["peer_address"]);
    json Vm = {{"name", "vm-" + Name},
               {"zone", Config["zone"]},
               {"role", "entry"},
               {"peer_address", Settings[Name]["peer_address"]},
               {"leaving", false}};
    HttpCall Call;
    Call.Authority = httpAddress("platform");
    Call.Request = {"PUT",
                    "/vms/vm-" + Name,
                    {{"Content-Type", "application/json"}},
                    Vm.dump()};
    Http.call(std::move(Call));
  }
  return std::monostate{};
}

void Fleet::pinPorts(const std::string &Name) {
  json &Config = Settings[Name];
  const auto &Ready = process(Name).ready();
  Config["peer_address"] = Ready.at("peer");
  Config["http_port"] = std::stoi(Ready.at("http"));
  if (Ready.contains("admin"))
    Config["admin_port"] = std::stoi(Ready.at("admin"));
  writeSettings(Name, Config);
}

std::string Fleet::writeSettings(const std::string &Name, const json &Config) {
  std::string Path = Options.RunDirectory + "/" + Name + ".json";
  std::ofstream(Path) << Config.dump(2) << "\n";
  return Path;
}

Status Fleet::configure() {
  for (auto Step : {&Fleet::configureEndpoints, &Fleet::configureCallers}) {
    Status S = (this->*Step)();
    if (errorOf(S) != nullptr)
      return S;
  }
  const bool Ready = waitUntil(
      [this] {
        for (unsigned I = 0; I < Options.Entries; ++I) {
          auto Answer = Http.fetch(entryAddress(I), "/readyz");
          if (errorOf(Answer) != nullptr || valueOf(Answer).Status != 200)
            return false;
        }
        return true;
      },
      StartTimeout);
  if (!Ready)
    return Error{ErrorKind::Unavailable,
                 "the entries did not become ready",
                 "read their logs in " + Options.RunDirectory,
                 "",
                 {}};
  return std::monostate{};
}

Status Fleet::configureEndpoints() {
  for (unsigned Z = 0; Z < Options.Zones; ++Z) {
    auto R = change("zone", zoneName(Z),
                    {{"name", zoneName(Z)}, {"region", "region-0"}});
    if (const Error *E = errorOf(R))
      return *E;
  }
  const std::vector<json> Pools = {
      {{"name", "assistants"}, {"kind", "POOL_KIND_ENGINE"}, {"model", "m1"}},
      {{"name", "orders"}, {"kind", "POOL_KIND_SERVICE"}}};
  for (const json &Pool : Pools) {
    auto R = change("pool", Pool["name"], Pool);
    if (const Error *E = errorOf(R))
      return *E;
  }
  for (const RoleRow &Row : Roles)
    for (unsigned I = 0; I < Options.*Row.Count; ++I) {
      const std::string Name = fmt::format("{}-{}", Row.Name, I);
      auto Vm = change(
          "vm", "vm-" + Name,
          {{"name", "vm-" + Name}, {"zone", zoneName(I % Options.Zones)}});
      if (const Error *E = errorOf(Vm))
        return *E;
      auto Endpoint =
          change("endpoint", Name,
                 {{"name", Name},
                  {"pool", Row.Pool},
                  {"role", Row.WireRole},
                  {"agent_address", Settings["agent-" + Name]["peer_address"]},
                  {"vm", "vm-" + Name},
                  {"checks_fencing", Options.EnginesCheckFencing}});
      if (const Error *E = errorOf(Endpoint))
        return *E;
    }
  return std::monostate{};
}

Status Fleet::configureCallers() {
  const std::vector<json> Routes = {
      {{"name", "chat"},
       {"model", "m1"},
       {"pool", "assistants"},
       {"route_class", "ROUTE_CLASS_INTERACTIVE"},
       {"repeatable", true},
       {"first_token_ms", Options.FirstTokenMs},
       {"between_tokens_ms", Options.BetweenTokensMs}},
      {{"name", "summary"},
       {"model", "m1-batch"},
       {"pool", "assistants"},
       {"route_class", "ROUTE_CLASS_BATCH"},
       {"repeatable", true}},
      {{"name", "orders"},
       {"path_prefix", "/orders"},
       {"pool", "orders"},
       {"route_class", "ROUTE_CLASS_ORDER"},
       {"call_tokens", 10}},
      {{"name", "stock"},
       {"path_prefix", "/stock"},
       {"pool", "orders"},
       {"route_class", "ROUTE_CLASS_ORDER"},
       {"repeatable", true},
       {"call_tokens", 1}}};
  for (const json &Route : Routes) {
    auto R = change("route", Route["name"], Route);
    if (const Error *E = errorOf(R))
      return *E;
  }
  std::uint64_t Newest = 0;
  for (const AccountOptions &Account : Options.Accounts) {
    auto A = change("account", Account.Name,
                    {{"name", Account.Name},
                     {"rate", Account.Rate},
                     {"burst", Account.Burst}});
    if (const Error *E = errorOf(A))
      return *E;
    auto K = change("key", "key-of-" + Account.Name,
                    {{"id", "key-of-" + Account.Name},
                     {"account", Account.Name},
                     {"digest", hmacSha256(KeySecret, key(Account.Name))}});
    if (const Error *E = errorOf(K))
      return *E;
    Newest = valueOf(K);
  }
  if (!waitInForce(Newest, StartTimeout))
    return Error{ErrorKind::Unavailable,
                 "the configuration is not in force on every entry",
                 "read their logs in " + Options.RunDirectory,
                 "",
                 {}};
  return std::monostate{};
}

Status Fleet::stop(std::chrono::milliseconds Timeout) {
  std::string Late;
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  for (const char *Prefix : {"entry-", "agent-"}) {
    for (auto &[Name, Process] : Processes)
      if (Name.starts_with(Prefix))
        Process->signal(SIGTERM);
    for (auto &[Name, Process] : Processes) {
      if (!Name.starts_with(Prefix))
        continue;
      const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
          Deadline - std::chrono::steady_clock::now());
      const std::optional<int> End = Process->wait(Left);
      if (!End || !WIFEXITED(*End) || WEXITSTATUS(*End) != 0)
        Late += " " + Name;
    }
  }
  for (auto &[Name, Process] : Processes)
    Process->kill();
  if (!Late.empty())
    return Error{ErrorKind::Internal,
                 "not ended cleanly:" + Late,
                 "read their logs in " + Options.RunDirectory,
                 "",
                 {}};
  return std::monostate{};
}

ChildProcess &Fleet::process(const std::string &Name) {
  return *Processes.at(Name);
}

Status Fleet::restart(const std::string &Name) {
  ChildProcess &Process = process(Name);
  if (Process.running())
    return std::monostate{};
  return Process.start();
}

std::string Fleet::entryAddress(unsigned Index) const {
  return httpAddress(fmt::format("entry-{}", Index));
}

std::string Fleet::adminAddress(unsigned Index) const {
  return fmt::format(
      "{}:{}", Loopback,
      Processes.at(fmt::format("entry-{}", Index))->ready().at("admin"));
}

std::string Fleet::httpAddress(const std::string &Name) const {
  return fmt::format("{}:{}", Loopback, Processes.at(Name)->ready().at("http"));
}

std::string Fleet::key(const std::string &Account) { return "key-" + Account; }

Result<std::uint64_t> Fleet::change(const std::string &Kind,
                                    const std::string &Name, json Value,
                                    bool Remove, unsigned Entry) {
  json Body = {
      {"operation_id", hexId(systemSeed(), ++NextOperation)},
      {"kind", Kind},
      {"name", Name},
      {"base_version", -1},
      {"remove", Remove},
      {"value", std::move(Value)},
  };
  auto Answer =
      Http.post(adminAddress(Entry), "/admin/v1/changes", Body.dump(),
                {{"Authorization", std::string("Bearer ") + OperatorToken}});
  if (const Error *E = errorOf(Answer))
    return *E;
  const HttpResponse &Response = valueOf(Answer);
  if (Response.Status != 200)
    return Error{ErrorKind::Conflict,
                 fmt::format("change of {} {}: {} {}", Kind, Name,
                             Response.Status, Response.Body),
                 "read the answer",
                 "",
                 {}};
  return json::parse(Response.Body).at("version").get<std::uint64_t>();
}

Status Fleet::faults(const json &Faults) {
  auto Answer = Http.post(httpAddress("platform"), "/faults", Faults.dump());
  if (const Error *E = errorOf(Answer))
    return *E;
  return std::monostate{};
}

bool Fleet::waitUntil(const std::function<bool()> &Condition,
                      std::chrono::milliseconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

bool Fleet::waitInForce(std::uint64_t Version,
                        std::chrono::milliseconds Timeout) {
  const HttpHeaders Token = {
      {"Authorization", std::string("Bearer ") + OperatorToken}};
  return waitUntil(
      [&] {
        for (unsigned I = 0; I < Options.Entries; ++I) {
          HttpCall Call;
          Call.Authority = adminAddress(I);
          Call.Request = {"GET", "/admin/v1/status", Token, {}};
          auto Answer = Http.call(std::move(Call));
          if (errorOf(Answer) != nullptr || valueOf(Answer).Status != 200)
            return false;
          const json Body =
              json::parse(valueOf(Answer).Body, nullptr, /*exceptions=*/false);
          if (Body.value("version", std::uint64_t{0}) < Version)
            return false;
        }
        return true;
      },
      Timeout);
}

} // namespace hyssoprail::testbed
