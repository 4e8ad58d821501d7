#include "hyssoprail/agent/agent_settings.hpp"

#include <array>
#include <fstream>

#include <nlohmann/json.hpp>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<AgentKind>, 2> KindNames{{
    {AgentKind::Engine, "engine"},
    {AgentKind::Service, "service"},
}};

Error invalid(std::string Message, std::string Field) {
  return {ErrorKind::InvalidSettings, std::move(Message),
          "correct the settings file", std::move(Field), milliseconds(0)};
}

AgentSettings fromJson(const nlohmann::json &Json) {
  AgentSettings S;
  S.Name = Json.at("name").get<std::string>();
  S.Endpoint = Json.at("endpoint").get<std::string>();
  S.Engine = Json.at("engine").get<std::string>();
  S.Vm = Json.value("vm", S.Vm);
  S.Zone = Json.value("zone", S.Zone);
  S.Address = Json.value("address", S.Address);
  S.PeerAddress = Json.value("peer_address", S.PeerAddress);
  S.HttpPort = Json.value("http_port", S.HttpPort);
  S.Lease = milliseconds(Json.value("lease_ms", S.Lease.count()));
  S.TimelineEvents = Json.value("timeline_events", S.TimelineEvents);
  if (Json.contains("log"))
    S.LogLevel = Json.at("log").value("level", S.LogLevel);
  return S;
}

} // namespace

Result<AgentSettings> readAgentSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return invalid("cannot read " + Path, "");
  const nlohmann::json Json = nlohmann::json::parse(File, nullptr, false);
  if (!Json.is_object())
    return invalid(Path + " is not a JSON object", "");
  try {
    AgentSettings S = fromJson(Json);
    const std::string KindName = Json.value("kind", "engine");
    const auto Kind = enumFromName(KindNames, KindName);
    if (!Kind)
      return invalid("kind \"" + KindName + "\" is not engine or service",
                     "kind");
    S.Kind = *Kind;
    const auto Log = Json.value("log", nlohmann::json::object());
    const auto Format = logFormat(Log.value("format", "text"));
    if (const Error *E = errorOf(Format))
      return *E;
    S.Format = valueOf(Format);
    return S;
  } catch (const nlohmann::json::exception &E) {
    return invalid(E.what(), "");
  }
}

} // namespace hyssoprail
