#include "hyssoprail/process/promise_round.hpp"

namespace hyssoprail {

void PromiseRound::start(std::uint64_t NewId,
                         const std::set<std::uint64_t> &Members,
                         TimePoint Now) {
  Id = NewId;
  Started = Now;
  Missing = Members;
}

bool PromiseRound::due(TimePoint Now, Duration Length) const {
  return !Started || Now - *Started >= Length;
}

std::optional<TimePoint> PromiseRound::answered(std::uint64_t RoundId,
                                                std::uint64_t Member,
                                                bool Granted) {
  if (RoundId != Id || !Granted || Missing.erase(Member) == 0 ||
      !Missing.empty())
    return std::nullopt;
  return Started;
}

} // namespace hyssoprail
