#include "hyssoprail/process/cold_start_ramp.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Weight of a new sample in the moving average of the warm baseline.
constexpr double BaselineWeight = 0.02;

} // namespace

void ColdStartRamp::restart(TimePoint Now) {
  Cold = true;
  Limit = 1;
  SlowSamples = 0;
  LastChange = Now;
}

void ColdStartRamp::setMax(unsigned NewMax) {
  Max = std::max(1U, NewMax);
  Limit = std::min(Limit, Max);
  if (!Cold)
    Limit = Max;
}

void ColdStartRamp::setReportedCold(bool IsCold, TimePoint Now) {
  EngineCold = IsCold;
  if (IsCold && !Cold)
    restart(Now);
}

RampSignal ColdStartRamp::addSample(double Latency, unsigned Running,
                                    TimePoint Now) {
  if (Cold) {
    if (Latency > bound())
      halve(Now);
    else if (Running >= Limit)
      increase(Now);
    return RampSignal::None;
  }
  if (Baseline > 0 && Latency > Baseline * Options.SlowFactor) {
    ++SlowSamples;
    if (SlowSamples >= Options.ColdSamples) {
      restart(Now);
      return RampSignal::ColdStart;
    }
    return SlowSamples % Options.SuspectSamples == 0 ? RampSignal::Suspect
                                                     : RampSignal::None;
  }
  SlowSamples = 0;
  Baseline = Baseline == 0 ? Latency
                           : Baseline + (Latency - Baseline) * BaselineWeight;
  return RampSignal::None;
}

void ColdStartRamp::onFailure(TimePoint Now) {
  if (Cold)
    halve(Now);
}

void ColdStartRamp::onCrash(unsigned Running) {
  if (EngineCold && Running > 1)
    CrashLoad = CrashLoad == 0 ? Running : std::min(CrashLoad, Running);
}

unsigned ColdStartRamp::limit() const { return Cold ? Limit : Max; }

double ColdStartRamp::bound() const {
  return Baseline == 0 ? Options.InitialBound : Baseline * Options.BoundFactor;
}

void ColdStartRamp::halve(TimePoint Now) {
  // Samples of work admitted before the last change must not halve it again.
  if (Now - LastChange < Options.ColdInterval)
    return;
  Limit = std::max(1U, Limit / 2);
  LastChange = Now;
}

void ColdStartRamp::increase(TimePoint Now) {
  const milliseconds Interval =
      EngineCold ? Options.ColdInterval : Options.WarmInterval;
  if (Now - LastChange < Interval)
    return;
  LastChange = Now;
  if (!EngineCold) {
    // Doubling brings a warm endpoint with 64 slots into full service within
    // six load reports. A latency above the bound still halves the limit.
    Limit = std::min(Max, 2 * Limit);
    Cold = Limit < Max;
    return;
  }
  const bool AtCrashLoad = CrashLoad != 0 && Limit + 1 >= CrashLoad;
  if (Limit < Max && !AtCrashLoad)
    ++Limit;
}

} // namespace hyssoprail
