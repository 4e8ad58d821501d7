#ifndef HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP
#define HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// The part of one configuration version that concerns an agent.
struct AgentConfigView {
  std::uint64_t Version = 0;
  bool Configured = false; ///< the configuration contains the endpoint
  bool ZoneOut = false;    ///< its availability zone is out of service
  bool Leaving = false;    ///< the endpoint is marked as leaving
  bool ChecksFencing = true;
  std::string Model;        ///< model of the pool; "" = keep the current one
  std::string ModelVersion; ///< "" = keep the current one
  std::string Role; ///< "prefill", "decode" or "" = keep the current one
  std::uint64_t LeaseIncarnation = 0; ///< newest registered incarnation
  std::uint64_t LeaseOffset = 0; ///< its AgentLease record, the fencing token
  std::uint64_t DesiredVersion = 0; ///< version that last set model or role
  /// Number of endpoints in the zone whose desired state changed shortly before
  /// this endpoint's and which may therefore still be loading weights.
  std::uint32_t LoadRank = 0;
};

/// Configuration that an agent receives from entries.
class AgentConfig {
public:
  virtual ~AgentConfig() = default;

  /// Applies records. Returns false if earlier records are missing.
  virtual bool apply(const wire::ConfigRecords &Records) = 0;
  virtual void restore(const wire::State &State) = 0;
  virtual AgentConfigView view() const = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_CONFIG_HPP
