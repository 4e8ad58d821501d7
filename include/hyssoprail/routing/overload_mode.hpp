#ifndef HYSSOPRAIL_ROUTING_OVERLOAD_MODE_HPP
#define HYSSOPRAIL_ROUTING_OVERLOAD_MODE_HPP

#include <array>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::routing {

/// How requests are ordered and refused while there is too little room.
enum class OverloadMode {
  Arrival,   ///< by priority and arrival
  Auto,      ///< as LeastCost for services whose routes differ in priority or
             ///< whose engines differ in speed, as Arrival for all others
  LeastCost, ///< by what a delay or a refusal costs callers
};

/// Names in the settings.
inline constexpr std::array<EnumName<OverloadMode>, 3> OverloadModeNames{
    {{OverloadMode::Arrival, "arrival"},
     {OverloadMode::Auto, "auto"},
     {OverloadMode::LeastCost, "least_cost"}}};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_OVERLOAD_MODE_HPP
