#ifndef HYSSOPRAIL_AGENT_FIXED_AGENT_CONFIG_HPP
#define HYSSOPRAIL_AGENT_FIXED_AGENT_CONFIG_HPP

#include "hyssoprail/process/agent_config.hpp"

namespace hyssoprail {

/// Configuration of an agent that follows no log: version 0, in service.
class FixedAgentConfig : public AgentConfig {
public:
  bool apply(const wire::ConfigRecords &) override { return true; }
  void restore(const wire::State &) override {}
  AgentConfigView view() const override { return {}; }
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_FIXED_AGENT_CONFIG_HPP
