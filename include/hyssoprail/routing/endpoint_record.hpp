#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Role of an engine.
enum class EngineStage {
  None,    ///< not an engine: an endpoint of a plain service
  Prefill, ///< prefills prompts and keeps the KV cache for a decode engine
  Decode,  ///< generates; can also prefill a prompt itself, at half the speed
};

/// The last registration of an endpoint.
struct EndpointRecord {
  std::string Id; ///< of this incarnation of the endpoint
  std::string Service;
  std::string Address; ///< "IP:PORT"
  std::string Zone;
  unsigned Slots = 1;
  bool Draining = false;
  milliseconds ColdFor{0}; ///< remaining time for which it is cold
  EngineStage Stage = EngineStage::None;
  std::string Version; ///< of its software; empty: not stated
  /// Start time of the incarnation, in Unix milliseconds; 0: unknown.
  std::int64_t StartedAtMs = 0;
  std::int64_t Sequence = 0; ///< increases with each report of an incarnation
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP
