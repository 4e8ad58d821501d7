#ifndef HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP
#define HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

struct RampOptions {
  /// Latency that allows an increase before a warm baseline is known, in the
  /// unit of the samples.
  double InitialBound = 1.0;
  /// Bound as a multiple of the warm baseline.
  double BoundFactor = 2.0;
  /// Latency that is far above the warm baseline, as a multiple of it.
  double SlowFactor = 2.0;
  /// Consecutive slow samples after which the engine should be asked.
  unsigned SuspectSamples = 4;
  /// Consecutive slow samples that mean a new cold start by themselves, for
  /// engines that do not report it.
  unsigned ColdSamples = 256;
  /// Time between two increases while the engine reports that it is cold. The
  /// load it bears then may show no sign in its latency before it fails, so
  /// the limit stays low for the whole of a cold start of a few seconds.
  milliseconds ColdInterval{1'000};
  /// Time between two increases when the engine reports that it is warm.
  milliseconds WarmInterval{50};
};

/// What a latency sample means.
enum class RampSignal {
  None,
  Suspect,   ///< latency is far above the baseline: ask the engine
  ColdStart, ///< a new cold start has begun
};

/// Limit on concurrent work of an engine that has just started: one request
/// first, one more per interval while latency at the limit stays under the
/// bound and the engine reports that it is cold, twice as much if it reports
/// warm or nothing, and half of it when latency is above.
///
/// \code
///   Ramp.restart(Now);
///   Ramp.sample(Latency, Running, Now);
///   if (Running < Ramp.limit()) ...
/// \endcode
class ColdStartRamp {
public:
  explicit ColdStartRamp(RampOptions Options) : Options(Options) {}

  /// Begins a cold start: the limit falls to 1.
  void restart(TimePoint Now);

  /// Sets the largest useful limit.
  void setMax(unsigned Max);

  /// Notes whether the engine itself reports that it is cold. A warm engine
  /// that reports cold begins a cold start.
  void setReportedCold(bool IsCold, TimePoint Now);

  /// Adds a latency sample taken while \p Running units of work were on the
  /// engine.
  RampSignal addSample(double Latency, unsigned Running, TimePoint Now);

  /// The engine was overloaded or failed: halves the limit while cold.
  void onFailure(TimePoint Now);

  /// The engine crashed with \p Running units of work while it reported cold:
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
  unsigned Ceiling = 0; ///< load that crashed the cold engine; 0: not known
  unsigned SlowSamples = 0;
  double Baseline = 0; ///< 0: not known yet
  TimePoint LastChange{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_COLD_START_RAMP_HPP
