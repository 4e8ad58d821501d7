#include "hyssoprail/gateway/fleet_feed.hpp"

#include <array>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr std::array<EnumName<WriteOutcome>, 3> OutcomeNames{{
    {WriteOutcome::Written, "written"},
    {WriteOutcome::NotWritten, "not_written"},
    {WriteOutcome::Unknown, "unknown"},
}};

} // namespace

std::string_view writeOutcomeName(WriteOutcome Outcome) {
  return enumName(OutcomeNames, Outcome);
}

} // namespace hyssoprail::gateway
