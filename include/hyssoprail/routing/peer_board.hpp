#ifndef HYSSOPRAIL_ROUTING_PEER_BOARD_HPP
#define HYSSOPRAIL_ROUTING_PEER_BOARD_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/shared_quota.hpp"
#include "hyssoprail/routing/waiting_request.hpp"
#include "hyssoprail/wire/usage.pb.h"

namespace hyssoprail::routing {

/// What the other entries report of their use of the fleet.
class PeerBoard {
public:
  PeerBoard(std::string OwnName, EndpointTable &Table, SharedQuota &Quota)
      : OwnName(std::move(OwnName)), Table(Table), Quota(Quota) {}

  /// Takes a report. Returns true if the sender was not heard before, or is a
  /// new incarnation.
  bool hear(const wire::UsageReport &Report, TimePoint Now);

  /// Drops the loads of peers that have fallen silent and updates the audible
  /// share. To be called a few times a second.
  void age(TimePoint Now);

  /// An address at which a peer may be; it receives reports until it answers or
  /// the time of a candidate is over.
  void addCandidate(const std::string &Address, TimePoint Now);

  /// Addresses that should receive reports.
  std::vector<std::string> addresses(TimePoint Now) const;

  /// Entries that are heard, with this one.
  std::size_t audible(TimePoint Now) const;

  /// Entries that are heard or were not long ago, with this one.
  std::size_t known(TimePoint Now) const;

  /// Address of the state of the audible peer that the store answered last, if
  /// that was within \p MaxAge; else empty.
  std::string freshestState(Duration MaxAge, TimePoint Now) const;

  /// Memory for which requests wait at the peers that are heard, in tokens.
  std::int64_t waitingTokens(TimePoint Now) const;

  /// The first requests that wait at each peer. A peer that has just fallen
  /// silent is left out: what it waits for would otherwise stay unused.
  std::vector<WaitingRequest> waitingRequests(TimePoint Now) const;

private:
  struct Peer {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    std::string Address;
    TimePoint Heard{};
    std::int64_t WaitingTokens = 0;
    std::vector<WaitingRequest> Waiting;
    std::string StateAddress;
    Duration StoreAge{};
    bool Leaving = false;
    bool LoadsDropped = false;
  };

  std::string OwnName;
  EndpointTable &Table;
  SharedQuota &Quota;
  std::map<std::string, Peer> Peers;
  std::map<std::string, TimePoint> Candidates;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_PEER_BOARD_HPP
