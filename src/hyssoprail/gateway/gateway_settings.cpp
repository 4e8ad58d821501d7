#include "hyssoprail/gateway/gateway_settings.hpp"

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/connection/ip_port.hpp"
#include "hyssoprail/process/schema_check.hpp"
#include "hyssoprail/process/schemas.hpp"

namespace hyssoprail::gateway {
namespace {

using Json = nlohmann::json;

template <typename T> void read(const Json &In, const char *Name, T &Out) {
  if (In.contains(Name))
    Out = In.at(Name).get<T>();
}

void readSeconds(const Json &In, const char *Name, milliseconds &Out) {
  if (In.contains(Name))
    Out = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(In.at(Name).get<double>()));
}

/// The schema checks only the form of an address.
Status checkAddresses(const Json &In) {
  constexpr std::array<const char *, 5> Names{"caller_address", "ready_address",
                                              "metrics_address", "peer_address",
                                              "store"};
  for (const char *Name : Names) {
    const std::string Address = In.value(Name, "");
    if (!In.contains(Name) || parseIpPort(Address))
      continue;
    constexpr std::size_t MaxShownChars = 120;
    return Error{ErrorKind::InvalidSettings,
                 fmt::format("the field \"{}\" has the invalid value \"{}\"",
                             Name, Address.substr(0, MaxShownChars)),
                 "use IP:PORT with a port between 1 and 65535",
                 Name,
                 {}};
  }
  return std::monostate{};
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view Text) {
  const Result<Json> Document = parseJson(Text);
  if (const Error *E = errorOf(Document))
    return *E;
  const Json &In = valueOf(Document);
  const Status Checked = checkAgainstSchema(In, schemas::hyssoprail_gateway);
  if (const Error *E = errorOf(Checked))
    return *E;
  const Status Usable = checkAddresses(In);
  if (const Error *E = errorOf(Usable))
    return *E;
  GatewaySettings Out;
  read(In, "name", Out.Name);
  read(In, "zone", Out.Zone);
  read(In, "caller_address", Out.CallerAddress);
  read(In, "ready_address", Out.ReadyAddress);
  read(In, "metrics_address", Out.MetricsAddress);
  read(In, "peer_address", Out.PeerAddress);
  read(In, "store", Out.Store);
  read(In, "cpu_share", Out.Weight);
  readSeconds(In, "stop_grace_s", Out.StopGrace);
  read(In, "retry_ratio", Out.RetryRatio);
  read(In, "retry_slack", Out.RetrySlack);
  readSeconds(In, "retry_window_s", Out.RetryWindow);
  read(In, "quota_overage", Out.QuotaOverage);
  read(In, "quota_slack_tokens", Out.QuotaSlackTokens);
  read(In, "cold_overage", Out.ColdOverage);
  read(In, "cold_slack", Out.ColdSlack);
  read(In, "use_prefill_engines", Out.UsePrefillEngines);
  read(In, "file_descriptors", Out.FileDescriptors);
  read(In, "memory_mb", Out.MemoryMb);
  if (In.contains("overload_policy")) {
    Out.Overload =
        *enumFromName(routing::OverloadModeNames,
                      In.at("overload_policy").get_ref<const std::string &>());
    Out.OverloadIsSet = true;
  }
  read(In, "queue_calls", Out.QueueCalls);
  read(In, "platform_features", Out.PlatformFeatures);
  read(In, "exposure_share", Out.ExposureShare);
  read(In, "exposure_slack", Out.ExposureSlack);
  return Out;
}

Result<GatewaySettings> readGatewaySettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Error{ErrorKind::InvalidSettings,
                 "cannot read the settings file " + Path,
                 "name a readable file with --settings",
                 "",
                 {}};
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseGatewaySettings(Text.str());
}

HostPort splitHostPort(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  HostPort Out{Address.substr(0, Colon), 0};
  std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                  Out.Port);
  return Out;
}

} // namespace hyssoprail::gateway
