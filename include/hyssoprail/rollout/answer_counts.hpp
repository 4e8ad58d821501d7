#ifndef HYSSOPRAIL_ROLLOUT_ANSWER_COUNTS_HPP
#define HYSSOPRAIL_ROLLOUT_ANSWER_COUNTS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::rollout {

/// Number of latency classes. Each covers a factor of the square root of 2; the
/// first one begins at 0, the last one has no end.
constexpr std::size_t LatencyClasses = 32;

/// Class of a latency.
std::size_t latencyClass(Duration Latency);

/// Answers of one version on one route since a rollout began. Counts only grow,
/// so a report that is late, lost or repeated does no harm.
struct AnswerCounts {
  std::uint64_t Total = 0;
  std::uint64_t Failed = 0;
  /// Successful answers by latency: to the whole answer, or to the first event
  /// of a stream.
  std::array<std::uint64_t, LatencyClasses> Latencies{};

  void addSuccess(Duration Latency);
  void addFailure();

  /// Counts a success whose latency is not to be judged.
  void addUntimedSuccess() { ++Total; }

  AnswerCounts &operator+=(const AnswerCounts &O);

  std::uint64_t timed() const;

  /// Class of the median latency; 0 if there is none.
  std::size_t medianClass() const;

  /// Answers whose latency is in class \p First or above.
  std::uint64_t timedFrom(std::size_t First) const;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ANSWER_COUNTS_HPP
