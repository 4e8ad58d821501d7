#ifndef HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP
#define HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// What an agent needs to know of one configuration version.
struct AgentConfigView {
  std::uint64_t Version = 0;
  bool Configured = false; ///< the endpoint is configured
  bool ZoneOut = false;    ///< its availability zone is out of service
  bool Leaving = false;    ///< the endpoint is marked as leaving
  bool ChecksFencing = true;
  std::string Model;        ///< model the pool asks for; "" = as it is
  std::string ModelVersion; ///< "" = as it is
  std::string Role;         ///< "prefill", "decode" or "" = as it is
  std::uint64_t LeaseIncarnation = 0; ///< newest registered incarnation
  std::uint64_t LeaseOffset = 0;      ///< fencing number of that incarnation
  std::uint64_t DesiredVersion = 0;   ///< record that wrote model and role last
  /// Endpoints of the zone whose wanted state changed shortly before.
  std::uint32_t LoadRank = 0;
};

/// Configuration as an agent receives it from entries.
class AgentConfig {
public:
  virtual ~AgentConfig() = default;

  /// Applies records; returns false if some before them are missing.
  virtual bool apply(const wire::ConfigRecords &Records) = 0;
  virtual void restore(const wire::State &State) = 0;
  virtual AgentConfigView view() const = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP
