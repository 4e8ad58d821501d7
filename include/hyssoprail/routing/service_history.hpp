#ifndef HYSSOPRAIL_ROUTING_SERVICE_HISTORY_HPP
#define HYSSOPRAIL_ROUTING_SERVICE_HISTORY_HPP

#include <deque>
#include <string_view>

#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::routing {

/// Routes of resumable streams as they were before a configuration changed
/// them. A stream that began at one service must not go on at another one, so a
/// caller that takes it up after the change is refused.
class ServiceHistory {
public:
  /// \p New replaces \p Old. Routes that were replaced before \p Since are
  /// forgotten.
  void replaced(const FleetConfig &Old, const FleetConfig &New, TimePoint Now,
                TimePoint Since);

  /// True if the stream that \p Request takes up may have begun at another
  /// service than \p Service, by a route that was replaced after \p Since.
  bool mayHaveBegunElsewhere(const RequestInfo &Request,
                             std::string_view Service, TimePoint Since) const;

private:
  struct PastRoute {
    RoutePolicy Route;
    TimePoint ReplacedAt{};
  };

  std::deque<PastRoute> Past; ///< in the order of their replacement
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_SERVICE_HISTORY_HPP
