#include "hyssoprail/gateway/loop_lag.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds Period{1'000};

/// A shorter lag is no reason for a log line.
constexpr milliseconds MinReportedLag{200};

} // namespace

void LoopLag::record(TimePoint DueAt, TimePoint Now) {
  if (Now - PeriodStart >= Period)
    beginPeriod(Now);
  Largest = std::max(Largest, Now - DueAt);
}

void LoopLag::beginPeriod(TimePoint Now) {
  const bool Adjacent = Now - PeriodStart < 2 * Period;
  LargestBefore = std::exchange(Largest, Duration{});
  if (!Adjacent)
    LargestBefore = {};
  PeriodStart = Now;
  Reported = false;
}

Duration LoopLag::recent(TimePoint Now) const {
  if (Now - PeriodStart >= 2 * Period)
    return {};
  return std::max(Largest, LargestBefore);
}

std::optional<Duration> LoopLag::takeReport(TimePoint Now) {
  if (Reported || Now - PeriodStart >= 2 * Period || Largest < MinReportedLag)
    return std::nullopt;
  Reported = true;
  return Largest;
}

} // namespace hyssoprail::gateway
