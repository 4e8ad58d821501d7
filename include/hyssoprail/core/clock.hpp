#ifndef HYSSOPRAIL_CORE_CLOCK_HPP
#define HYSSOPRAIL_CORE_CLOCK_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hyssoprail {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Source of time. Classes that make decisions receive times as arguments;
/// programs and I/O classes receive a Clock through their constructor.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns monotonic time. It also advances while the process is stopped.
  virtual TimePoint now() const = 0;

  /// Returns wall-clock time in microseconds since the Unix epoch. For records
  /// only: decisions must not depend on it.
  virtual std::int64_t unixMicros() const = 0;
};

/// Clock of production code, based on the clocks of std::chrono.
class SteadyClock : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMicros() const override;
};

/// Clock for tests; advances only through advance().
class ManualClock : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMicros() const override;

  /// Moves the clock forward by \p D.
  void advance(Duration D);

private:
  std::atomic<std::int64_t> Nanos{1'000'000'000};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_CLOCK_HPP
