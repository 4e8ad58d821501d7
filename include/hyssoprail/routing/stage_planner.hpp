#ifndef HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP
#define HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::routing {

/// An engine that should play another part.
struct StageChange {
  std::string EndpointId;
  EngineStage To = EngineStage::None;
};

/// How busy the engines of a service are, averaged over some seconds.
class EngineUtilization {
public:
  /// A prompt of \p Tokens was read in \p Took. \p Alone: none was read there
  /// before it.
  void recordPrefill(std::uint32_t Tokens, Duration Took, bool Alone);

  /// Generations hold the memory of \p DecodeEngines whole engines now. To be
  /// called some times a second.
  void sample(double DecodeEngines, TimePoint Now);

  /// Engines that the present traffic keeps busy; nothing until the traffic has
  /// been seen for long enough.
  struct BusyEngines {
    double Prefill = 0;
    double Decode = 0;
  };
  std::optional<BusyEngines> busyEngines() const;

private:
  double TokensPerSecond = 0; ///< that one prefill engine reads
  unsigned Prompts = 0;       ///< read alone
  double TokensRead = 0;      ///< since the last observation
  double ReadingRate = 0;     ///< tokens per second at all prefill engines
  double Decode = 0;
  TimePoint Observed{};
  Duration Seen{}; ///< time with traffic
};

/// Decides which engines change between reading prompts and generating. Load
/// pattern: decode memory runs out in bursts while a part of the prefill
/// engines idles, or the traffic shifts to long prompts. Changes come in small
/// rounds with long pauses, as an engine serves nobody while it changes.
class StagePlanner {
public:
  explicit StagePlanner(EndpointTable &Table) : Table(Table) {}

  /// The changes that are due for a service with the measured \p Work.
  std::vector<StageChange> plan(const ServicePolicy &Service,
                                const EngineUtilization &Utilization, TimePoint Now);

  /// A change was ordered.
  void recordOrder(const StageChange &Change, const ServicePolicy &Service,
               TimePoint Now);

private:
  struct LastOrder {
    EngineStage To = EngineStage::None;
    TimePoint At{};
  };

  bool mayChange(const Endpoint &E, TimePoint Now) const;

  EndpointTable &Table;
  std::map<std::string, LastOrder, std::less<>> LastOfService;
  std::map<std::string, TimePoint, std::less<>> OrderedAt; ///< by endpoint
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP
