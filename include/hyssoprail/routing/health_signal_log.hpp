#ifndef HYSSOPRAIL_ROUTING_HEALTH_SIGNAL_LOG_HPP
#define HYSSOPRAIL_ROUTING_HEALTH_SIGNAL_LOG_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// How the sends of this entry to engines ended: updates the own beliefs and
/// keeps the newest results for the coordinator, which places the requests of
/// all entries.
class HealthSignalLog {
public:
  struct Item {
    std::uint64_t Serial = 0;
    std::string EndpointId;
    HealthSignal Signal = HealthSignal::Success;
    TimePoint At{};
  };

  explicit HealthSignalLog(EndpointTable &Table) : Table(Table) {}

  void record(std::string_view EndpointId, HealthSignal Signal, TimePoint Now);

  /// Results that are not older than a few reports.
  const std::deque<Item> &recent(TimePoint Now);

private:
  EndpointTable &Table;
  std::deque<Item> Items;
  std::uint64_t LastSerial = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_EVIDENCE_LOG_HPP
