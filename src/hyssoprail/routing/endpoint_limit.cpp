#include "hyssoprail/routing/endpoint_limit.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// Responses reach different entries, and the coordinator through them, in
/// another order than they were made. A limit ends only if it has not been
/// stated for this time.
constexpr milliseconds EndDelay{500};

/// Unused grants of this time, and one more, may be granted at once.
constexpr std::chrono::duration<double> BurstTime{0.25};

/// An endpoint with a lower limit still gets requests at this rate, because
/// only its responses tell that the limit has ended.
constexpr double MinPerSecond = 0.1;

constexpr double MajorityShare = 0.5;

/// Lowest rate, in requests per second, at which a part of the fleet without a
/// majority grants requests.
constexpr double MinMinorityRate = 1;

} // namespace

void EndpointLimit::recordStated(double PerSecond, TimePoint At) {
  if (At <= EndedAt || At < StatedAt)
    return;
  if (!Stated) {
    Tokens = 0;
    RefilledAt = At;
  }
  refill(At);
  Restarted = false;
  Stated = PerSecond;
  StatedAt = At;
}

void EndpointLimit::recordNone(TimePoint At) {
  if (!Stated || At < StatedAt + (Restarted ? milliseconds(0) : EndDelay))
    return;
  Stated.reset();
  Restarted = false;
  EndedAt = At;
}

void EndpointLimit::restart() {
  if (!Stated)
    return;
  Restarted = true;
  Tokens = std::max(1.0, Tokens);
}

void EndpointLimit::setShare(double To, TimePoint Now) {
  refill(Now);
  Share = To;
}

double EndpointLimit::grantRate() const {
  if (!Stated)
    return 0;
  const double Rate = std::max(*Stated, MinPerSecond) * Share;
  return Share > MajorityShare || Rate >= MinMinorityRate ? Rate : 0;
}

void EndpointLimit::refill(TimePoint Now) {
  if (Now <= RefilledAt)
    return;
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  const double Rate = grantRate();
  const double MaxTokens = 1 + Rate * BurstTime.count();
  Tokens = std::min(MaxTokens, Tokens + Rate * Elapsed.count());
  RefilledAt = Now;
}

bool EndpointLimit::allows(TimePoint Now) {
  if (!Stated)
    return true;
  refill(Now);
  return (Restarted || grantRate() > 0) && Tokens >= 1;
}

void EndpointLimit::take(TimePoint Now) {
  refill(Now);
  Tokens = std::max(0.0, Tokens - 1);
}

Duration EndpointLimit::waitTime(TimePoint Now) {
  if (allows(Now))
    return Duration{0};
  const double Rate = grantRate();
  if (Rate <= 0)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((1 - Tokens) / Rate));
}

} // namespace hyssoprail::routing
