#ifndef HYSSOPRAIL_ENTRY_CONFIG_FRESHNESS_HPP
#define HYSSOPRAIL_ENTRY_CONFIG_FRESHNESS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/error.hpp"

namespace hyssoprail::entry {

/// What another entry said of the log in its newest heartbeat.
struct PeerLogView {
  TimePoint HeardAt;
  TimePoint LogReadAt; ///< when it last read the log's end
  std::uint64_t Version = 0;
};

struct FreshnessOptions {
  milliseconds KeyStaleness{5'000};
  milliseconds OutageGrace{120'000};
  milliseconds Suspect{1'000}; ///< a peer that is silent for longer is cut off
};

/// Decides whether this entry may still trust its copy of the configuration,
/// which decides about withdrawn keys (docs/design.md, section 5.1). Without
/// I/O and not thread-safe.
class ConfigFreshness {
public:
  explicit ConfigFreshness(FreshnessOptions Options) : Options(Options) {}

  /// This entry read the log's end; the read began at \p Began.
  void logRead(TimePoint Began);

  /// A heartbeat of another entry arrived.
  void peerHeard(std::uint64_t Incarnation, const PeerLogView &View);

  /// Returns why keyed work must be rejected at \p Now, if so. \p Members are
  /// the incarnations of the other member entries in the configuration state.
  std::optional<Error> whyStale(TimePoint Now, std::uint64_t Version,
                                const std::vector<std::uint64_t> &Members);

  /// Time since this entry last read the log's end.
  milliseconds logAge(TimePoint Now) const;

private:
  bool plainOutage(TimePoint Now, std::uint64_t Version,
                   const std::vector<std::uint64_t> &Members) const;

  FreshnessOptions Options;
  std::optional<TimePoint> LogReadAt;
  std::map<std::uint64_t, PeerLogView> Peers;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_CONFIG_FRESHNESS_HPP
