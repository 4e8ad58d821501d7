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
  NoOrphanedMemory,
  AnsweredOnce,
  KeyScope,
  AccountBound,
  ColdStartBound,
  ZoneOut,
  WholeAnswer,
  NotRunIsTrue,
  AtMostOnce,
  LeavingEndpoint,
  PlannedStop,
  ConfigMonotonic,
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
