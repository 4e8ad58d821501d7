#ifndef HYSSOPRAIL_ROUTING_HELD_CACHE_HPP
#define HYSSOPRAIL_ROUTING_HELD_CACHE_HPP

#include <optional>
#include <utility>

#include "hyssoprail/routing/flow_io.hpp"

namespace hyssoprail::routing {

/// Reference to the KV cache that a prefill engine holds for a request until a
/// decode engine has fetched it.
class HeldCache {
public:
  /// \p Retention is how long the engine holds a cache that is not fetched.
  explicit HeldCache(milliseconds Retention) : Retention(Retention) {}

  void store(KvSource Source, TimePoint Now) {
    Held = std::move(Source);
    StoredAt = Now;
    Refusals = 0;
  }

  bool held() const { return Held.has_value(); }

  /// Returns the cache if the engine should still hold it when a leg that is
  /// sent now arrives.
  std::optional<KvSource> usable(TimePoint Now) const {
    const Duration Usable =
        std::chrono::duration_cast<Duration>(Retention * UsableShare);
    return Now < StoredAt + Usable ? Held : std::nullopt;
  }

  /// Counts a decode engine that refused the leg with this cache. Returns the
  /// number of refusals so far.
  unsigned recordRefusal() { return ++Refusals; }

  /// A decode engine has fetched the cache.
  void fetched() { Held.reset(); }

  /// Forgets the cache and returns it, so that its engine can be told to free
  /// it.
  std::optional<KvSource> discard() {
    return std::exchange(Held, std::nullopt);
  }

private:
  /// Share of the retention after which the cache is no longer used. The rest
  /// is left for the leg to reach the engine.
  static constexpr double UsableShare = 0.9;

  milliseconds Retention;
  std::optional<KvSource> Held;
  TimePoint StoredAt{};
  unsigned Refusals = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_HELD_CACHE_HPP
