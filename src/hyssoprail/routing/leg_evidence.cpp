#include "hyssoprail/routing/leg_evidence.hpp"

namespace hyssoprail::routing {

Evidence evidenceOf(const LegAnswer &Answer, Evidence OnTimeout) {
  switch (Answer.Outcome) {
  case LegOutcome::NotSent:
    return Evidence::Unreachable;
  case LegOutcome::NotRun:
    return Answer.OtherOwner ? Evidence::WrongOwner : Evidence::Refused;
  case LegOutcome::Answered:
    return Answer.Response.Status >= 500 ? Evidence::AppError
                                         : Evidence::Success;
  case LegOutcome::Broken:
    return Evidence::Broken;
  case LegOutcome::TimedOut:
    return OnTimeout;
  }
  return Evidence::Broken;
}

} // namespace hyssoprail::routing
