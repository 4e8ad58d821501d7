#include "hyssoprail/routing/flow_io.hpp"

#include <array>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::routing {
namespace {

constexpr std::array<EnumName<LegKind>, 3> KindNames{{
    {LegKind::Call, "call"},
    {LegKind::Prefill, "prefill"},
    {LegKind::Decode, "decode"},
}};

constexpr std::array<EnumName<LegOutcome>, 5> OutcomeNames{{
    {LegOutcome::NotSent, "not_sent"},
    {LegOutcome::NotRun, "not_run"},
    {LegOutcome::Answered, "answered"},
    {LegOutcome::Broken, "broken"},
    {LegOutcome::TimedOut, "timed_out"},
}};

constexpr std::array<EnumName<RejectReason>, 12> ReasonNames{{
    {RejectReason::NoRoute, "no_route"},
    {RejectReason::NoKey, "no_key"},
    {RejectReason::NoConfiguration, "no_configuration"},
    {RejectReason::Overloaded, "overloaded"},
    {RejectReason::Draining, "leaving"},
    {RejectReason::OverQuota, "over_quota"},
    {RejectReason::Quarantined, "quarantined"},
    {RejectReason::NoCapacity, "no_capacity"},
    {RejectReason::NotRun, "not_run"},
    {RejectReason::OutcomeUnknown, "outcome_unknown"},
    {RejectReason::TimedOut, "timed_out"},
    {RejectReason::NotRunInTime, "not_run_in_time"},
}};

} // namespace

std::string_view legKindName(LegKind Kind) { return enumName(KindNames, Kind); }

std::string_view legOutcomeName(LegOutcome Outcome) {
  return enumName(OutcomeNames, Outcome);
}

std::string_view rejectReasonName(RejectReason Reason) {
  return enumName(ReasonNames, Reason);
}

} // namespace hyssoprail::routing
