#include "hyssoprail/process/engine_orders.hpp"

#include <algorithm>

namespace hyssoprail {

void EngineOrders::configApplied(const AgentConfigView &View) {
  if (View.LeaseIncarnation == Incarnation)
    HadLease = true;
}

bool EngineOrders::needsLease(const AgentConfigView &View) const {
  // An agent whose lease passed to another incarnation was replaced and must
  // not request the lease again.
  return View.Configured && !HadLease && View.LeaseIncarnation != Incarnation;
}

bool EngineOrders::differs(const AgentConfigView &View,
                           const StatusResult &Engine) {
  const auto Mismatch = [](const std::string &Desired,
                           const std::string &Actual) {
    return !Desired.empty() && Desired != Actual;
  };
  return Mismatch(View.Model, Engine.Model) ||
         Mismatch(View.ModelVersion, Engine.Version) ||
         Mismatch(View.Role, Engine.Role);
}

bool EngineOrders::due(const AgentConfigView &View, const StatusResult &Engine,
                       TimePoint Now) {
  if (!View.Configured || !differs(View, Engine)) {
    DueAt.reset();
    return false;
  }
  if (RunningCall != 0 || View.LeaseIncarnation != Incarnation ||
      View.LeaseOffset == RejectedFencing)
    return false;
  if (!DueAt || DueVersion != View.DesiredVersion) {
    const unsigned Batch =
        View.LoadRank / std::max(1U, Options.MaxLoadsPerZone);
    DueAt = Now + Batch * Options.LoadDuration;
    DueVersion = View.DesiredVersion;
  }
  return Now >= *DueAt && Now >= NotBefore;
}

OrderCall EngineOrders::makeOrder(const AgentConfigView &View,
                                  const StatusResult &Engine, CallId Call) {
  const auto DesiredOr = [](const std::string &Desired,
                            const std::string &Actual) {
    return Desired.empty() ? Actual : Desired;
  };
  RunningCall = Call;
  LastFencing = View.LeaseOffset;
  return {Call, View.LeaseOffset, DesiredOr(View.Model, Engine.Model),
          DesiredOr(View.ModelVersion, Engine.Version),
          DesiredOr(View.Role, Engine.Role)};
}

void EngineOrders::orderEnded(CallId Call, CallStatusCode End, TimePoint Now) {
  if (Call != RunningCall)
    return;
  RunningCall = 0;
  NotBefore = std::max(NotBefore, Now + Options.RetryDelay);
  if (End == CallStatusCode::Conflict)
    RejectedFencing = LastFencing;
}

} // namespace hyssoprail
