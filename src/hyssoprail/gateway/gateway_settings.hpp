#ifndef HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP
#define HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail::gateway {

/// Settings of hyssoprail-gateway. The file format is described by
/// schemas/hyssoprail-gateway.schema.json.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  std::string CallerAddress; ///< "IP:PORT", like all addresses here
  std::string ReadyAddress;
  std::string MetricsAddress; ///< empty: metrics are not served
  std::string PeerAddress;
  std::string Store;
  double Weight = 1;             ///< share of one core that the VM has
  milliseconds StopGrace{8'000}; ///< from SIGTERM to SIGKILL
  /// Budget of retries in any RetryWindow: RetryRatio per request, and
  /// RetrySlack more for all entries together.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  milliseconds RetryWindow{10'000};
  double QuotaOverage = 0;     ///< tolerated excess, as a share of the quota
  double QuotaSlackTokens = 0; ///< tolerated in addition, in tokens
  /// Tolerated request rate of a cold endpoint: the configured rate times
  /// ColdOverage, plus ColdSlack.
  double ColdOverage = 1;
  double ColdSlack = 0;
  bool UsePrefillEngines = true;
  /// Descriptors that the process may open, if fewer than its resource limit
  /// allows; 0: as many as that.
  std::size_t FileDescriptors = 0;
  std::size_t MemoryMb = 110; ///< memory of the process; more ends it
};

/// Parses settings from JSON text. Fails with InvalidSettings; the error names
/// the field, its value and the remedy.
Result<GatewaySettings> parseGatewaySettings(std::string_view Text);

/// Reads settings from a file. Fails like parseGatewaySettings().
Result<GatewaySettings> readGatewaySettings(const std::string &Path);

/// The parts of an "IP:PORT" address. splitHostPort() does not check the form,
/// as the schema has done so.
struct HostPort {
  std::string Ip;
  std::uint16_t Port = 0;
};

HostPort splitHostPort(const std::string &Address);

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP
