#ifndef HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP
#define HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP

#include <cstdint>
#include <unordered_set>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/scheduling_strategy.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Work that this entry has at an endpoint.
struct LocalWork {
  std::uint32_t Tokens = 0; ///< prompt tokens to prefill
  std::uint32_t Pieces = 0; ///< memory blocks
  std::uint64_t Report = 0; ///< number of the report that was newest at start
};

/// Load of one endpoint as this entry sees it: the newest late report,
/// corrected by what this entry started and ended since.
class EndpointView {
public:
  /// Takes a load report that arrived at \p Now.
  void report(const wire::LoadReport &Load, bool Leaving, TimePoint Now);

  /// The agent can or cannot be reached.
  void reachable(bool Value) { Reachable = Value; }

  /// The endpoint had no room; it is not asked again before the next report,
  /// or before \p Until if none comes.
  void full(TimePoint Until) { FullUntil = Until; }

  /// The endpoint failed; it is not chosen before \p Until.
  void failed(TimePoint Until) { FailedUntil = Until; }

  /// Adds work and returns its record, to be given to ended().
  LocalWork started(std::uint32_t Tokens, std::uint32_t Pieces);
  void ended(const LocalWork &Work);

  bool usable(TimePoint Now) const {
    return Reported && Reachable && !Leaving && Now >= FailedUntil &&
           Now >= FullUntil;
  }
  bool leaving() const { return Leaving; }
  bool cold() const { return Load.cold(); }

  std::int64_t slots() const { return Load.slots(); }
  std::int64_t usedSlots() const;
  std::int64_t usedPieces() const;
  DecodeRoom room(std::uint32_t Pieces, TimePoint Now) const;

  /// Prompt tokens that wait or run before a new prefill.
  std::int64_t queuedTokens() const;

  /// Expected time of a prefill of \p Tokens uncached tokens, with its queue.
  milliseconds prefillTime(std::uint32_t Tokens) const;

  /// Expected time to move \p Bytes over the endpoint's link.
  milliseconds transferTime(std::uint64_t Bytes) const;

  /// True if the endpoint's cache is said to hold the prefix.
  bool holdsPrefix(std::uint64_t Hash) const { return Held.contains(Hash); }
  bool holdsPrefixes() const { return !Held.empty(); }

private:
  wire::LoadReport Load;
  std::unordered_set<std::uint64_t> Held;
  bool Reported = false;
  bool Reachable = false;
  bool Leaving = false;
  TimePoint ReportedAt;
  TimePoint FullUntil;
  TimePoint FailedUntil;
  std::uint64_t ReportNumber = 0;
  std::int64_t LocalCount = 0; ///< all work of this entry here
  std::int64_t LocalTokens = 0;
  std::int64_t LocalPieces = 0;
  std::int64_t SlotChange = 0; ///< since the newest report
  std::int64_t TokenChange = 0;
  std::int64_t PieceChange = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ENDPOINT_VIEW_HPP
