#include "hyssoprail/gateway/gateway_settings.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

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

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view Text) {
  const Result<Json> Document = parseJson(Text);
  if (const Error *E = errorOf(Document))
    return *E;
  const Json &In = valueOf(Document);
  const Status Checked = checkAgainstSchema(In, schemas::hyssoprail_gateway);
  if (const Error *E = errorOf(Checked))
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
  read(In, "memory_mb", Out.MemoryMb);
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
