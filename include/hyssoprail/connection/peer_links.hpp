#ifndef HYSSOPRAIL_CONNECTION_PEER_LINKS_HPP
#define HYSSOPRAIL_CONNECTION_PEER_LINKS_HPP

#include <functional>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "hyssoprail/connection/bus.hpp"
#include "hyssoprail/connection/peer_link.hpp"

namespace hyssoprail {

/// Functions that PeerLinks calls, on the bus thread or the thread that calls
/// tick(), without holding a lock. Empty functions are skipped.
struct PeerLinksCallbacks {
  /// Builds the heartbeat for a destination.
  std::function<wire::Heartbeat(const std::string &Address)> MakeHeartbeat;
  std::function<void(const std::string &Address, wire::Envelope Message)>
      OnMessage;
  std::function<void(const std::string &Address)> OnSuspected;
  /// Missing chunks and outcomes can now be asked for again.
  std::function<void(const std::string &Address)> OnReplaced;
  /// \p Old is 0 when the peer is heard for the first time.
  std::function<void(const std::string &Address, std::uint64_t Old,
                     std::uint64_t New)>
      OnIncarnation;
};

/// The links of a process, by destination address ("tcp://IP:PORT").
/// Thread-safe.
///
/// The receiver of a heartbeat drops work that it does not list only if the
/// work's start has a lower sequence number than the heartbeat.
///
/// \code
///   PeerLinks Links(*Bus, Clock, Options, Callbacks);
///   Bus->start([&](const BusSource &From, wire::Envelope Message) {
///     if (From.Link != 0)
///       return Links.receive(From, std::move(Message));
///     ...
///   });
///   Links.ensure("tcp://10.0.0.7:7000");
/// \endcode
class PeerLinks {
public:
  PeerLinks(Bus &Sockets, const Clock &Time, PeerLinkOptions Options,
            PeerLinksCallbacks Callbacks);

  /// Opens a link unless there is one.
  void ensure(const std::string &Address);

  /// Closes a link; messages that wait on it are dropped.
  void drop(const std::string &Address);

  /// Sends a message and sets its sequence number, and to_incarnation if it
  /// is 0. Returns false if there is no link to \p Address. True does not mean
  /// that the message arrives.
  bool send(const std::string &Address, wire::Envelope Message);

  /// Sends a heartbeat ahead of schedule, for example after work ended.
  void heartbeat(const std::string &Address);

  /// True if the peer acked a heartbeat sent within the suspect time.
  bool reachable(const std::string &Address) const;

  /// Incarnation last heard from the peer; 0 if none was.
  std::uint64_t incarnation(const std::string &Address) const;

  /// Destinations in no particular order.
  std::vector<std::string> addresses() const;

  /// To be called at least four times per heartbeat interval.
  void tick();

  /// Takes a message of a link that this process opened.
  void receive(const BusSource &Source, wire::Envelope Message);

private:
  struct Peer;
  using PeerPtr = std::shared_ptr<Peer>;

  PeerPtr find(const std::string &Address) const;
  std::pair<PeerPtr, LinkSlot> findLink(LinkId Link) const;
  std::vector<PeerPtr> peers() const;
  void run(const PeerPtr &P, const PeerLinkActions &Actions);
  void openSlots(const PeerPtr &P, const PeerLinkActions &Actions);
  void close(const PeerPtr &P, LinkSlot Slot);
  void sendHeartbeat(const PeerPtr &P, const SendHeartbeat &Action);

  Bus &Sockets;
  const Clock &Time;
  const PeerLinkOptions Options;
  const PeerLinksCallbacks Callbacks;
  mutable std::shared_mutex Mutex; ///< guards the maps, not the peers
  std::unordered_map<std::string, PeerPtr> Peers;
  std::unordered_map<LinkId, std::pair<PeerPtr, LinkSlot>> Links;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_PEER_LINKS_HPP
