#ifndef HYSSOPRAIL_PROCESS_STORED_AGENT_CONFIG_HPP
#define HYSSOPRAIL_PROCESS_STORED_AGENT_CONFIG_HPP

#include <string>

#include "hyssoprail/process/agent_config.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail {

/// Configuration of one endpoint's agent, built from the log records that
/// entries send.
class StoredAgentConfig : public AgentConfig {
public:
  /// \p Zone is the endpoint's zone as long as its VM is not in the
  /// configuration.
  StoredAgentConfig(std::string Endpoint, std::string Zone);

  bool apply(const wire::ConfigRecords &Records) override;
  void restore(const wire::State &State) override;
  AgentConfigView view() const override;

private:
  std::string zoneOf(const ConfigState &Config,
                     const wire::Endpoint &Target) const;
  std::uint32_t loadRank(const ConfigState &Config,
                         const wire::Endpoint &Target) const;

  std::string Endpoint;
  std::string Zone;
  ConfigStore Store;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_STORED_AGENT_CONFIG_HPP
