#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_CHOICE_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_CHOICE_HPP

#include <set>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// Chooses an endpoint for a call to a plain service: the one with the lowest
/// load per slot, with a preference for endpoints in \p Zone and a penalty for
/// failing ones. Endpoints in \p Tried are skipped. Returns null if there is
/// none.
Endpoint *chooseForCall(EndpointTable &Table, std::string_view Service,
                        std::string_view Zone,
                        const std::set<std::string, std::less<>> &Tried,
                        TimePoint Now);

/// As chooseForCall(), among the endpoints to which this entry can grant a
/// request of any entry now.
Endpoint *chooseGrantable(EndpointTable &Table, std::string_view Service,
                          std::string_view Zone,
                          const std::set<std::string, std::less<>> &Tried,
                          TimePoint Now);

/// True if an endpoint that chooseForCall() cannot choose, as its requests are
/// granted one by one, would be better than \p Usable, which may be null.
bool worthAskingForGrant(EndpointTable &Table, std::string_view Service,
                         std::string_view Zone,
                         const std::set<std::string, std::less<>> &Tried,
                         const Endpoint *Usable, TimePoint Now);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_CHOICE_HPP
