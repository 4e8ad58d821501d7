#ifndef HYSSOPRAIL_ENTRY_MEMBERSHIP_RECORDER_HPP
#define HYSSOPRAIL_ENTRY_MEMBERSHIP_RECORDER_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/membership.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail::entry {

/// Decides which Member records this entry appends: its own, and the removal
/// of entries that are gone. Without I/O.
class MembershipRecorder {
public:
  explicit MembershipRecorder(wire::Member Self) : Self(std::move(Self)) {}

  /// Returns the record to append now, if any. \p State tells whether an
  /// incarnation runs; \p LogHealthy that the log was read lately.
  std::optional<wire::Member>
  next(TimePoint Now, const std::vector<wire::MemberState> &Members,
       const std::function<Liveness(std::uint64_t)> &State, bool LogHealthy);

private:
  bool isFirstLive(const std::vector<wire::MemberState> &Members,
                   const std::function<Liveness(std::uint64_t)> &State) const;

  wire::Member Self;
  TimePoint NotBefore;
  std::optional<TimePoint> HealthySince;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_MEMBERSHIP_RECORDER_HPP
