#include "hyssoprail/gateway/start_limits.hpp"

namespace hyssoprail::gateway {
namespace {

/// Share of the start limit of a cold endpoint that is used.
constexpr double ColdLimitShare = 0.9;

routing::StartRateLimit startLimit(const routing::ServicePolicy &Service,
                                   double PerSecond, const FleetPart &Part) {
  using routing::startRateOfPart;
  if (Service.Engine)
    return {startRateOfPart(PerSecond, Part.ReportingShare)};
  const double EvenShare = PerSecond / static_cast<double>(Part.Entries);
  if (EvenShare >= 1)
    return {static_cast<std::size_t>(EvenShare)};
  return {Part.IsCoordinator ? startRateOfPart(PerSecond, Part.ReportingShare)
                             : 0,
          true};
}

} // namespace

void applyStartLimits(routing::EndpointTable &Table,
                      const routing::FleetConfig &Config,
                      const ColdTolerance &Tolerance, const FleetPart &Part) {
  for (const auto &[Name, Service] : Config.Services) {
    if (Service.ColdRequestsPerSecond <= 0)
      continue;
    const double Limit =
        Service.ColdRequestsPerSecond * Tolerance.Overage + Tolerance.Slack;
    Table.setStartRateLimit(Name,
                            startLimit(Service, Limit * ColdLimitShare, Part));
  }
}

} // namespace hyssoprail::gateway
