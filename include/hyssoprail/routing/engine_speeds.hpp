#ifndef HYSSOPRAIL_ROUTING_ENGINE_SPEEDS_HPP
#define HYSSOPRAIL_ROUTING_ENGINE_SPEEDS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// Factors beyond this, or below its inverse, are faults of the measurement.
inline constexpr double MaxSpeedFactor = 10;

/// Kinds of work whose speed is measured.
enum class EngineWorkKind { Prefill, Decode };
inline constexpr std::size_t EngineWorkKinds = 2;

/// Totals of one kind of work that an entry measured at one engine.
struct EngineWorkTotals {
  std::uint64_t Tokens = 0;
  std::uint64_t Micros = 0;
};

/// What one entry has measured at one incarnation of an engine.
struct EngineWorkReport {
  std::string Engine;
  std::int64_t StartedAtMs = 0; ///< identifies the incarnation of the engine
  std::array<EngineWorkTotals, EngineWorkKinds> Work;
  std::uint64_t Samples = 0; ///< prefills and events of both kinds
};

/// Speed of an engine relative to the others of its service.
enum class SpeedClass { Slow, Usual, Fast };

/// The class of an engine has changed.
struct EngineSpeedChange {
  std::string EngineId;
  std::string Service;
  double Before = 1;
  double Factor = 1;
  double Samples = 0; ///< recent ones
};

/// Expected time per token of decode work as a function of the runs at the
/// engine: a + b * runs, fitted to recent work of a service.
class DecodeTimeModel {
public:
  /// Adds \p Tokens that took \p MicrosPerToken at an engine with \p Runs.
  void add(double Tokens, double MicrosPerToken, double Runs, TimePoint Now);

  /// Expected microseconds per token with \p Runs; 0 while nothing is known.
  double expected(double Runs) const;

private:
  double Weight = 0;
  double RunSum = 0;
  double RunSquares = 0;
  double TimeSum = 0;
  double RunTimeSum = 0;
  TimePoint UpdatedAt{};
};

/// Learns how fast the engines of each service are relative to their median,
/// from totals that entries report, and keeps Endpoint::SpeedFactor. Load
/// pattern: engines of a service run at 0.7 to 1.7 times the usual speed, or
/// one turns four times slower for some seconds, and requests that are spread
/// by memory alone are late at the slow ones.
class EngineSpeeds {
public:
  explicit EngineSpeeds(EndpointTable &Table) : Table(Table) {}

  /// Merges what the incarnation \p Incarnation of the entry \p Entry has
  /// measured. Totals of another incarnation of the engine are ignored.
  void observe(const std::string &Entry, std::uint64_t Incarnation,
               const EngineWorkReport &Report, TimePoint Now);

  /// Computes the factors and sets them in the endpoint table. Returns the
  /// engines whose factor has crossed 1.5 or 1 / 1.5, or has returned to less
  /// than 1.3 or more than 1 / 1.3.
  std::vector<EngineSpeedChange> update(TimePoint Now);

  /// Forgets engines that are gone and entries that are silent. Part of
  /// update(); to be called instead of it while speeds are not applied.
  void forgetStale(TimePoint Now);

  /// True while the engines of \p Service count as differing in speed.
  bool isUneven(std::string_view Service) const;

  /// Forgets everything and sets all factors to 1.
  void clear();

private:
  /// Recent work of one kind, in seconds.
  struct Recent {
    double Expected = 0;
    double Measured = 0;
    double speed() const;
  };

  struct Engine {
    std::int64_t StartedAtMs = 0;
    std::array<Recent, EngineWorkKinds> Work;
    double Samples = 0;
    TimePoint UpdatedAt{};
    SpeedClass Class = SpeedClass::Usual;
    double ClassFactor = 1; ///< when the class last changed
  };

  /// The latest totals of an entry.
  struct Source {
    std::uint64_t Incarnation = 0; ///< of the entry
    EngineWorkReport Totals;
    TimePoint HeardAt{};
  };

  struct Service {
    /// Seconds of prefill and its tokens, decayed.
    double PrefillSeconds = 0;
    double PrefillTokens = 0;
    TimePoint PrefillAt{};
    DecodeTimeModel Decode;
    bool Uneven = false;
    TimePoint EvenSince{}; ///< while uneven: since when the spread is small
  };

  /// An engine with enough samples for a factor.
  struct Known {
    Endpoint *Target = nullptr;
    Engine *State = nullptr;
    double Factor = 1;
  };

  static void decay(Engine &E, TimePoint Now);
  void addGrowth(const Endpoint &Target, const EngineWorkReport &Before,
                 const EngineWorkReport &Report, TimePoint Now);
  void addWork(Engine &E, const Endpoint &Target, EngineWorkKind Kind,
               const EngineWorkTotals &Work, TimePoint Now);
  void updateService(Service &S, std::vector<Known> &Engines, TimePoint Now);
  static void setFactors(std::vector<Known> &Engines);
  static void updateUneven(Service &S, const std::vector<Known> &Engines,
                           TimePoint Now);

  EndpointTable &Table;
  std::map<std::string, Engine, std::less<>> Engines;
  std::map<std::string, Service, std::less<>> Services;
  /// By engine, then by entry.
  std::map<std::string, std::map<std::string, Source, std::less<>>, std::less<>>
      Sources;
  TimePoint SourcesCheckedAt{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENGINE_SPEEDS_HPP
