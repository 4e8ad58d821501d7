#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

TimePoint SteadyClock::now() const { return std::chrono::steady_clock::now(); }

std::int64_t SteadyClock::unixMicros() const {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
      .count();
}

TimePoint ManualClock::now() const {
  return TimePoint(std::chrono::nanoseconds(Nanos.load()));
}

std::int64_t ManualClock::unixMicros() const { return Nanos.load() / 1000; }

void ManualClock::advance(Duration D) {
  Nanos += std::chrono::duration_cast<std::chrono::nanoseconds>(D).count();
}

} // namespace hyssoprail
