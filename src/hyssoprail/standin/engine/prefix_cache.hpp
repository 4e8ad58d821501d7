#ifndef HYSSOPRAIL_STANDIN_ENGINE_PREFIX_CACHE_HPP
#define HYSSOPRAIL_STANDIN_ENGINE_PREFIX_CACHE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/standin/json_fields.hpp"

namespace hyssoprail::standin {

/// Least-recently-used cache of prompt prefixes in blocks, with delayed events
/// of which some are lost.
class PrefixCache {
public:
  using Time = std::chrono::steady_clock::time_point;

  PrefixCache(std::uint64_t CapacityTokens, std::chrono::milliseconds Delay,
              double Loss, std::uint64_t Seed);

  /// Returns how many tokens at the start of \p Prompt are cached.
  std::uint64_t cachedTokens(const std::string &Prompt) const;

  /// Stores the prefixes of \p Prompt and evicts the least recently used.
  void store(const std::string &Prompt, Time Now);

  void clear();

  /// Events after \p After that are visible at \p Now, in the shape of
  /// GET /cache_events.
  Json events(std::uint64_t After, Time Now) const;

private:
  struct CacheEvent {
    std::uint64_t Seq = 0;
    std::uint64_t Prefix = 0;
    bool Stored = false;
    Time VisibleAt;
  };

  void record(std::uint64_t Prefix, bool Stored, Time Now);

  std::uint64_t CapacityBlocks;
  std::chrono::milliseconds Delay;
  double Loss;
  RandomSource Random;
  std::uint64_t LastSeq = 0;
  std::list<std::uint64_t> Newest; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Blocks;
  std::deque<CacheEvent> Events;
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_ENGINE_PREFIX_CACHE_HPP
