#include "hyssoprail/process/promise_round.hpp"

namespace hyssoprail {

void PromiseRound::start(std::uint64_t NewId,
                         const std::set<std::uint64_t> &Members,
                         TimePoint Now) {
  Id = NewId;
  StartedAt = Now;
  Outstanding = Members;
}

bool PromiseRound::due(TimePoint Now, Duration Interval) const {
  return !StartedAt || Now - *StartedAt >= Interval;
}

std::optional<TimePoint> PromiseRound::addReply(std::uint64_t RoundId,
                                                std::uint64_t Member,
                                                bool Granted) {
  if (RoundId != Id || !Granted || Outstanding.erase(Member) == 0 ||
      !Outstanding.empty())
    return std::nullopt;
  return StartedAt;
}

} // namespace hyssoprail
