#ifndef HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP
#define HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP

#include <cstdint>
#include <unordered_set>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/scheduling_strategy.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Work that this entry has placed at an endpoint.
struct LocalWork {
  std::uint32_t Tokens = 0;       ///< prompt tokens to prefill
  std::uint32_t Pieces = 0;       ///< KV cache memory pieces
  std::uint64_t ReportNumber = 0; ///< newest load report at placement
};

/// Estimates the load of one endpoint: the newest load report, which is always
/// somewhat out of date, corrected by the work that this entry has started and
/// ended there since.
class EndpointView {
public:
  /// Replaces the load report with one that arrived at \p Now. Restarts the
  /// correction and ends markFull().
  void updateLoad(const wire::LoadReport &Load, bool Leaving, TimePoint Now);

  /// Sets whether the endpoint's agent can be reached.
  void setReachable(bool Value) { Reachable = Value; }

  /// Excludes an endpoint that refused work for lack of capacity until the next
  /// load report or \p Until, whichever comes first.
  void markFull(TimePoint Until) { FullUntil = Until; }

  /// Excludes a failed endpoint until \p Until.
  void markFailed(TimePoint Until) { FailedUntil = Until; }

  /// Adds work and returns its record, to be passed to removeWork().
  LocalWork addWork(std::uint32_t Tokens, std::uint32_t Pieces);
  void removeWork(const LocalWork &Work);

  bool usable(TimePoint Now) const {
    return Reported && Reachable && !Leaving && Now >= FailedUntil &&
           Now >= FullUntil;
  }
  bool leaving() const { return Leaving; }
  bool cold() const { return Load.cold(); }

  std::int64_t slots() const { return Load.slots(); }
  std::int64_t usedSlots() const;
  std::int64_t usedPieces() const;
  DecodeCapacity decodeCapacity(std::uint32_t Pieces, TimePoint Now) const;

  /// Prompt tokens ahead of a new prefill, queued or running.
  std::int64_t queuedTokens() const;

  /// Estimated time for a prefill of \p Tokens uncached tokens, including
  /// queueing.
  milliseconds prefillTime(std::uint32_t Tokens) const;

  /// Estimated time to move \p Bytes over the endpoint's link, shared with the
  /// transfers in progress.
  milliseconds transferTime(std::uint64_t Bytes) const;

  /// True if the newest load report lists the prefix as cached.
  bool hasCachedPrefix(std::uint64_t Hash) const {
    return CachedPrefixes.contains(Hash);
  }
  bool reportsCachedPrefixes() const { return !CachedPrefixes.empty(); }

private:
  wire::LoadReport Load;
  std::unordered_set<std::uint64_t> CachedPrefixes;
  bool Reported = false;
  bool Reachable = false;
  bool Leaving = false;
  TimePoint ReportedAt;
  TimePoint FullUntil;
  TimePoint FailedUntil;
  std::uint64_t ReportNumber = 0;
  std::int64_t LocalSlots = 0; ///< all work of this entry at the endpoint
  std::int64_t LocalTokens = 0;
  std::int64_t LocalPieces = 0;
  std::int64_t SlotDelta = 0; ///< change since the newest report
  std::int64_t TokenDelta = 0;
  std::int64_t PieceDelta = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP
