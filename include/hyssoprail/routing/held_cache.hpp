#ifndef HYSSOPRAIL_ROUTING_HELD_CACHE_HPP
#define HYSSOPRAIL_ROUTING_HELD_CACHE_HPP

#include <optional>
#include <utility>

#include "hyssoprail/routing/flow_io.hpp"

namespace hyssoprail::routing {

/// The KV cache that a prefill engine keeps for a request until a decode engine
/// has fetched it.
class HeldCache {
public:
  /// \p Retention is the time that the engine keeps a cache.
  explicit HeldCache(milliseconds Retention) : Retention(Retention) {}

  void hold(KvSource Source, TimePoint Now) {
    Held = std::move(Source);
    Since = Now;
    Refusals = 0;
  }

  bool held() const { return Held.has_value(); }

  /// The cache if it should still live when a send arrives.
  std::optional<KvSource> usable(TimePoint Now) const {
    const Duration Usable =
        std::chrono::duration_cast<Duration>(Retention * UsableShare);
    return Now < Since + Usable ? Held : std::nullopt;
  }

  /// An engine refused it; returns how many have.
  unsigned refused() { return ++Refusals; }

  /// It was fetched.
  void fetched() { Held.reset(); }

  /// Gives it up and returns it, so that its engine can be told.
  std::optional<KvSource> giveUp() { return std::exchange(Held, std::nullopt); }

private:
  /// Part of the retention that may pass before a send; its way may take the
  /// rest.
  static constexpr double UsableShare = 0.9;

  milliseconds Retention;
  std::optional<KvSource> Held;
  TimePoint Since{};
  unsigned Refusals = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_HELD_CACHE_HPP
