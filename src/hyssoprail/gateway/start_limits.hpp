#ifndef HYSSOPRAIL_GATEWAY_START_LIMITS_HPP
#define HYSSOPRAIL_GATEWAY_START_LIMITS_HPP

#include <cstddef>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::gateway {

/// Tolerated request rate of a cold endpoint: the configured rate times
/// Overage, plus Slack.
struct ColdTolerance {
  double Overage = 1;
  double Slack = 0;
};

/// The part of the fleet for which this entry places work.
struct FleetPart {
  std::size_t Entries = 1;    ///< that share the limits of calls evenly
  double ReportingShare = 1;  ///< share of the entries that report
  bool IsCoordinator = false; ///< this entry grants calls to the others
};

/// Limits the start rate of each endpoint to what it can take while cold. An
/// endpoint can become cold at any moment, so the limit applies always. The
/// coordinator places the work of all engines and uses the shares of all
/// entries whose reports reach it; an entry whose reports do not reach it may
/// place work itself, within its own share. Calls are placed by each entry
/// within an even share. If that is below one request, the coordinator grants
/// the calls of all entries.
void applyStartLimits(routing::EndpointTable &Table,
                      const routing::FleetConfig &Config,
                      const ColdTolerance &Tolerance, const FleetPart &Part);

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_START_LIMITS_HPP
