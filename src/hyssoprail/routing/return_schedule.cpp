#include "hyssoprail/routing/return_schedule.hpp"

#include <algorithm>
#include <chrono>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

constexpr milliseconds Step{100};

/// Bounds the memory of the schedule; callers beyond get no promise.
constexpr std::size_t MaxPromises = 50'000;

std::int64_t stepOf(TimePoint At) { return At.time_since_epoch() / Step; }

TimePoint timeOf(std::int64_t Number) { return TimePoint(Step * Number); }

} // namespace

std::optional<TimePoint>
ReturnSchedule::promise(const ReturnNeed &Need, double TokensPerSecond,
                        TimePoint Earliest, TimePoint Latest, TimePoint Now) {
  forgetPast(Now);
  const double PerStep = TokensPerSecond * seconds(Step);
  if (PerStep <= 0 || Promises.size() >= MaxPromises)
    return std::nullopt;
  const std::int64_t Last = stepOf(Latest);
  std::int64_t First = stepOf(Earliest);
  while (First <= Last && Used[First] >= PerStep)
    ++First;
  if (First > Last)
    return std::nullopt;
  const double Filled = Used[First] / PerStep;
  const TimePoint At = std::clamp(
      timeOf(First) + std::chrono::duration_cast<Duration>(Step * Filled),
      Earliest, Latest);
  // A request that needs more than a step has left takes it from the next ones.
  double Left = Need.Tokens;
  for (std::int64_t I = First; Left > 0; ++I) {
    const double Taken = std::min(Left, std::max(0.0, PerStep - Used[I]));
    Used[I] += Taken;
    Left -= Taken;
  }
  Promises.emplace(At, Promise{Need, At});
  return At;
}

std::optional<int> ReturnSchedule::redeem(std::string_view Account,
                                          std::uint32_t PromptTokens,
                                          TimePoint At) {
  const auto End = Promises.upper_bound(At + Early);
  for (auto It = Promises.lower_bound(At - Late); It != End; ++It) {
    const ReturnNeed &Need = It->second.Need;
    if (Need.Account != Account || Need.PromptTokens != PromptTokens)
      continue;
    const int Priority = Need.Priority;
    Promises.erase(It);
    return Priority;
  }
  return std::nullopt;
}

std::map<std::pair<int, std::string>, double>
ReturnSchedule::due(TimePoint Now) const {
  std::map<std::pair<int, std::string>, double> Out;
  const auto End = Promises.upper_bound(Now + Early);
  for (auto It = Promises.lower_bound(Now - Late); It != End; ++It)
    Out[{It->second.Need.Priority, It->second.Need.Account}] +=
        It->second.Need.Tokens;
  return Out;
}

void ReturnSchedule::forgetPast(TimePoint Now) {
  Promises.erase(Promises.begin(), Promises.lower_bound(Now - Late));
  Used.erase(Used.begin(), Used.lower_bound(stepOf(Now)));
}

} // namespace hyssoprail::routing
