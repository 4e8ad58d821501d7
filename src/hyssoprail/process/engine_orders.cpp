#include "hyssoprail/process/engine_orders.hpp"

#include <algorithm>

namespace hyssoprail {

void EngineOrders::configApplied(const AgentConfigView &View) {
  if (View.LeaseIncarnation == Incarnation)
    HadLease = true;
}

bool EngineOrders::needsLease(const AgentConfigView &View) const {
  // An agent whose lease passed to another incarnation was replaced.
  return View.Known && !HadLease && View.LeaseIncarnation != Incarnation;
}

bool EngineOrders::differs(const AgentConfigView &View,
                           const StatusResult &Engine) {
  const auto Wrong = [](const std::string &Wanted, const std::string &Have) {
    return !Wanted.empty() && Wanted != Have;
  };
  return Wrong(View.Model, Engine.Model) ||
         Wrong(View.ModelVersion, Engine.Version) ||
         Wrong(View.Role, Engine.Role);
}

bool EngineOrders::due(const AgentConfigView &View, const StatusResult &Engine,
                       TimePoint Now) {
  if (!View.Known || !differs(View, Engine)) {
    DueAt.reset();
    return false;
  }
  if (Running != 0 || View.LeaseIncarnation != Incarnation ||
      View.LeaseOffset == RefusedFencing)
    return false;
  if (!DueAt || DelayedVersion != View.DesiredVersion) {
    const unsigned Turn = View.LoadRank / std::max(1U, Options.LoadsPerZone);
    DueAt = Now + Turn * Options.LoadTime;
    DelayedVersion = View.DesiredVersion;
  }
  return Now >= *DueAt && Now >= HoldUntil;
}

OrderCall EngineOrders::makeOrder(const AgentConfigView &View,
                                  const StatusResult &Engine, CallId Call) {
  const auto OrElse = [](const std::string &Wanted, const std::string &Have) {
    return Wanted.empty() ? Have : Wanted;
  };
  Running = Call;
  UsedFencing = View.LeaseOffset;
  return {Call, View.LeaseOffset, OrElse(View.Model, Engine.Model),
          OrElse(View.ModelVersion, Engine.Version),
          OrElse(View.Role, Engine.Role)};
}

void EngineOrders::orderEnded(CallId Call, CallEnd End, TimePoint Now) {
  if (Call != Running)
    return;
  Running = 0;
  HoldUntil = std::max(HoldUntil, Now + Options.Retry);
  if (End == CallEnd::Conflict)
    RefusedFencing = UsedFencing;
}

} // namespace hyssoprail
