#ifndef HYSSOPRAIL_ROLLOUT_VERSION_COMPARISON_HPP
#define HYSSOPRAIL_ROLLOUT_VERSION_COMPARISON_HPP

#include <functional>
#include <map>
#include <string>

#include "hyssoprail/rollout/answer_counts.hpp"
#include "hyssoprail/rollout/rollout_order.hpp"

namespace hyssoprail::rollout {

/// Answers of one version, by route.
using RouteAnswers = std::map<std::string, AnswerCounts, std::less<>>;

/// Answers on all routes together.
AnswerCounts sumOf(const RouteAnswers &ByRoute);

/// Answers of a service since a rollout began.
struct VersionAnswers {
  RouteAnswers Old;
  RouteAnswers Target;

  VersionAnswers &operator+=(const VersionAnswers &O);
};

/// Result of comparing the target with the old version.
struct VersionVerdict {
  RollbackReason Reason = RollbackReason::None; ///< Failures, Slow or None
  std::string Route;      ///< on which the target is worse; empty: on all
  double TargetShare = 0; ///< of failed or slow answers
  double OldShare = 0;
};

/// Returns whether the target is worse than the old version on a route or on
/// all routes together. The lower confidence bound of the target's share of bad
/// answers must exceed the upper one of the old version's. Both bounds are
/// Wilson scores at 3.5 standard deviations: one comparison of two equal
/// versions is wrong with a probability below 0.03%, as the test is repeated
/// with each report.
///
/// An answer is slow if it takes about three times as long as the median of the
/// old version on the same route or longer. Load pattern: a version that fails,
/// hangs or slows down for part of its requests, at once or later.
VersionVerdict compareVersions(const VersionAnswers &Answers);

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_VERSION_COMPARISON_HPP
