#ifndef HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP
#define HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail::gateway {

/// Settings of hyssoprail-gateway; schemas/hyssoprail-gateway.schema.json
/// describes the file.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  std::string CallerAddress; ///< "IP:PORT", as all addresses here
  std::string ReadyAddress;
  std::string MetricsAddress; ///< empty: metrics are not served
  std::string PeerAddress;
  std::string Store;
  double Weight = 1;             ///< processor share of the VM, of one core
  milliseconds StopGrace{8'000}; ///< from SIGTERM to SIGKILL
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  milliseconds RetryWindow{10'000};
  double QuotaOverage = 0;     ///< tolerated above the quota, as a share of it
  double QuotaSlackTokens = 0; ///< tolerated besides
  double ColdOverage = 1;
  double ColdSlack = 0;
  bool UsePrefillEngines = true;
};

/// Reads settings from JSON text. Fails with InvalidSettings; the error names
/// the field, the value seen and the remedy.
Result<GatewaySettings> parseGatewaySettings(std::string_view Text);

/// Reads settings from a file.
Result<GatewaySettings> readGatewaySettings(const std::string &Path);

/// An "IP:PORT" in its parts; the schema has checked its form.
struct HostPort {
  std::string Ip;
  std::uint16_t Port = 0;
};

HostPort splitHostPort(const std::string &Address);

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP
