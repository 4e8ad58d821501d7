#include "hyssoprail/routing/service_history.hpp"

#include <algorithm>
#include <set>

namespace hyssoprail::routing {
namespace {

bool isResumable(const RoutePolicy &R) {
  return R.Kind == RouteKind::Stream && R.Resumable;
}

bool leadAlike(const RoutePolicy &A, const RoutePolicy &B) {
  return isResumable(A) == isResumable(B) && A.Services == B.Services;
}

/// The routes of \p Old that lead elsewhere in \p New, or whose paths are in
/// part those of a new route.
std::set<const RoutePolicy *> changedRoutes(const FleetConfig &Old,
                                            const FleetConfig &New) {
  std::set<const RoutePolicy *> Out;
  const auto Compare = [&](const RoutePolicy &At) {
    const RoutePolicy *Before = Old.Routes.find(At.Host, At.PathPrefix);
    if (!Before || !isResumable(*Before))
      return;
    const RoutePolicy *After = New.Routes.find(At.Host, At.PathPrefix);
    if (!After || !leadAlike(*Before, *After))
      Out.insert(Before);
  };
  std::for_each(Old.Routes.begin(), Old.Routes.end(), Compare);
  std::for_each(New.Routes.begin(), New.Routes.end(), Compare);
  return Out;
}

} // namespace

void ServiceHistory::replaced(const FleetConfig &Old, const FleetConfig &New,
                              TimePoint Now, TimePoint Since) {
  while (!Past.empty() && Past.front().ReplacedAt < Since)
    Past.pop_front();
  for (const RoutePolicy *R : changedRoutes(Old, New))
    Past.push_back({*R, Now});
}

bool ServiceHistory::mayHaveBegunElsewhere(const RequestInfo &Request,
                                           std::string_view Service,
                                           TimePoint Since) const {
  const std::string Host = normalizeHost(Request.Host);
  return std::any_of(Past.begin(), Past.end(), [&](const PastRoute &P) {
    return P.ReplacedAt >= Since && P.Route.Host == Host &&
           Request.Path.starts_with(P.Route.PathPrefix) &&
           serviceFor(P.Route, Request) != Service;
  });
}

} // namespace hyssoprail::routing
