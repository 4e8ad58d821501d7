#include "hyssoprail/routing/run_crash_watch.hpp"

namespace hyssoprail::routing {
namespace {

/// An engine that has sent this many events of an answer did not crash as it
/// began the answer.
constexpr std::uint64_t EventsOfBegunAnswer = 2;

/// A request is not sent to a further engine after so many connections broke as
/// it was about to be answered.
constexpr unsigned MaxSuspectedCrashes = 2;

} // namespace

void RunCrashWatch::begin(const EndpointRecord &NewEngine, TimePoint Now) {
  Current = {NewEngine, Now, 0, false};
}

void RunCrashWatch::received(std::uint64_t NewEvents, TimePoint Now) {
  Current.Events += NewEvents;
  Ledger.recordAlive(Current.Engine.Id, Current.BeganAt, Now);
  if (Current.Events >= EventsOfBegunAnswer)
    recordAnswer(Now);
}

void RunCrashWatch::alive(TimePoint Since, TimePoint Now) {
  Ledger.recordAlive(Current.Engine.Id, Since, Now);
}

void RunCrashWatch::completed(TimePoint Now) { recordAnswer(Now); }

void RunCrashWatch::recordAnswer(TimePoint Now) {
  if (!std::exchange(Current.AnswerRecorded, true))
    Ledger.recordAnswer(Parts, Now);
}

void RunCrashWatch::broke(TimePoint Now) {
  if (Current.Events >= EventsOfBegunAnswer)
    return;
  ++SuspectedCrashes;
  Ledger.recordCrash(Current.Engine, Parts, Now, Current.BeganAt);
}

bool RunCrashWatch::mayRunAgain() const {
  return SuspectedCrashes < MaxSuspectedCrashes;
}

} // namespace hyssoprail::routing
