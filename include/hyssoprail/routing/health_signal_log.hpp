#ifndef HYSSOPRAIL_ROUTING_HEALTH_SIGNAL_LOG_HPP
#define HYSSOPRAIL_ROUTING_HEALTH_SIGNAL_LOG_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// Records how this entry's legs to engines ended: updates its own endpoint
/// table, and keeps the newest signals for its reports to the coordinator,
/// which schedules the requests of all entries.
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

  /// Signals that are recent enough to go into the next report. Each is
  /// reported several times, as reports may be lost.
  const std::deque<Item> &recent(TimePoint Now);

private:
  EndpointTable &Table;
  std::deque<Item> Items;
  std::uint64_t LastSerial = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_HEALTH_SIGNAL_LOG_HPP
