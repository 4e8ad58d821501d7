#ifndef HYSSOPRAIL_PROCESS_INVARIANTS_HPP
#define HYSSOPRAIL_PROCESS_INVARIANTS_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "hyssoprail/process/timeline.hpp"

namespace hyssoprail {

/// The twelve invariants of docs/promises.md, in its order.
enum class Invariant {
  NoOrphanedMemory, ///< memory is held within capacity and a live lease
  AnsweredOnce,     ///< a request gets exactly one final response
  KeyScope,         ///< work runs only for the account of its key
  AccountBound,     ///< debits stay within the account's rate and burst
  ColdStartBound,   ///< a cold engine runs no more work than allowed
  ZoneOut,          ///< a zone that is out of service gets no new work
  WholeAnswer,      ///< a streamed response has no gap and no early end
  NotRunIsTrue,     ///< "not_run" is reported only if nothing has run
  AtMostOnce,       ///< work or a non-repeatable call starts only once
  LeavingEndpoint,  ///< a leaving endpoint gets no new work
  PlannedStop,      ///< a planned stop ends no live request
  ConfigMonotonic,  ///< the applied configuration version never decreases
};

constexpr std::size_t InvariantCount = 12;

/// Returns the name of \p Which, for example "answered_once".
std::string_view invariantName(Invariant Which);

/// Checks invariants at run time. A violation is recorded in the timeline,
/// counted and logged. With FatalViolations, which tests use, it also aborts
/// the process.
class Invariants {
public:
  Invariants(Timeline &Events, bool FatalViolations);

  /// Reports a violation of \p Which if \p Holds is false. Returns \p Holds.
  bool check(Invariant Which, bool Holds, std::string_view Detail,
             std::string_view RequestId = {});

  /// Number of violations of \p Which so far.
  std::uint64_t violations(Invariant Which) const;

  /// Number of violations of all invariants so far.
  std::uint64_t violations() const;

private:
  Timeline &Events;
  const bool Fatal;
  std::array<std::atomic<std::uint64_t>, InvariantCount> Counts{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_INVARIANTS_HPP
