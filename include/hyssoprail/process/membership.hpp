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
  milliseconds SuspectAfter{1'000}; ///< time without news of a process
  milliseconds GoneAfter{10'000};
  milliseconds ForgetAfter{120'000};
  std::size_t MaxGossip = 64; ///< processes listed in one heartbeat
};

/// What is known of whether a process runs.
enum class Liveness { Live, Suspected, Gone };

/// Returns the name of \p State, for example "suspected".
std::string_view livenessName(Liveness State);

/// An entry of the platform's lagging VM list.
struct VmHint {
  std::string PeerAddress; ///< "tcp://IP:PORT"
  std::string Role;        ///< "entry" or "agent"
  bool Leaving = false;
};

/// One process as seen from here.
struct MemberView {
  wire::MemberStatus Status; ///< with the age at the time of the query
  std::optional<wire::LoadReport> Load; ///< newest report of an agent
  Liveness State = Liveness::Live;
  bool Leaving = false; ///< it said so, or its VM is marked as leaving
};

/// The processes of the fleet, without I/O and without a lock.
///
/// Sources are heartbeats and acks of the processes themselves, what other
/// processes report of them (gossip), and the VM list. News of one incarnation
/// is merged so that order and repetition do not matter: the latest time wins,
/// the version only grows and leaving is final. Of several incarnations under
/// one name the one heard of last counts, but an incarnation that was followed
/// by another one's own message never counts again.
///
/// \code
///   Known.recordMessage(statusOf(Message), Now);
///   for (const MemberView &M : Known.members(Now)) ...
/// \endcode
class Membership {
public:
  explicit Membership(const MembershipOptions &Options) : Options(Options) {}

  /// A message of the process itself. Returns false if a later incarnation of
  /// it is known, so that the message should be ignored. \p Load is set for
  /// agents.
  bool recordMessage(const wire::MemberStatus &Status, TimePoint Now,
                     const wire::LoadReport *Load = nullptr);

  /// What another process reports; Status.age_ms tells how old the news is.
  void recordGossip(const wire::MemberStatus &Status, TimePoint Now);

  /// Replaces what the VM list said.
  void vmList(const std::vector<VmHint> &List);

  /// The current incarnation of each process that is not forgotten, by name.
  std::vector<MemberView> members(TimePoint Now) const;

  /// State of an incarnation; Gone if it is unknown or not the current one.
  Liveness liveness(std::uint64_t Incarnation, TimePoint Now) const;

  /// Names of the processes that are not gone and have not reported \p Version.
  std::vector<std::string> behind(std::uint64_t Version, TimePoint Now) const;

  /// Addresses of entries known from news or from the VM list.
  std::vector<std::string> entryAddresses(TimePoint Now) const;

  /// News to pass on in a heartbeat: the processes that are not gone. If there
  /// are more than MaxGossip, successive calls go through all of them in turn.
  std::vector<wire::MemberStatus> gossipToSend(TimePoint Now);

  /// Drops incarnations that were not heard of for ForgetAfter.
  void removeExpired(TimePoint Now);

private:
  struct Record {
    wire::MemberStatus Status;
    TimePoint HeardAt;
    std::optional<wire::LoadReport> Load;
    bool Superseded = false; ///< another incarnation spoke after it
  };
  /// Name and incarnation.
  using Key = std::pair<std::string, std::uint64_t>;
  using Records = std::map<Key, Record>;

  Record &merge(const wire::MemberStatus &Status, TimePoint HeardAt);
  std::vector<const Record *> current(TimePoint Now) const;
  Liveness stateAt(const Record &R, TimePoint Now) const;

  MembershipOptions Options;
  Records Known;
  std::map<std::string, VmHint, std::less<>> Vms; ///< by peer address
  std::size_t NextToPass = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_MEMBERSHIP_HPP
