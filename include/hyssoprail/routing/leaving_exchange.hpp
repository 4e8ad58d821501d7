#ifndef HYSSOPRAIL_ROUTING_LEAVING_EXCHANGE_HPP
#define HYSSOPRAIL_ROUTING_LEAVING_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Exchange of leaving endpoints between an entry and its coordinator. Both
/// send a digest of what they know with each message, and the endpoints
/// themselves until the other side's digest is the same. What is received is
/// merged, so that lost, late and repeated messages do no harm.
class LeavingExchange {
public:
  explicit LeavingExchange(EndpointTable &Table) : Table(Table) {}

  /// Merges what \p Peer sent. Returns the endpoints that were not known to
  /// leave.
  std::vector<std::string> take(const std::string &Peer,
                                const wire::EntryReport &From);
  std::vector<std::string> take(const std::string &Peer,
                                const wire::CoordinatorUpdate &From);

  /// Adds what \p Peer may not know.
  void fill(const std::string &Peer, wire::EntryReport &Report);
  void fill(const std::string &Peer, wire::CoordinatorUpdate &Update);

  /// Forgets what the peers know; they are told everything again.
  void forgetPeers() { Peers.clear(); }
  std::size_t peerCount() const { return Peers.size(); }

  /// True if the endpoints that leave have changed since the last report.
  bool hasUnreportedChange() const {
    return Table.leaving().digest() != ReportedDigest;
  }

private:
  template <typename Message>
  std::vector<std::string> merge(const std::string &Peer, const Message &From);
  template <typename Message>
  void addUnknown(const std::string &Peer, Message &Out);

  struct PeerState {
    std::uint64_t Digest = 0;
    std::string LastSent; ///< id that the last incomplete message ended with
  };

  EndpointTable &Table;
  std::map<std::string, PeerState> Peers; ///< by name
  std::uint64_t ReportedDigest = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LEAVING_EXCHANGE_HPP
