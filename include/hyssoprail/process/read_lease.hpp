#ifndef HYSSOPRAIL_PROCESS_READ_LEASE_HPP
#define HYSSOPRAIL_PROCESS_READ_LEASE_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "hyssoprail/process/limit_options.hpp"

namespace hyssoprail {

/// Read-confirmed lease of a process: until end() no other process acts on a
/// take-over that this process has not applied. A log read that started at t,
/// with everything it returned applied, extends it to t + Lease. Promises of
/// all members extend it during a log outage.
class ReadLease {
public:
  explicit ReadLease(const LimitOptions &Options) : Options(Options) {}

  /// Returns the number of a read to start now, or nullopt if none is due.
  std::optional<std::uint64_t> startRead(TimePoint Now);

  /// Notes that everything read \p ReadId returned is applied.
  void finishRead(std::uint64_t ReadId);

  /// Drops a read that failed.
  void failRead(std::uint64_t ReadId) { InFlight.erase(ReadId); }

  /// Extends the lease by promises that were asked for at \p RequestedAt.
  void extendByPromises(TimePoint RequestedAt);

  bool heldAt(TimePoint Now) const { return Now < End; }
  TimePoint end() const { return End; }

  /// Start of the newest finished read; nullopt before the first.
  std::optional<TimePoint> lastConfirmedStart() const {
    return LastConfirmedStart;
  }

private:
  LimitOptions Options;
  std::map<std::uint64_t, TimePoint> InFlight;
  std::uint64_t LastReadId = 0;
  std::optional<TimePoint> LastReadStart;
  std::optional<TimePoint> LastConfirmedStart;
  TimePoint End{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_READ_LEASE_HPP
