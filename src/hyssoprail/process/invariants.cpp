#include "hyssoprail/process/invariants.hpp"

#include <cstdlib>

#include "hyssoprail/process/log.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<Invariant>, InvariantCount> InvariantNames{{
    {Invariant::NoOrphanedMemory, "no_orphaned_memory"},
    {Invariant::AnsweredOnce, "answered_once"},
    {Invariant::KeyScope, "key_scope"},
    {Invariant::AccountBound, "account_bound"},
    {Invariant::ColdStartBound, "cold_start_bound"},
    {Invariant::ZoneOut, "zone_out"},
    {Invariant::WholeAnswer, "whole_answer"},
    {Invariant::NotRunIsTrue, "not_run_is_true"},
    {Invariant::AtMostOnce, "at_most_once"},
    {Invariant::LeavingEndpoint, "leaving_endpoint"},
    {Invariant::PlannedStop, "planned_stop"},
    {Invariant::ConfigMonotonic, "config_monotonic"},
}};

} // namespace

std::string_view invariantName(Invariant Which) {
  return enumName(InvariantNames, Which);
}

Invariants::Invariants(Timeline &Events, bool FatalViolations)
    : Events(Events), Fatal(FatalViolations) {}

bool Invariants::check(Invariant Which, bool Holds, std::string_view Detail,
                       std::string_view RequestId) {
  if (Holds)
    return true;
  ++Counts[static_cast<std::size_t>(Which)];
  Event E;
  E.Kind = EventKind::Violation;
  E.RequestId = RequestId;
  E.Detail = std::string(invariantName(Which)) + ": " + std::string(Detail);
  Events.record(E);
  const auto Log = logger("invariants");
  Log->error("Invariant {} violated: {}.", invariantName(Which), Detail);
  if (Fatal) {
    Log->flush();
    std::abort();
  }
  return false;
}

std::uint64_t Invariants::violations(Invariant Which) const {
  return Counts[static_cast<std::size_t>(Which)];
}

std::uint64_t Invariants::violations() const {
  std::uint64_t Sum = 0;
  for (const auto &Count : Counts)
    Sum += Count;
  return Sum;
}

} // namespace hyssoprail
