#ifndef HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP
#define HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::routing {

/// An engine that should change its stage.
struct StageChange {
  std::string EndpointId;
  EngineStage To = EngineStage::None;
};

/// Number of engines of a service that its traffic keeps busy, averaged over
/// some seconds.
class EngineUtilization {
public:
  /// Records that a prompt of \p Tokens was prefilled in \p PrefillTime. \p
  /// NoBacklog: no other prompt was ahead of it at the engine, so the time
  /// shows the engine's speed.
  void recordPrefill(std::uint32_t Tokens, Duration PrefillTime,
                     bool NoBacklog);

  /// Takes a sample: the memory that generations hold at present equals that of
  /// \p DecodeEngines whole engines. Must be called several times per second.
  void sample(double DecodeEngines, TimePoint Now);

  /// Number of engines that the present traffic keeps busy; none until enough
  /// traffic has been observed.
  struct BusyEngines {
    double Prefill = 0;
    double Decode = 0;
  };
  std::optional<BusyEngines> busyEngines() const;

private:
  /// Speed of one prefill engine without a backlog.
  double PrefillTokensPerSecond = 0;
  unsigned SampledPrompts = 0; ///< prefilled without a backlog
  double TokensPrefilled = 0;  ///< since the last sample
  double PrefillTokenRate = 0; ///< tokens per second of all prefill engines
  double Decode = 0;
  TimePoint LastSampleAt{};
  Duration TrafficTime{}; ///< time with traffic
};

/// How urgently a service lacks decode memory.
struct StagePressure {
  /// The least-cost policy is in force. If not, the other values are not used.
  bool LeastCost = false;
  /// Of the waiting request that has used up the largest part of its objective:
  /// its wait, and the objective.
  Duration Wait{};
  Duration Objective{};
  Duration DrainTime{}; ///< until the present queue has been placed
};

/// Decides which engines change between prefill and decode. Load pattern:
/// decode memory runs out in bursts while some prefill engines are idle, or
/// traffic shifts to long prompts. Engines change in small rounds with long
/// pauses between them, as an engine serves no requests while it changes. With
/// the least-cost policy in force, rounds are larger and follow sooner while
/// requests wait for decode memory beyond a part of their objective.
class StagePlanner {
public:
  explicit StagePlanner(EndpointTable &Table) : Table(Table) {}

  /// Returns the changes that are due for \p Service, given its measured \p
  /// Utilization and the \p Pressure on it.
  std::vector<StageChange> plan(const ServicePolicy &Service,
                                const EngineUtilization &Utilization,
                                TimePoint Now,
                                const StagePressure &Pressure = {});

  /// Records that \p Change was sent to its engine.
  void recordOrder(const StageChange &Change, const ServicePolicy &Service,
                   TimePoint Now);

private:
  struct LastOrder {
    EngineStage To = EngineStage::None;
    TimePoint At{};
  };

  /// A time in which requests waited too long without interruption.
  struct PressurePeriod {
    TimePoint Since{};
    TimePoint LastAt{};
  };

  /// The pace at which engines change, and the reserve of prefill engines.
  struct Pace {
    double PrefillHeadroom = 1;
    double MaxRoundShare = 0;
    Duration RoundInterval{};
    bool DecodeIsFull = false; ///< all decode engines count as busy
  };

  /// The engines of a service in service. One that changes its stage counts in
  /// its target stage, but not for its zone.
  struct Engines {
    std::vector<Endpoint *> Prefill;
    std::vector<Endpoint *> Decode;
    std::map<std::string_view, int> PrefillCountByZone;
  };

  Pace paceOf(const ServicePolicy &Service, const StagePressure &Pressure,
              TimePoint Now);
  bool mayChange(const Endpoint &E, TimePoint Now) const;
  Engines enginesOf(std::string_view Service, TimePoint Now) const;
  /// At most \p Count changes to \p To.
  std::vector<StageChange> chooseChanges(Engines Present, EngineStage To,
                                         std::size_t Count,
                                         TimePoint Now) const;

  EndpointTable &Table;
  std::map<std::string, LastOrder, std::less<>> LastOrders;
  std::map<std::string, PressurePeriod, std::less<>> Pressed; ///< by service
  std::map<std::string, TimePoint, std::less<>> OrderedAt;    ///< by endpoint
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STAGE_PLANNER_HPP
