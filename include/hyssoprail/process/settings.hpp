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

enum class SchedulingPolicy { None, Early, Predicted };
enum class LimitsPolicy { Owner, Fixed };
enum class PlacementPolicy { TwoChoices, LeastLoaded };
enum class EndpointKind { Engine, Service };

/// Names as the settings file has them, for example "two_choices".
std::string_view policyName(SchedulingPolicy Policy);
std::string_view policyName(LimitsPolicy Policy);
std::string_view policyName(PlacementPolicy Policy);

/// Fields that all processes have.
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
  bool FatalViolations = false; ///< a violated invariant ends the process
};

/// Settings of hyssoprail-entry.
struct EntrySettings {
  ProcessSettings Process;
  std::uint16_t AdminPort = 0;
  unsigned Threads = 2;
  std::string Platform;             ///< "IP:PORT"
  std::vector<std::string> Entries; ///< peer addresses of other entries
  std::string KeySecret;
  std::string OperatorTokenDigest; ///< SHA-256, hexadecimal
  SchedulingPolicy Scheduling = SchedulingPolicy::Early;
  LimitsPolicy Limits = LimitsPolicy::Owner;
  PlacementPolicy Placement = PlacementPolicy::TwoChoices;
  std::chrono::milliseconds HeartbeatInterval{250};
  std::chrono::milliseconds SuspectAfter{1'000};
  std::chrono::milliseconds Lease{3'000}; ///< of a limit owner
  std::chrono::milliseconds KeyStaleness{5'000};
  std::chrono::milliseconds OutageGrace{120'000};
};

/// Settings of hyssoprail-agent.
struct AgentSettings {
  ProcessSettings Process;
  std::string Endpoint; ///< name of the endpoint in the configuration
  std::string Engine;   ///< "IP:PORT" of the engine or service
  EndpointKind Kind = EndpointKind::Engine;
  std::chrono::milliseconds Lease{2'000}; ///< of an entry's work
};

/// Replaces one field of the file before it is checked.
struct SettingOverride {
  std::string Path;  ///< for example "policy.limits"
  std::string Value; ///< JSON, for example "\"fixed\"" or "8080"
};

using SettingOverrides = std::vector<SettingOverride>;

/// Reads settings from JSON text. Fails with InvalidSettings; the error names
/// the path of the field, the value seen and the remedy.
Result<EntrySettings> parseEntrySettings(std::string_view Text,
                                         const SettingOverrides &Changes = {});
Result<AgentSettings> parseAgentSettings(std::string_view Text,
                                         const SettingOverrides &Changes = {});

/// Parses the command line and the file named by --settings. Holds the exit
/// code if the program has to end: 0 after a successful --check, 2 if the
/// settings are wrong, which is then explained on standard error.
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
