#include "hyssoprail/process/settings.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/process/schema_check.hpp"
#include "hyssoprail/process/schemas.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<EnumName<LogFormat>, 2> FormatNames{
    {{LogFormat::Text, "text"}, {LogFormat::Json, "json"}}};

constexpr std::array<EnumName<SchedulingPolicy>, 3> SchedulingNames{
    {{SchedulingPolicy::None, "none"},
     {SchedulingPolicy::Early, "early"},
     {SchedulingPolicy::Predicted, "predicted"}}};

constexpr std::array<EnumName<LimitsPolicy>, 2> LimitsNames{
    {{LimitsPolicy::Owner, "owner"}, {LimitsPolicy::Fixed, "fixed"}}};

constexpr std::array<EnumName<PlacementPolicy>, 2> PlacementNames{
    {{PlacementPolicy::TwoChoices, "two_choices"},
     {PlacementPolicy::LeastLoaded, "least_loaded"}}};

constexpr std::array<EnumName<EndpointKind>, 2> KindNames{
    {{EndpointKind::Engine, "engine"}, {EndpointKind::Service, "service"}}};

Error wrongValue(const std::string &Field, const std::string &Seen,
                 std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = fmt::format("the field \"{}\" has the wrong value {}",
                                      Field, Seen),
               .Remedy = std::move(Remedy),
               .Field = Field};
}

/// Reads a field into \p Out unless it is absent. The schema was checked.
template <typename T> void read(const Json &In, const char *Name, T &Out) {
  if (In.contains(Name))
    Out = In.at(Name).get<T>();
}

void read(const Json &In, const char *Name, milliseconds &Out) {
  if (In.contains(Name))
    Out = milliseconds(In.at(Name).get<std::int64_t>());
}

template <typename E, std::size_t N>
void read(const Json &In, const char *Name,
          const std::array<EnumName<E>, N> &Names, E &Out) {
  if (In.contains(Name))
    Out = enumFromName(Names, In.at(Name).get<std::string>()).value_or(Out);
}

ProcessSettings readProcess(const Json &In) {
  ProcessSettings Out;
  read(In, "name", Out.Name);
  read(In, "vm", Out.Vm);
  read(In, "zone", Out.Zone);
  read(In, "address", Out.Address);
  Out.PeerAddress = fmt::format("tcp://{}:0", Out.Address);
  read(In, "peer_address", Out.PeerAddress);
  read(In, "http_port", Out.HttpPort);
  const Json Log = In.value("log", Json::object());
  read(Log, "level", Out.LogLevel);
  read(Log, "format", FormatNames, Out.Format);
  read(In, "timeline_events", Out.TimelineEvents);
  read(In, "fatal_violations", Out.FatalViolations);
  return Out;
}

Status checkAddress(const ProcessSettings &S) {
  boost::system::error_code Bad;
  boost::asio::ip::make_address(S.Address, Bad);
  if (!Bad)
    return {};
  return wrongValue("address", fmt::format("\"{}\"", S.Address),
                    "use an IP address, for example 127.0.0.1");
}

EntrySettings readEntry(const Json &In) {
  EntrySettings Out;
  Out.Process = readProcess(In);
  read(In, "admin_port", Out.AdminPort);
  read(In, "threads", Out.Threads);
  read(In, "platform", Out.Platform);
  read(In, "entries", Out.Entries);
  read(In, "key_secret", Out.KeySecret);
  read(In, "operator_token_digest", Out.OperatorTokenDigest);
  const Json Policy = In.value("policy", Json::object());
  read(Policy, "scheduling", SchedulingNames, Out.Scheduling);
  read(Policy, "limits", LimitsNames, Out.Limits);
  read(Policy, "placement", PlacementNames, Out.Placement);
  read(In, "heartbeat_ms", Out.HeartbeatInterval);
  read(In, "suspect_ms", Out.SuspectAfter);
  read(In, "lease_ms", Out.Lease);
  read(In, "key_staleness_ms", Out.KeyStaleness);
  read(In, "outage_grace_ms", Out.OutageGrace);
  return Out;
}

/// Checks that concern more than one field, which a schema cannot express.
Status checkEntry(const EntrySettings &S) {
  if (Status A = checkAddress(S.Process); !succeeded(A))
    return A;
  if (S.SuspectAfter < 2 * S.HeartbeatInterval)
    return wrongValue("suspect_ms", std::to_string(S.SuspectAfter.count()),
                      fmt::format("use at least twice heartbeat_ms ({}), so "
                                  "that one late ack replaces no link",
                                  2 * S.HeartbeatInterval.count()));
  if (S.Process.HttpPort != 0 && S.Process.HttpPort == S.AdminPort)
    return wrongValue("admin_port", std::to_string(S.AdminPort),
                      "use another port than http_port");
  return {};
}

AgentSettings readAgent(const Json &In) {
  AgentSettings Out;
  Out.Process = readProcess(In);
  read(In, "endpoint", Out.Endpoint);
  read(In, "engine", Out.Engine);
  read(In, "kind", KindNames, Out.Kind);
  read(In, "lease_ms", Out.Lease);
  return Out;
}

Status applyOverride(Json &Document, const SettingOverride &Change) {
  auto Value = parseJson(Change.Value);
  if (!succeeded(Value))
    return wrongValue(Change.Path, Change.Value, "use a value in JSON");
  std::string Pointer = "/" + Change.Path;
  std::replace(Pointer.begin(), Pointer.end(), '.', '/');
  try {
    Document[Json::json_pointer(Pointer)] = valueOf(Value);
  } catch (const Json::exception &) {
    return wrongValue(Change.Path, Change.Value,
                      "correct the field's parent in the file, which is no "
                      "object");
  }
  return {};
}

/// Parses, overrides and checks a document.
Result<Json> checkedDocument(std::string_view Text,
                             const SettingOverrides &Changes,
                             std::string_view Schema) {
  Result<Json> Document = parseJson(Text);
  if (!succeeded(Document))
    return Document;
  for (const SettingOverride &Change : Changes)
    if (Status S = applyOverride(valueOf(Document), Change); !succeeded(S))
      return *errorOf(S);
  if (Status S = checkAgainstSchema(valueOf(Document), Schema); !succeeded(S))
    return *errorOf(S);
  return Document;
}

} // namespace

std::string_view policyName(SchedulingPolicy Policy) {
  return enumName(SchedulingNames, Policy);
}

std::string_view policyName(LimitsPolicy Policy) {
  return enumName(LimitsNames, Policy);
}

std::string_view policyName(PlacementPolicy Policy) {
  return enumName(PlacementNames, Policy);
}

Result<EntrySettings> parseEntrySettings(std::string_view Text,
                                         const SettingOverrides &Changes) {
  const auto Document =
      checkedDocument(Text, Changes, schemas::hyssoprail_entry);
  if (const Error *E = errorOf(Document))
    return *E;
  EntrySettings Out = readEntry(valueOf(Document));
  if (Status S = checkEntry(Out); !succeeded(S))
    return *errorOf(S);
  return Out;
}

Result<AgentSettings> parseAgentSettings(std::string_view Text,
                                         const SettingOverrides &Changes) {
  const auto Document =
      checkedDocument(Text, Changes, schemas::hyssoprail_agent);
  if (const Error *E = errorOf(Document))
    return *E;
  AgentSettings Out = readAgent(valueOf(Document));
  if (Status S = checkAddress(Out.Process); !succeeded(S))
    return *errorOf(S);
  return Out;
}

} // namespace hyssoprail
