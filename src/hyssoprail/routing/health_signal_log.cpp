#include "hyssoprail/routing/health_signal_log.hpp"

namespace hyssoprail::routing {
namespace {

/// Results are repeated for this time, as reports may be lost.
constexpr milliseconds RepeatPeriod{700};
constexpr std::size_t MaxItems = 32;

} // namespace

void HealthSignalLog::record(std::string_view EndpointId, HealthSignal Signal,
                             TimePoint Now) {
  Table.record(EndpointId, Signal, Now);
  Items.push_back({++LastSerial, std::string(EndpointId), Signal, Now});
  if (Items.size() > MaxItems)
    Items.pop_front();
}

const std::deque<HealthSignalLog::Item> &
HealthSignalLog::recent(TimePoint Now) {
  while (!Items.empty() && Now - Items.front().At > RepeatPeriod)
    Items.pop_front();
  return Items;
}

} // namespace hyssoprail::routing
