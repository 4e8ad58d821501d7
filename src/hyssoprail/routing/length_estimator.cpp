#include "hyssoprail/routing/length_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hyssoprail::routing {
namespace {

/// Weight of the hint's logarithm against that of the typical length: the slope
/// of the regression of actual lengths on hints.
constexpr double HintWeight = 0.58;

/// Ratio of mean to median among the lengths with the same hint.
constexpr double MeanOverMedian = 1.07;

/// Typical length before any is recorded, as a share of the maximum output, and
/// the number of generations that this prior counts for.
constexpr double PriorLengthShare = 0.34;
constexpr double PriorWeight = 8;

constexpr double TokenTimeSmoothing = 0.1;
/// Weight kept by older lengths for each new one.
constexpr double DecayFactor = 0.995;

} // namespace

std::uint32_t LengthEstimator::estimate(std::uint32_t Hint,
                                        std::uint32_t MaxOutput) const {
  if (MaxOutput == 0)
    return 0;
  const double PriorLog = std::log(MaxOutput * PriorLengthShare);
  const double TypicalLog =
      (LogSum + PriorLog * PriorWeight) / (Weight + PriorWeight);
  const double EstimateLog =
      Hint == 0 ? TypicalLog
                : HintWeight * std::log(Hint) + (1 - HintWeight) * TypicalLog;
  const double Length = std::exp(EstimateLog) * MeanOverMedian;
  return static_cast<std::uint32_t>(
      std::clamp(Length, 1.0, static_cast<double>(MaxOutput)));
}

void LengthEstimator::record(std::uint64_t Tokens, Duration Elapsed) {
  if (Tokens == 0)
    return;
  const std::chrono::duration<double> PerToken =
      Elapsed / static_cast<double>(Tokens);
  SecondsPerToken += TokenTimeSmoothing * (PerToken - SecondsPerToken);
  LogSum = LogSum * DecayFactor + std::log(static_cast<double>(Tokens));
  Weight = Weight * DecayFactor + 1;
}

} // namespace hyssoprail::routing
