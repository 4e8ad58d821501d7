#ifndef HYSSOPRAIL_PROCESS_PROMISE_ROUND_HPP
#define HYSSOPRAIL_PROCESS_PROMISE_ROUND_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// A round of promise requests to all other members; see PromiseTable for what
/// a promise is. Only replies to the newest round count.
class PromiseRound {
public:
  /// Starts a round and abandons an unfinished one.
  void start(std::uint64_t Id, const std::set<std::uint64_t> &Members,
             TimePoint Now);

  /// True if no round was started within the last \p Interval.
  bool due(TimePoint Now, Duration Interval) const;

  /// Records a reply. Returns the start time of the round if the reply
  /// completes it, that is, all members have promised.
  std::optional<TimePoint> addReply(std::uint64_t Id, std::uint64_t Member,
                                    bool Granted);

  std::uint64_t id() const { return Id; }

private:
  std::uint64_t Id = 0;
  std::optional<TimePoint> StartedAt;
  std::set<std::uint64_t> Outstanding;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_PROMISE_ROUND_HPP
