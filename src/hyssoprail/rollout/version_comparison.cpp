#include "hyssoprail/rollout/version_comparison.hpp"

#include <algorithm>
#include <cmath>

namespace hyssoprail::rollout {
namespace {

constexpr double StandardDeviations = 3.5;

/// A target with fewer bad answers is not judged: so few can come from a fault
/// of one endpoint or link.
constexpr std::uint64_t MinBadAnswers = 6;

/// Answers of the old version on a route that a comparison needs; with fewer,
/// the answers on all routes take their place.
constexpr std::uint64_t MinOldAnswers = 20;

/// A latency counts as slow from this many classes above the median: a factor
/// of 2.8.
constexpr std::size_t SlowClasses = 3;

struct Proportion {
  double Count = 0;
  double Of = 0;

  double share() const { return Of > 0 ? Count / Of : 0; }

  Proportion &operator+=(const Proportion &O) {
    Count += O.Count;
    Of += O.Of;
    return *this;
  }
};

struct Interval {
  double Low = 0;
  double High = 1;
};

Interval wilsonInterval(const Proportion &P) {
  if (P.Of <= 0)
    return {};
  constexpr double Z2 = StandardDeviations * StandardDeviations;
  const double Share = P.share();
  const double Scale = 1 / (1 + Z2 / P.Of);
  const double Center = Scale * (Share + Z2 / (2 * P.Of));
  const double Width =
      Scale * StandardDeviations *
      std::sqrt(Share * (1 - Share) / P.Of + Z2 / (4 * P.Of * P.Of));
  return {std::max(0.0, Center - Width), std::min(1.0, Center + Width)};
}

bool exceeds(const Proportion &Target, const Proportion &Old) {
  return Target.Count >= static_cast<double>(MinBadAnswers) &&
         wilsonInterval(Target).Low > wilsonInterval(Old).High;
}

Proportion failures(const AnswerCounts &C) {
  return {static_cast<double>(C.Failed), static_cast<double>(C.Total)};
}

Proportion slowAnswers(const AnswerCounts &C, std::size_t FirstSlowClass) {
  return {static_cast<double>(C.timedFrom(FirstSlowClass)),
          static_cast<double>(C.timed())};
}

VersionVerdict compareCounts(const AnswerCounts &Target,
                             const AnswerCounts &Old) {
  const Proportion TargetFailures = failures(Target);
  const Proportion OldFailures = failures(Old);
  if (exceeds(TargetFailures, OldFailures))
    return {RollbackReason::Failures, "", TargetFailures.share(),
            OldFailures.share()};
  const std::size_t FirstSlowClass = Old.medianClass() + SlowClasses;
  const Proportion TargetSlow = slowAnswers(Target, FirstSlowClass);
  const Proportion OldSlow = slowAnswers(Old, FirstSlowClass);
  if (Old.timed() > 0 && exceeds(TargetSlow, OldSlow))
    return {RollbackReason::Slow, "", TargetSlow.share(), OldSlow.share()};
  return {};
}

/// Compares the slow answers of all routes together, each judged by the median
/// of its own route: with few answers no route alone has enough of them.
VersionVerdict compareSlowAnswers(const VersionAnswers &Answers) {
  Proportion TargetSlow;
  Proportion OldSlow;
  for (const auto &[Route, Target] : Answers.Target) {
    const auto Found = Answers.Old.find(Route);
    if (Found == Answers.Old.end() || Found->second.timed() < MinOldAnswers)
      continue;
    const std::size_t First = Found->second.medianClass() + SlowClasses;
    TargetSlow += slowAnswers(Target, First);
    OldSlow += slowAnswers(Found->second, First);
  }
  if (!exceeds(TargetSlow, OldSlow))
    return {};
  return {RollbackReason::Slow, "", TargetSlow.share(), OldSlow.share()};
}

} // namespace

AnswerCounts sumOf(const RouteAnswers &ByRoute) {
  AnswerCounts Out;
  for (const auto &[Route, Counts] : ByRoute)
    Out += Counts;
  return Out;
}

VersionAnswers &VersionAnswers::operator+=(const VersionAnswers &O) {
  for (const auto &[Route, Counts] : O.Old)
    Old[Route] += Counts;
  for (const auto &[Route, Counts] : O.Target)
    Target[Route] += Counts;
  return *this;
}

VersionVerdict compareVersions(const VersionAnswers &Answers) {
  const AnswerCounts AllOld = sumOf(Answers.Old);
  for (const auto &[Route, Target] : Answers.Target) {
    const auto Old = Answers.Old.find(Route);
    const bool OldIsKnown =
        Old != Answers.Old.end() && Old->second.Total >= MinOldAnswers;
    VersionVerdict Out =
        compareCounts(Target, OldIsKnown ? Old->second : AllOld);
    // Latencies of different routes cannot be compared.
    if (Out.Reason == RollbackReason::None ||
        (Out.Reason == RollbackReason::Slow && !OldIsKnown))
      continue;
    Out.Route = Route;
    return Out;
  }
  const AnswerCounts AllTarget = sumOf(Answers.Target);
  if (exceeds(failures(AllTarget), failures(AllOld)))
    return {RollbackReason::Failures, "", failures(AllTarget).share(),
            failures(AllOld).share()};
  return compareSlowAnswers(Answers);
}

} // namespace hyssoprail::rollout
