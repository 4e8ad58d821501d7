#include <algorithm>
#include <cmath>

#include "hyssoprail/routing/duration_seconds.hpp"
#include "hyssoprail/routing/engine_speeds.hpp"

namespace hyssoprail::routing {
namespace {

/// Time constant of the fit. The relation between runs and time changes only
/// with the kind of requests.
constexpr double ModelSeconds = 20;

/// Added to the variance of the number of runs, so that a fit over nearly equal
/// numbers is flat.
constexpr double MinRunVariance = 0.25;

/// Smallest share of the mean time that does not depend on the runs.
constexpr double MinBaseShare = 0.05;

} // namespace

void DecodeTimeModel::add(double Tokens, double MicrosPerToken, double Runs,
                          TimePoint Now) {
  const double Elapsed = seconds(Now - UpdatedAt);
  const double Kept = std::exp(-std::max(0.0, Elapsed) / ModelSeconds);
  UpdatedAt = std::max(UpdatedAt, Now);
  for (double *Sum : {&Weight, &RunSum, &RunSquares, &TimeSum, &RunTimeSum})
    *Sum *= Kept;
  Weight += Tokens;
  RunSum += Tokens * Runs;
  RunSquares += Tokens * Runs * Runs;
  TimeSum += Tokens * MicrosPerToken;
  RunTimeSum += Tokens * Runs * MicrosPerToken;
}

double DecodeTimeModel::expected(double Runs) const {
  if (Weight <= 0)
    return 0;
  const double MeanRuns = RunSum / Weight;
  const double MeanTime = TimeSum / Weight;
  const double Variance = RunSquares / Weight - MeanRuns * MeanRuns;
  const double Covariance = RunTimeSum / Weight - MeanRuns * MeanTime;
  const double MaxSlope =
      MeanRuns > 0 ? (1 - MinBaseShare) * MeanTime / MeanRuns : 0;
  const double Slope = std::clamp(
      Covariance / (std::max(0.0, Variance) + MinRunVariance), 0.0, MaxSlope);
  return MeanTime + Slope * (Runs - MeanRuns);
}

} // namespace hyssoprail::routing
