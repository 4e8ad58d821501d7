#ifndef HYSSOPRAIL_PROCESS_AGENT_LEASE_PLANNER_HPP
#define HYSSOPRAIL_PROCESS_AGENT_LEASE_PLANNER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/limit_view.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail {

struct AgentLeaseOptions {
  milliseconds RequestExpiry{1'000}; ///< unless the agent repeats the request
  milliseconds DelayPerRank{1'000};  ///< among the live entries
  milliseconds RetryDelay{1'000};    ///< after an append has ended
};

/// Decides which AgentLease records an entry appends for the agents that
/// request one. Every entry that is linked to an agent receives the request.
/// The entry with the highest rendezvous weight appends at once; the others
/// append after a delay that grows with their rank, in case the first one
/// cannot. All entries use the same operation id, so a duplicate record has no
/// effect. Not thread-safe.
///
/// \code
///   Planner.handleAck(Address, Ack, AgentIncarnation, Now);
///   for (const wire::LogRecord &R : Planner.plan(Store, Peers, false, Now))
///     append(R, [&] { Planner.appendEnded(R, Clock.now()); });
/// \endcode
class AgentLeasePlanner {
public:
  AgentLeasePlanner(AgentLeaseOptions Options, std::uint64_t Self)
      : Options(Options), Self(Self) {}

  /// Handles a heartbeat ack from the agent at \p Address, which tells whether
  /// the agent requests a lease.
  void handleAck(const std::string &Address, const wire::HeartbeatAck &Ack,
                 std::uint64_t AgentIncarnation, TimePoint Now);

  /// Returns the records to append now; the caller fills in author and time.
  /// \p Peers are the live entries. If \p Leaving is true, this entry is
  /// stopping and appends nothing.
  std::vector<wire::LogRecord> plan(const ConfigStore &Store,
                                    const std::vector<LivePeer> &Peers,
                                    bool Leaving, TimePoint Now);

  /// Must be called when the append of a record returned by plan() has
  /// succeeded, failed or timed out.
  void appendEnded(const wire::LogRecord &Record, TimePoint Now);

private:
  struct LeaseRequest {
    std::string Address;
    std::uint64_t Incarnation = 0;
    TimePoint FirstRequested;
    TimePoint LastRequested;
    std::optional<TimePoint> NotBefore; ///< set when an append ends
  };

  std::optional<std::size_t> rank(std::string_view Endpoint,
                                  const ConfigStore &Store,
                                  const std::vector<LivePeer> &Peers) const;

  AgentLeaseOptions Options;
  std::uint64_t Self;
  std::map<std::string, LeaseRequest> Requests; ///< by endpoint
  /// Operation ids of appends that have not ended. Kept apart from Requests,
  /// because a request can expire while its append is still in flight.
  std::set<std::string, std::less<>> PendingAppends;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_LEASE_PLANNER_HPP
