#include "hyssoprail/process/read_lease.hpp"

#include <algorithm>

namespace hyssoprail {

std::optional<std::uint64_t> ReadLease::startRead(TimePoint Now) {
  // A read older than the lease can no longer extend it.
  std::erase_if(Open, [&](const auto &Read) {
    return Now - Read.second >= Options.LeaseDuration;
  });
  if (LastStart && Now - *LastStart < Options.ReadInterval)
    return std::nullopt;
  LastStart = Now;
  Open.emplace(++Reads, Now);
  return Reads;
}

void ReadLease::finishRead(std::uint64_t ReadId) {
  const auto It = Open.find(ReadId);
  if (It == Open.end())
    return;
  const TimePoint Started = It->second;
  Open.erase(It);
  End = std::max(End, Started + Options.LeaseDuration);
  LastRead = LastRead ? std::max(*LastRead, Started) : Started;
}

void ReadLease::extendByPromises(TimePoint Asked) {
  if (!LastRead)
    return;
  const TimePoint Until = std::min<TimePoint>(Asked + Options.LeaseDuration,
                                              *LastRead + Options.OutageGrace);
  End = std::max(End, Until);
}

} // namespace hyssoprail
