#ifndef HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
#define HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP

#include <chrono>
#include <cstdint>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Estimates the output length of a generation in tokens, and its duration. A
/// caller's hint is right at the median but often far off, so the estimate lies
/// between the hint and the typical length on a logarithmic scale. Load
/// pattern: in bursts, reservations fill the engines, and a wrong length either
/// wastes memory or leads to preemption.
class LengthEstimator {
public:
  /// A \p Hint of 0 means that the caller gave none. The result is at most \p
  /// MaxOutput.
  std::uint32_t estimate(std::uint32_t Hint, std::uint32_t MaxOutput) const;

  /// Records the length in tokens of a complete generation and the time from
  /// its first to its last token.
  void record(std::uint64_t Tokens, Duration Elapsed);

  /// Expected time from the first to the last of \p Tokens.
  Duration generationTime(std::uint64_t Tokens) const {
    return std::chrono::duration_cast<Duration>(SecondsPerToken *
                                                static_cast<double>(Tokens));
  }

private:
  /// Sum of the logarithms of recorded lengths; older ones weigh less.
  double LogSum = 0;
  double Weight = 0;
  std::chrono::duration<double> SecondsPerToken{0.003};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
