#ifndef HYSSOPRAIL_ROUTING_VERSION_WATCH_HPP
#define HYSSOPRAIL_ROUTING_VERSION_WATCH_HPP

#include <optional>
#include <set>
#include <string>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// An entry that may be further behind the others does not know whether a
/// service has a single version.
inline constexpr milliseconds MaxVersionLag{1'000};

/// Knows for how long one entry has seen a single version of a service. The
/// time starts anew while the entry is behind the others, as it may have missed
/// a version then.
class VersionWatch {
public:
  /// \p Registered: the versions of the registered endpoints; \p Behind: how
  /// far this entry may be behind the others.
  void observe(const std::set<std::string> &Registered, Duration Behind,
               TimePoint Now);

  /// An endpoint of \p Version has registered.
  void note(const std::string &Version, TimePoint Now);

  /// The only version seen without a gap at least since \p Time.
  std::optional<std::string> onlySince(TimePoint Time) const;

  /// True if several versions were seen at \p Time or later.
  bool severalSince(TimePoint Time) const {
    return SeveralAt && *SeveralAt >= Time;
  }

private:
  std::optional<std::string> Only;
  TimePoint OnlySince{};
  std::optional<TimePoint> SeveralAt; ///< the last time
  TimePoint ObservedAt{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_VERSION_WATCH_HPP
