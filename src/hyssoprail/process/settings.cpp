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

constexpr std::array<EnumName<EndpointKind>, 2> EndpointKindNames{
    {{EndpointKind::Engine, "engine"}, {EndpointKind::Service, "service"}}};

Error invalidValue(const std::string &Field, const std::string &ActualValue,
                   std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message =
                   fmt::format("the field \"{}\" has the invalid value {}",
                               Field, ActualValue),
               .Remedy = std::move(Remedy),
               .Field = Field};
}

/// Reads a field into \p Out unless it is absent. The document must have been
/// checked against its schema.
template <typename T> void readField(const Json &In, const char *Name, T &Out) {
  if (In.contains(Name))
    Out = In.at(Name).get<T>();
}

void readField(const Json &In, const char *Name, milliseconds &Out) {
  if (In.contains(Name))
    Out = milliseconds(In.at(Name).get<std::int64_t>());
}

template <typename E, std::size_t N>
void readField(const Json &In, const char *Name,
               const std::array<EnumName<E>, N> &Names, E &Out) {
  if (In.contains(Name))
    Out = enumFromName(Names, In.at(Name).get<std::string>()).value_or(Out);
}

ProcessSettings readProcessSettings(const Json &In) {
  ProcessSettings Out;
  readField(In, "name", Out.Name);
  readField(In, "vm", Out.Vm);
  readField(In, "zone", Out.Zone);
  readField(In, "address", Out.Address);
  Out.PeerAddress = fmt::format("tcp://{}:0", Out.Address);
  readField(In, "peer_address", Out.PeerAddress);
  readField(In, "http_port", Out.HttpPort);
  const Json Log = In.value("log", Json::object());
  readField(Log, "level", Out.LogLevel);
  readField(Log, "format", FormatNames, Out.Format);
  readField(In, "timeline_events", Out.TimelineEvents);
  readField(In, "fatal_violations", Out.FatalViolations);
  return Out;
}

Status checkAddress(const ProcessSettings &S) {
  boost::system::error_code ParseError;
  boost::asio::ip::make_address(S.Address, ParseError);
  if (!ParseError)
    return {};
  return invalidValue("address", fmt::format("\"{}\"", S.Address),
                      "use an IP address, for example 127.0.0.1");
}

EntrySettings readEntrySettings(const Json &In) {
  EntrySettings Out;
  Out.Process = readProcessSettings(In);
  readField(In, "admin_port", Out.AdminPort);
  readField(In, "threads", Out.Threads);
  readField(In, "platform", Out.Platform);
  readField(In, "entries", Out.Entries);
  readField(In, "key_secret", Out.KeySecret);
  readField(In, "operator_token_digest", Out.OperatorTokenDigest);
  const Json Policy = In.value("policy", Json::object());
  readField(Policy, "scheduling", SchedulingNames, Out.Scheduling);
  readField(Policy, "limits", LimitsNames, Out.Limits);
  readField(Policy, "placement", PlacementNames, Out.Placement);
  readField(In, "heartbeat_ms", Out.HeartbeatInterval);
  readField(In, "suspect_ms", Out.SuspectAfter);
  readField(In, "lease_ms", Out.Lease);
  readField(In, "key_staleness_ms", Out.KeyStaleness);
  readField(In, "outage_grace_ms", Out.OutageGrace);
  return Out;
}

/// Checks what a schema cannot express: the syntax of the address and
/// conditions on two fields.
Status checkEntrySettings(const EntrySettings &S) {
  if (Status AddressStatus = checkAddress(S.Process); !succeeded(AddressStatus))
    return AddressStatus;
  if (S.SuspectAfter < 2 * S.HeartbeatInterval)
    return invalidValue(
        "suspect_ms", std::to_string(S.SuspectAfter.count()),
        fmt::format("use at least twice heartbeat_ms ({}), so that "
                    "one late ack does not cause a link to be "
                    "replaced",
                    2 * S.HeartbeatInterval.count()));
  if (S.Process.HttpPort != 0 && S.Process.HttpPort == S.AdminPort)
    return invalidValue("admin_port", std::to_string(S.AdminPort),
                        "use a port other than http_port");
  return {};
}

AgentSettings readAgentSettings(const Json &In) {
  AgentSettings Out;
  Out.Process = readProcessSettings(In);
  readField(In, "endpoint", Out.Endpoint);
  readField(In, "engine", Out.Engine);
  readField(In, "kind", EndpointKindNames, Out.Kind);
  readField(In, "lease_ms", Out.Lease);
  return Out;
}

Status applyOverride(Json &Document, const SettingOverride &Override) {
  auto Value = parseJson(Override.Value);
  if (!succeeded(Value))
    return invalidValue(Override.Path, Override.Value, "use a JSON value");
  std::string Pointer = "/" + Override.Path;
  std::replace(Pointer.begin(), Pointer.end(), '.', '/');
  try {
    Document[Json::json_pointer(Pointer)] = valueOf(Value);
  } catch (const Json::exception &) {
    return invalidValue(Override.Path, Override.Value,
                        "make the parent of this field an object in the "
                        "settings file");
  }
  return {};
}

/// Parses a document, applies the overrides and checks it against its schema.
Result<Json> parseAndCheck(std::string_view Text,
                           const SettingOverrides &Overrides,
                           std::string_view Schema) {
  Result<Json> Document = parseJson(Text);
  if (!succeeded(Document))
    return Document;
  for (const SettingOverride &Override : Overrides)
    if (Status S = applyOverride(valueOf(Document), Override); !succeeded(S))
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
                                         const SettingOverrides &Overrides) {
  const auto Document =
      parseAndCheck(Text, Overrides, schemas::hyssoprail_entry);
  if (const Error *E = errorOf(Document))
    return *E;
  EntrySettings Out = readEntrySettings(valueOf(Document));
  if (Status S = checkEntrySettings(Out); !succeeded(S))
    return *errorOf(S);
  return Out;
}

Result<AgentSettings> parseAgentSettings(std::string_view Text,
                                         const SettingOverrides &Overrides) {
  const auto Document =
      parseAndCheck(Text, Overrides, schemas::hyssoprail_agent);
  if (const Error *E = errorOf(Document))
    return *E;
  AgentSettings Out = readAgentSettings(valueOf(Document));
  if (Status S = checkAddress(Out.Process); !succeeded(S))
    return *errorOf(S);
  return Out;
}

} // namespace hyssoprail
