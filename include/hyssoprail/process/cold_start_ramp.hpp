#ifndef HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP
#define HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

struct RampOptions {
  /// Highest latency that allows an increase while no warm baseline is known,
  /// in the unit of the samples.
  double InitialBound = 1.0;
  /// Highest latency that allows an increase, as a multiple of the warm
  /// baseline.
  double BoundFactor = 2.0;
  /// Latency above which a sample counts as slow, as a multiple of the warm
  /// baseline.
  double SlowFactor = 2.0;
  /// Consecutive slow samples after which the engine's status should be
  /// queried.
  unsigned SuspectSamples = 4;
  /// Consecutive slow samples that are taken for a new cold start, for engines
  /// that do not report one.
  unsigned ColdSamples = 256;
  /// Minimum time between two increases while the engine reports that it is
  /// cold, and between two reductions. A cold engine may fail under load before
  /// its latency rises, so the limit has to stay low for the whole of a cold
  /// start, which takes a few seconds.
  milliseconds ColdInterval{1'000};
  /// Minimum time between two increases otherwise.
  milliseconds WarmInterval{50};
};

/// Conclusion from a latency sample.
enum class RampSignal {
  None,
  Suspect,   ///< latency is far above the baseline, query the engine
  ColdStart, ///< a new cold start has begun
};

/// Concurrency limit of an engine that has just started. The limit begins at
/// one request. While work at the limit keeps its latency within the bound, the
/// limit grows once per interval: by one if the engine reports that it is cold,
/// to twice its value if the engine reports warm or nothing. Latency above the
/// bound halves it.
///
/// \code
///   Ramp.restart(Now);
///   Ramp.sample(Latency, Running, Now);
///   if (Running < Ramp.limit()) ...
/// \endcode
class ColdStartRamp {
public:
  explicit ColdStartRamp(RampOptions Options) : Options(Options) {}

  /// Begins a cold start: resets the limit to 1.
  void restart(TimePoint Now);

  /// Sets the upper bound of the limit.
  void setMax(unsigned Max);

  /// Sets whether the engine reports that it is cold. If it was considered warm
  /// before, a cold start begins.
  void setReportedCold(bool IsCold, TimePoint Now);

  /// Adds a latency sample taken with \p Running units of work on the engine.
  RampSignal addSample(double Latency, unsigned Running, TimePoint Now);

  /// The engine was overloaded or failed: halves the limit during a cold start.
  void onFailure(TimePoint Now);

  /// The engine crashed with \p Running units of work. If it reported cold,
  /// later cold starts stay below that load.
  void onCrash(unsigned Running);

  unsigned limit() const;
  bool cold() const { return Cold; }

private:
  double bound() const;
  void halve(TimePoint Now);
  void increase(TimePoint Now);

  RampOptions Options;
  bool Cold = true;
  bool EngineCold = false;
  unsigned Max = 1;
  unsigned Limit = 1;
  unsigned CrashLoad = 0; ///< load that crashed the cold engine, 0: none known
  unsigned SlowSamples = 0;
  double Baseline = 0; ///< mean latency of the warm engine, 0: none known
  TimePoint LastChange{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP
