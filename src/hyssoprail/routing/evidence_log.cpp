#include "hyssoprail/routing/evidence_log.hpp"

namespace hyssoprail::routing {
namespace {

/// Results are repeated for this time, as reports may be lost.
constexpr milliseconds Kept{700};
constexpr std::size_t MaxItems = 32;

} // namespace

void EvidenceLog::record(std::string_view EndpointId, HealthSignal What,
                         TimePoint Now) {
  Table.record(EndpointId, What, Now);
  Items.push_back({++LastSerial, std::string(EndpointId), What, Now});
  if (Items.size() > MaxItems)
    Items.pop_front();
}

const std::deque<EvidenceLog::Item> &EvidenceLog::recent(TimePoint Now) {
  while (!Items.empty() && Now - Items.front().At > Kept)
    Items.pop_front();
  return Items;
}

} // namespace hyssoprail::routing
