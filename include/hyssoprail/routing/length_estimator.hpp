#ifndef HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
#define HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP

#include <chrono>
#include <cstdint>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Estimates how many tokens a generation will have, and how long it takes. A
/// caller's hint is right at the median but often far off, so it is drawn
/// towards the usual length on a logarithmic scale. Load pattern: bursts, when
/// engines are filled by reservations and a wrong length either wastes memory
/// or leads to preemption.
class LengthEstimator {
public:
  /// \p Hint of 0: the caller gave none. The result is at most \p MaxOutput.
  std::uint32_t estimate(std::uint32_t Hint, std::uint32_t MaxOutput) const;

  /// Records the length of a generation that is complete, in tokens, and the
  /// time from its first token to its last.
  void record(std::uint64_t Tokens, Duration Took);

  /// Expected time from the first token to the last.
  Duration generationTime(std::uint64_t Tokens) const {
    return std::chrono::duration_cast<Duration>(SecondsPerToken *
                                                static_cast<double>(Tokens));
  }

private:
  double LogSum = 0; ///< of the lengths seen, with less weight on old ones
  double Weight = 0;
  std::chrono::duration<double> SecondsPerToken{0.003};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
