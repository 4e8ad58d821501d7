#ifndef HYSSOPRAIL_PROCESS_MEMBERSHIP_HPP
#define HYSSOPRAIL_PROCESS_MEMBERSHIP_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

struct MembershipOptions {
  milliseconds SuspectAfter{1'000}; ///< time since a process was last heard of
  milliseconds GoneAfter{10'000};
  milliseconds ExpireAfter{120'000};
  std::size_t MaxGossipMembers = 64; ///< processes listed in one heartbeat
};

/// Failure detector state of a process.
enum class Liveness { Live, Suspected, Gone };

/// Returns the name of \p State, for example "suspected".
std::string_view livenessName(Liveness State);

/// One process of the platform's VM list, which lags behind the real state.
struct VmHint {
  std::string PeerAddress; ///< "tcp://IP:PORT"
  std::string Role;        ///< "entry" or "agent"
  bool Leaving = false;
};

/// This process's view of another process.
struct MemberView {
  wire::MemberStatus Status;            ///< age_ms as of the query
  std::optional<wire::LoadReport> Load; ///< newest report of an agent
  Liveness State = Liveness::Live;
  bool Leaving = false; ///< reported by itself or by the VM list
};

/// Membership table of the fleet's processes with a timeout-based failure
/// detector. Does no I/O; not thread-safe.
///
/// Its sources are heartbeats and acks from the processes themselves, gossip
/// from other processes, and the VM list. Reports about one incarnation are
/// merged so that their order and repetition do not matter: the latest time
/// wins, the version only grows and leaving is final. Of several incarnations
/// with the same name, the one heard of last is current. An incarnation is
/// superseded for good once another incarnation of that name has sent a message
/// itself.
///
/// \code
///   Processes.recordMessage(statusOf(Message), Now);
///   for (const MemberView &M : Processes.members(Now)) ...
/// \endcode
class Membership {
public:
  explicit Membership(const MembershipOptions &Options) : Options(Options) {}

  /// Records a message sent by the process itself. Returns false if the
  /// incarnation is superseded; the message must then be ignored. \p Load is
  /// set for agents.
  bool recordMessage(const wire::MemberStatus &Status, TimePoint Now,
                     const wire::LoadReport *Load = nullptr);

  /// Records what another process reports; Status.age_ms is the time since the
  /// reported process was last heard of.
  void recordGossip(const wire::MemberStatus &Status, TimePoint Now);

  /// Replaces the contents of the VM list.
  void setVmHints(const std::vector<VmHint> &List);

  /// Returns the current incarnation of each unexpired process, sorted by name.
  std::vector<MemberView> members(TimePoint Now) const;

  /// Returns the state of an incarnation; Gone if it is unknown or not the
  /// current one.
  Liveness liveness(std::uint64_t Incarnation, TimePoint Now) const;

  /// Returns the names of the processes that are not gone and have not yet
  /// reported \p Version or a later one.
  std::vector<std::string> processesBehind(std::uint64_t Version,
                                           TimePoint Now) const;

  /// Returns the addresses of the entries that are not gone or are in the VM
  /// list.
  std::vector<std::string> entryAddresses(TimePoint Now) const;

  /// Returns the processes to list in the next heartbeat: those that are not
  /// gone. If there are more than MaxGossipMembers, successive calls rotate
  /// through all of them.
  std::vector<wire::MemberStatus> gossipToSend(TimePoint Now);

  /// Drops incarnations that were last heard of ExpireAfter or longer ago.
  void removeExpired(TimePoint Now);

private:
  struct Record {
    wire::MemberStatus Status;
    TimePoint HeardAt;
    std::optional<wire::LoadReport> Load;
    bool Superseded = false; ///< another incarnation sent a message later
  };
  /// Name and incarnation.
  using Key = std::pair<std::string, std::uint64_t>;
  using RecordMap = std::map<Key, Record>;

  Record &merge(const wire::MemberStatus &Status, TimePoint HeardAt);
  std::vector<const Record *> currentRecords(TimePoint Now) const;
  Liveness livenessAt(const Record &R, TimePoint Now) const;

  MembershipOptions Options;
  RecordMap Incarnations;
  std::map<std::string, VmHint, std::less<>> VmHints; ///< by peer address
  std::size_t NextGossip = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_MEMBERSHIP_HPP
