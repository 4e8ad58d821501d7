#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// The part an engine plays.
enum class EngineStage {
  None,    ///< a plain service
  Prefill, ///< reads prompts, keeps their KV cache for a decode engine
  Decode,  ///< generates; may also read a prompt itself, at half the speed
};

/// What an endpoint last registered about itself.
struct EndpointRecord {
  std::string Id; ///< of the incarnation
  std::string Service;
  std::string Address; ///< "IP:PORT"
  std::string Zone;
  unsigned Slots = 1;
  bool Draining = false;
  milliseconds ColdFor{0}; ///< how much longer it stays cold
  EngineStage Stage = EngineStage::None;
  std::int64_t StartedAtMs = 0;     ///< start of the incarnation, Unix ms; 0: unknown
  std::int64_t Sequence = 0; ///< grows with each report of an incarnation
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_RECORD_HPP
