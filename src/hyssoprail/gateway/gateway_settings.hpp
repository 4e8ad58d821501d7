#ifndef HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP
#define HYSSOPRAIL_GATEWAY_GATEWAY_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/routing/overload_mode.hpp"

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
  /// How requests are ordered and refused while there is too little room.
  routing::OverloadMode Overload = routing::OverloadMode::Arrival;
  bool OverloadIsSet = false; ///< the file names a mode
  /// Calls of plain services wait for slots at the entries.
  bool QueueCalls = false;
  /// Features that the platform says are in use; only the adapter of the
  /// platform knows their names.
  std::vector<std::string> PlatformFeatures;
  /// Largest share of a service's requests, and number beyond that share, that
  /// a version may get before its rollout is completed. With a share of 0
  /// rollouts are not carried out.
  double ExposureShare = 0;
  double ExposureSlack = 0;
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
