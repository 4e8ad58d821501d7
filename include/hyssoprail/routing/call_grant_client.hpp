#ifndef HYSSOPRAIL_ROUTING_CALL_GRANT_CLIENT_HPP
#define HYSSOPRAIL_ROUTING_CALL_GRANT_CLIENT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/routing/call_admission.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// An entry's side of the grants of calls: sends its requests and what its
/// endpoints state about their limits to the coordinator, and applies the
/// coordinator's decisions and limits.
class CallGrantClient : public CallAdmission {
public:
  explicit CallGrantClient(EndpointTable &Table) : Table(Table) {}

  // CallAdmission
  void submit(CallRequest Request) override;
  void cancel(std::string_view Id) override;
  std::optional<milliseconds> deniedFor(std::string_view Service,
                                        TimePoint Now) const override;

  /// Records what a response of \p EndpointId, which has just arrived, states
  /// about the endpoint's limit. Returns true if the known limit has changed.
  bool recordResponse(std::string_view EndpointId,
                      std::optional<double> PerSecond, TimePoint Now);

  /// Adds the undecided requests and the recent observations of limits.
  void fillReport(wire::EntryReport &Report, TimePoint Now);

  /// Applies the limits and returns the decisions on requests that are still
  /// undecided here.
  std::vector<CallDecision> applyUpdate(const wire::CoordinatorUpdate &Update,
                                        TimePoint Now);

  /// True if the coordinator should know of a change at once.
  bool hasUnreportedChange() const { return Changed; }

private:
  struct Observation {
    std::optional<double> PerSecond;
    TimePoint At{};
  };

  struct Denied {
    TimePoint Until{};
    milliseconds RetryAfter{0};
  };

  void applyLimits(const wire::CoordinatorUpdate &Update, TimePoint Now);

  EndpointTable &Table;
  std::map<std::uint64_t, CallRequest> Undecided;
  std::uint64_t LastKey = 0;
  std::map<std::string, Observation, std::less<>> Observations;
  std::map<std::string, Denied, std::less<>> DeniedServices;
  bool Changed = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_GRANT_CLIENT_HPP
