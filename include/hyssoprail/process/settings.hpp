#ifndef HYSSOPRAIL_PROCESS_SETTINGS_HPP
#define HYSSOPRAIL_PROCESS_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/process/log.hpp"

namespace hyssoprail {

/// When the decode slot of a request is reserved; see SchedulingStrategy.
enum class SchedulingPolicy { None, Early, Predicted };

/// How account limits are enforced: by one owner per account shard, or as a
/// fixed share of the limit in every entry.
enum class LimitsPolicy { Owner, Fixed };

/// How an endpoint is chosen from the candidates; see PlacementStrategy.
enum class PlacementPolicy { TwoChoices, LeastLoaded };

/// What an agent stands in front of.
enum class EndpointKind { Engine, Service };

/// Returns the name used in the settings file, for example "two_choices".
std::string_view policyName(SchedulingPolicy Policy);
std::string_view policyName(LimitsPolicy Policy);
std::string_view policyName(PlacementPolicy Policy);

/// Settings that entries and agents have in common.
struct ProcessSettings {
  std::string Name;
  std::string Vm;
  std::string Zone;
  std::string Address;        ///< IP address to listen on
  std::string PeerAddress;    ///< "tcp://IP:PORT"; default: any free port
  std::uint16_t HttpPort = 0; ///< 0: any free port
  std::string LogLevel = "info";
  LogFormat Format = LogFormat::Text;
  std::size_t TimelineEvents = 20'000;
  bool FatalViolations = false; ///< abort if an invariant is violated
};

/// Settings of hyssoprail-entry.
struct EntrySettings {
  ProcessSettings Process;
  std::uint16_t AdminPort = 0;
  unsigned Threads = 2;
  std::string Platform; ///< "IP:PORT" of the platform's log and VM list
  std::vector<std::string> Entries; ///< peer addresses of other entries
  std::string KeySecret;
  std::string OperatorTokenDigest; ///< SHA-256, hexadecimal
  SchedulingPolicy Scheduling = SchedulingPolicy::Early;
  LimitsPolicy Limits = LimitsPolicy::Owner;
  PlacementPolicy Placement = PlacementPolicy::TwoChoices;
  std::chrono::milliseconds HeartbeatInterval{250};
  /// Time without an ack after which a link is replaced and its peer suspected.
  std::chrono::milliseconds SuspectAfter{1'000};
  std::chrono::milliseconds Lease{3'000}; ///< of a limit shard's owner
  /// Time without news of the log after which requests with a key are rejected.
  std::chrono::milliseconds KeyStaleness{5'000};
  /// Longest time for which requests are served during a log outage.
  std::chrono::milliseconds OutageGrace{120'000};
};

/// Settings of hyssoprail-agent.
struct AgentSettings {
  ProcessSettings Process;
  std::string Endpoint; ///< name of the endpoint in the configuration
  std::string Engine;   ///< "IP:PORT" of the engine or service
  EndpointKind Kind = EndpointKind::Engine;
  /// Time without heartbeats from an entry after which its work is cancelled.
  std::chrono::milliseconds Lease{2'000};
};

/// Replaces one field of the settings file before the file is validated.
struct SettingOverride {
  std::string Path;  ///< for example "policy.limits"
  std::string Value; ///< JSON, for example "\"fixed\"" or "8080"
};

using SettingOverrides = std::vector<SettingOverride>;

/// Parses settings from JSON text. Fails with InvalidSettings; the error names
/// the path of the field, its value and the remedy.
Result<EntrySettings>
parseEntrySettings(std::string_view Text,
                   const SettingOverrides &Overrides = {});
Result<AgentSettings>
parseAgentSettings(std::string_view Text,
                   const SettingOverrides &Overrides = {});

/// Parses the command line and the file named by --settings. Returns an exit
/// code if the program has to end: 0 after a successful --check, 2 if the
/// settings are invalid, in which case the error is on standard error.
///
/// \code
///   auto Settings = entrySettingsOrExit(Argc, Argv);
///   if (const int *Code = std::get_if<int>(&Settings))
///     return *Code;
/// \endcode
std::variant<EntrySettings, int> entrySettingsOrExit(int &Argc, char **&Argv);
std::variant<AgentSettings, int> agentSettingsOrExit(int &Argc, char **&Argv);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SETTINGS_HPP
