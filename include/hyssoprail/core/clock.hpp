#ifndef HYSSOPRAIL_CORE_CLOCK_HPP
#define HYSSOPRAIL_CORE_CLOCK_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hyssoprail {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Source of time. Decision classes receive times as arguments; programs and
/// I/O classes receive a Clock through their constructor.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time, which goes on while the process is stopped.
  virtual TimePoint now() const = 0;

  /// Wall-clock time in microseconds since the Unix epoch; for records only,
  /// never for decisions.
  virtual std::int64_t unixMicros() const = 0;
};

/// The runtime's clocks.
class SteadyClock : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMicros() const override;
};

/// A clock that stands still until a test advances it.
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
