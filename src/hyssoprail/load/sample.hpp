#ifndef HYSSOPRAIL_LOAD_SAMPLE_HPP
#define HYSSOPRAIL_LOAD_SAMPLE_HPP

#include <array>
#include <chrono>
#include <string>

#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/load/arrivals.hpp"

namespace hyssoprail::load {

/// How a request ended for the caller.
enum class Outcome {
  Complete,   ///< whole and correct
  Wrong,      ///< lost, repeated or foreign tokens
  Refused,    ///< typed refusal that says "not run"
  Failed,     ///< typed failure that does not say "not run"
  Broken,     ///< the connection ended before the answer was complete
  Unanswered, ///< no end within the run's time limit
};

constexpr std::array<EnumName<Outcome>, 6> OutcomeNames{{
    {Outcome::Complete, "complete"},
    {Outcome::Wrong, "wrong"},
    {Outcome::Refused, "refused"},
    {Outcome::Failed, "failed"},
    {Outcome::Broken, "broken"},
    {Outcome::Unanswered, "unanswered"},
}};

/// What one request of the plan met with. Times are zero if it did not get
/// that far.
struct Sample {
  Arrival Planned;
  Outcome End = Outcome::Unanswered;
  unsigned HttpStatus = 0;
  std::string ErrorCode;
  std::string RequestId;                   ///< from the answer, if it had one
  std::chrono::microseconds FirstToken{0}; ///< after sending
  std::chrono::microseconds BetweenTokens{0}; ///< mean of this stream
  std::chrono::microseconds Total{0};         ///< after sending
  unsigned OutputTokens = 0;
};

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_SAMPLE_HPP
