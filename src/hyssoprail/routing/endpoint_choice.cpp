#include "hyssoprail/routing/endpoint_choice.hpp"

#include <algorithm>
#include <limits>

namespace hyssoprail::routing {
namespace {

/// Cost of a call to another zone; a fully loaded endpoint costs 1.
constexpr double CrossZoneCost = 0.15;

/// Cost of an endpoint that always fails, on the same scale.
constexpr double FailureCost = 1.5;

/// Cost of an endpoint that another entry could not reach.
constexpr double SuspectCost = 2;

double callCost(const Endpoint &E, std::string_view Zone, TimePoint Now) {
  const double Slots = std::max(1U, E.Record.Slots);
  double Cost = E.totalLoad().Runs / Slots;
  if (E.Record.Zone != Zone)
    Cost += CrossZoneCost;
  if (E.isSuspect(Now))
    Cost += SuspectCost;
  return Cost + FailureCost * E.Health.failureShare();
}

Endpoint *cheapest(const std::vector<Endpoint *> &Candidates,
                   std::string_view Zone,
                   const std::set<std::string, std::less<>> &Tried,
                   TimePoint Now) {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Candidates) {
    if (Tried.contains(E->Record.Id))
      continue;
    const double Cost = callCost(*E, Zone, Now);
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

} // namespace

Endpoint *chooseForCall(EndpointTable &Table, std::string_view Service,
                        std::string_view Zone,
                        const std::set<std::string, std::less<>> &Tried,
                        TimePoint Now) {
  if (Endpoint *E = cheapest(Table.usable(Service, Now), Zone, Tried, Now))
    return E;
  return cheapest(Table.avoided(Service, Now), Zone, Tried, Now);
}

Endpoint *chooseGrantable(EndpointTable &Table, std::string_view Service,
                          std::string_view Zone,
                          const std::set<std::string, std::less<>> &Tried,
                          TimePoint Now) {
  std::vector<Endpoint *> Candidates =
      Table.grantable(Service, Now, Sender::AnyEntry);
  std::erase_if(Candidates, [&](Endpoint *E) {
    return !Table.mayStart(*E, Now, Sender::AnyEntry);
  });
  return cheapest(Candidates, Zone, Tried, Now);
}

bool worthAskingForGrant(EndpointTable &Table, std::string_view Service,
                         std::string_view Zone,
                         const std::set<std::string, std::less<>> &Tried,
                         const Endpoint *Usable, TimePoint Now) {
  const Endpoint *Best =
      cheapest(Table.grantable(Service, Now), Zone, Tried, Now);
  return Best && Best != Usable &&
         (!Usable || callCost(*Best, Zone, Now) < callCost(*Usable, Zone, Now));
}

} // namespace hyssoprail::routing
