#ifndef HYSSOPRAIL_AGENT_AGENT_SETTINGS_HPP
#define HYSSOPRAIL_AGENT_AGENT_SETTINGS_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/process/agent_core.hpp"
#include "hyssoprail/process/log.hpp"

namespace hyssoprail {

/// Settings of hyssoprail-agent (section 9.4 of docs/design.md).
struct AgentSettings {
  std::string Name;
  std::string Vm;
  std::string Zone;
  std::string Address = "127.0.0.1";
  std::string PeerAddress = "tcp://127.0.0.1:0";
  std::uint16_t HttpPort = 0;
  std::string Endpoint;
  std::string Engine; ///< "IP:PORT"
  AgentKind Kind = AgentKind::Engine;
  milliseconds Lease{2'000};
  std::size_t TimelineEvents = 20'000;
  std::string LogLevel = "info";
  LogFormat Format = LogFormat::Text;
};

/// Reads the settings file \p Path. Fails with InvalidSettings.
Result<AgentSettings> readAgentSettings(const std::string &Path);

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_AGENT_SETTINGS_HPP
