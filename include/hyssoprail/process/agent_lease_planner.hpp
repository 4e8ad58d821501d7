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
  milliseconds AskExpiry{1'000}; ///< an ask counts for this long; agents repeat
  milliseconds Stagger{1'000};   ///< delay per rank among the live entries
  milliseconds Retry{1'000};     ///< after an append that ended
};

/// Decides which AgentLease records an entry appends for the agents that ask
/// for one. All entries with a link to the agent see it ask; the one with the
/// highest rendezvous weight appends at once and the others after a delay, in
/// case it cannot. The operation id is the same in all of them, so a duplicate
/// has no effect. Not thread-safe.
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

  /// An agent at \p Address acknowledged a heartbeat.
  void handleAck(const std::string &Address, const wire::HeartbeatAck &Ack,
                 std::uint64_t AgentIncarnation, TimePoint Now);

  /// Returns the records to append now, without author and time. \p Peers are
  /// the entries heard of lately, \p Leaving tells that this one is stopping.
  std::vector<wire::LogRecord> plan(const ConfigStore &Store,
                                    const std::vector<LivePeer> &Peers,
                                    bool Leaving, TimePoint Now);

  /// The append of a record that plan returned succeeded, failed or timed out.
  void appendEnded(const wire::LogRecord &Record, TimePoint Now);

private:
  struct Ask {
    std::string Address;
    std::uint64_t Incarnation = 0;
    TimePoint Since;
    TimePoint LastAsked;
    std::optional<TimePoint> NotBefore; ///< set after the first append
  };

  std::optional<std::size_t> rank(std::string_view Endpoint,
                                  const ConfigStore &Store,
                                  const std::vector<LivePeer> &Peers) const;

  AgentLeaseOptions Options;
  std::uint64_t Self;
  std::map<std::string, Ask> Asks; ///< by endpoint
  /// Operation ids of appends that have not ended. Kept apart from the asks,
  /// which expire earlier than a slow append.
  std::set<std::string, std::less<>> Running;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_LEASE_PLANNER_HPP
