#ifndef HYSSOPRAIL_PROCESS_PROMISE_ROUND_HPP
#define HYSSOPRAIL_PROCESS_PROMISE_ROUND_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Promises that this process has asked all other members for. Only answers to
/// the newest round count.
class PromiseRound {
public:
  /// Starts a round; an unfinished one is given up.
  void start(std::uint64_t Id, const std::set<std::uint64_t> &Members,
             TimePoint Now);

  /// True if no round was started within \p Interval.
  bool due(TimePoint Now, Duration Interval) const;

  /// Notes an answer. Returns the time the round was started if this was the
  /// last promise missing.
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
