#include "hyssoprail/process/read_lease.hpp"

#include <algorithm>

namespace hyssoprail {

std::optional<std::uint64_t> ReadLease::startRead(TimePoint Now) {
  // A read that started more than LeaseDuration ago can no longer extend the
  // lease.
  std::erase_if(InFlight, [&](const auto &Read) {
    return Now - Read.second >= Options.LeaseDuration;
  });
  if (LastReadStart && Now - *LastReadStart < Options.ReadInterval)
    return std::nullopt;
  LastReadStart = Now;
  InFlight.emplace(++LastReadId, Now);
  return LastReadId;
}

void ReadLease::finishRead(std::uint64_t ReadId) {
  const auto It = InFlight.find(ReadId);
  if (It == InFlight.end())
    return;
  const TimePoint StartedAt = It->second;
  InFlight.erase(It);
  End = std::max(End, StartedAt + Options.LeaseDuration);
  LastConfirmedStart =
      LastConfirmedStart ? std::max(*LastConfirmedStart, StartedAt) : StartedAt;
}

void ReadLease::extendByPromises(TimePoint RequestedAt) {
  if (!LastConfirmedStart)
    return;
  const TimePoint Until =
      std::min<TimePoint>(RequestedAt + Options.LeaseDuration,
                          *LastConfirmedStart + Options.OutageGrace);
  End = std::max(End, Until);
}

} // namespace hyssoprail
