#include "hyssoprail/rollout/answer_counts.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace hyssoprail::rollout {
namespace {

constexpr double ClassesPerDoubling = 2;

} // namespace

std::size_t latencyClass(Duration Latency) {
  const double Millis =
      std::chrono::duration<double, std::milli>(Latency).count();
  if (Millis <= 1)
    return 0;
  const double Class = ClassesPerDoubling * std::log2(Millis);
  return std::min(static_cast<std::size_t>(Class), LatencyClasses - 1);
}

void AnswerCounts::addSuccess(Duration Latency) {
  ++Total;
  ++Latencies[latencyClass(Latency)];
}

void AnswerCounts::addFailure() {
  ++Total;
  ++Failed;
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &O) {
  Total += O.Total;
  Failed += O.Failed;
  for (std::size_t I = 0; I < LatencyClasses; ++I)
    Latencies[I] += O.Latencies[I];
  return *this;
}

std::uint64_t AnswerCounts::timed() const { return timedFrom(0); }

std::uint64_t AnswerCounts::timedFrom(std::size_t First) const {
  const std::size_t From = std::min(First, LatencyClasses);
  return std::accumulate(Latencies.begin() + static_cast<std::ptrdiff_t>(From),
                         Latencies.end(), std::uint64_t{0});
}

std::size_t AnswerCounts::medianClass() const {
  const std::uint64_t Half = (timed() + 1) / 2;
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < LatencyClasses; ++I) {
    Sum += Latencies[I];
    if (Half > 0 && Sum >= Half)
      return I;
  }
  return 0;
}

} // namespace hyssoprail::rollout
