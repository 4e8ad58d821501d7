#include "hyssoprail/routing/run_crash_watch.hpp"

namespace hyssoprail::routing {
namespace {

/// A request is not sent to a further engine after so many connections broke
/// under it.
constexpr unsigned MaxSuspectedCrashes = 2;

} // namespace

void RunCrashWatch::begin(const EndpointRecord &NewEngine, TimePoint Now,
                          bool Resumed) {
  Current = {NewEngine, Now, 0, Resumed};
}

/// The run may have begun before a crash and its connection after it, to the
/// process that the engine has started since.
void RunCrashWatch::received(std::uint64_t NewEvents, TimePoint Now) {
  Current.Events += NewEvents;
  if (Current.ConnectedAt)
    alive(*Current.ConnectedAt, Now);
}

void RunCrashWatch::alive(TimePoint Since, TimePoint Now) {
  Ledger.recordAlive(Current.Engine.Id, Since, Now);
}

/// A run that went on with the answer of another one says nothing of the events
/// before, under which that one may have crashed its engine.
void RunCrashWatch::completed(TimePoint Now) {
  if (!Current.Resumed)
    Ledger.recordAnswer(Parts, Now);
}

void RunCrashWatch::broke(TimePoint Now) {
  ++SuspectedCrashes;
  Ledger.recordCrash(Current.Engine, Parts, Now, Current.BeganAt);
}

bool RunCrashWatch::mayRunAgain() const {
  return SuspectedCrashes < MaxSuspectedCrashes;
}

} // namespace hyssoprail::routing
