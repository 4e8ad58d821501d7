#ifndef HYSSOPRAIL_PROCESS_READ_LEASE_HPP
#define HYSSOPRAIL_PROCESS_READ_LEASE_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "hyssoprail/process/limit_options.hpp"

namespace hyssoprail {

/// Lease of a process that is confirmed by reading the log: until end() no
/// other process acts on a take-over that this process has not applied. A log
/// read that started at t extends the lease to t + LeaseDuration once
/// everything that it returned is applied. During a log outage, promises of all
/// members extend the lease.
class ReadLease {
public:
  explicit ReadLease(const LimitOptions &Options) : Options(Options) {}

  /// Returns the id of a read to start now, or nullopt if none is due.
  std::optional<std::uint64_t> startRead(TimePoint Now);

  /// Records that everything which read \p ReadId returned is applied.
  void finishRead(std::uint64_t ReadId);

  /// Drops a read that failed.
  void failRead(std::uint64_t ReadId) { InFlight.erase(ReadId); }

  /// Extends the lease by promises that were requested at \p RequestedAt, but
  /// not beyond OutageGrace after the last confirmed read.
  void extendByPromises(TimePoint RequestedAt);

  bool heldAt(TimePoint Now) const { return Now < End; }
  TimePoint end() const { return End; }

  /// Start of the newest read whose records are applied; nullopt before the
  /// first.
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
