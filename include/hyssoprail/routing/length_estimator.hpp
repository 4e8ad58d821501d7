#ifndef HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
#define HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP

#include <cstdint>

namespace hyssoprail::routing {

/// Estimates how many tokens a generation will have. A caller's hint is right
/// at the median but often far off, so it is drawn towards the usual length on
/// a logarithmic scale. Load pattern: bursts, when engines are filled by
/// reservations and a wrong length either wastes memory or leads to preemption.
class LengthEstimator {
public:
  /// \p Hint of 0: the caller gave none. The result is at most \p MaxOutput.
  std::uint32_t estimate(std::uint32_t Hint, std::uint32_t MaxOutput) const;

  /// Records the length of a generation that is complete, in tokens.
  void record(std::uint64_t Tokens);

private:
  double LogSum = 0; ///< of the lengths seen, with less weight on old ones
  double Weight = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LENGTH_ESTIMATOR_HPP
