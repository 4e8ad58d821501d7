#include "hyssoprail/routing/leg_health_signal.hpp"

namespace hyssoprail::routing {

HealthSignal healthSignalOf(const LegResult &Answer, HealthSignal OnTimeout) {
  switch (Answer.Outcome) {
  case LegOutcome::NotSent:
    return HealthSignal::Unreachable;
  case LegOutcome::NotRun:
    return Answer.WrongEndpoint ? HealthSignal::WrongEndpoint
                                : HealthSignal::Refused;
  case LegOutcome::Answered:
    return Answer.Response.Status >= 500 ? HealthSignal::AppError
                                         : HealthSignal::Success;
  case LegOutcome::Broken:
    return HealthSignal::Broken;
  case LegOutcome::TimedOut:
    return OnTimeout;
  }
  return HealthSignal::Broken;
}

} // namespace hyssoprail::routing
