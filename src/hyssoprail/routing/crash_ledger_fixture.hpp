#ifndef HYSSOPRAIL_ROUTING_CRASH_LEDGER_FIXTURE_HPP
#define HYSSOPRAIL_ROUTING_CRASH_LEDGER_FIXTURE_HPP

#include <string>

#include "hyssoprail/routing/crash_ledger.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing::testing {

/// A decode engine with an id of its own for each \p Number.
inline EndpointRecord numberedEngine(unsigned Number) {
  return engine("i-" + std::to_string(Number), EngineStage::Decode);
}

/// One ledger whose clock moves on by a second with each observation.
struct Observed {
  void crash(unsigned Engine, const PromptParts &Parts) {
    Now += milliseconds(1'000);
    Ledger.recordCrash(numberedEngine(Engine), Parts, Now);
  }
  void answer(const PromptParts &Parts) {
    Now += milliseconds(1'000);
    Ledger.recordAnswer(Parts, Now);
  }
  bool blames(const PromptParts &Parts) {
    return Ledger.isQuarantined(Parts, Now);
  }

  CrashLedger Ledger{1};
  TimePoint Now = Start;
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_CRASH_LEDGER_FIXTURE_HPP
