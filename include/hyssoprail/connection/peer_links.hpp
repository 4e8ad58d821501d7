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

/// Callbacks of PeerLinks. They run on the bus thread or on the thread that
/// calls a function of PeerLinks, with no lock held. Empty ones are skipped.
struct PeerLinksCallbacks {
  /// Builds the heartbeat for a destination.
  std::function<wire::Heartbeat(const std::string &Address)> MakeHeartbeat;
  std::function<void(const std::string &Address, wire::Envelope Message)>
      OnMessage;
  std::function<void(const std::string &Address)> OnSuspected;
  /// Missing chunks and outcomes can be requested again from now on.
  std::function<void(const std::string &Address)> OnReplaced;
  /// \p Old is 0 for the first incarnation received from the peer.
  std::function<void(const std::string &Address, std::uint64_t Old,
                     std::uint64_t New)>
      OnIncarnation;
};

/// The links of a process, by destination address ("tcp://IP:PORT").
/// Thread-safe.
///
/// The receiver of a heartbeat drops work that the heartbeat does not list only
/// if the message that started the work has a lower sequence number than the
/// heartbeat.
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
  PeerLinks(Bus &MessageBus, const Clock &Time, PeerLinkOptions Options,
            PeerLinksCallbacks Callbacks);

  /// Opens a link to \p Address unless one exists.
  void ensure(const std::string &Address);

  /// Closes a link and drops the messages queued on it.
  void drop(const std::string &Address);

  /// Sends a message after setting its sequence number, and its to_incarnation
  /// if that is 0. Returns false if there is no link to \p Address; true does
  /// not guarantee delivery.
  bool send(const std::string &Address, wire::Envelope Message);

  /// Sends a heartbeat ahead of schedule, for example after work has ended.
  void heartbeat(const std::string &Address);

  /// Returns true if the peer acked a heartbeat sent within SuspectAfter.
  bool reachable(const std::string &Address) const;

  /// Returns the peer's current incarnation; 0 if none was received.
  std::uint64_t incarnation(const std::string &Address) const;

  /// Returns the destinations in no particular order.
  std::vector<std::string> addresses() const;

  /// Must be called at least four times per heartbeat interval.
  void tick();

  /// Processes a message received over a link that this process opened.
  void receive(const BusSource &Source, wire::Envelope Message);

private:
  struct Peer;
  using PeerPtr = std::shared_ptr<Peer>;

  PeerPtr find(const std::string &Address) const;
  std::pair<PeerPtr, SocketId> findSocket(LinkId Link) const;
  std::vector<PeerPtr> peers() const;
  void execute(const PeerPtr &P, const PeerLinkActions &Actions);
  void openSockets(const PeerPtr &P, const PeerLinkActions &Actions);
  void close(const PeerPtr &P, SocketId Socket);
  void sendHeartbeat(const PeerPtr &P, const SendHeartbeat &Action);

  Bus &MessageBus;
  const Clock &Time;
  const PeerLinkOptions Options;
  const PeerLinksCallbacks Callbacks;
  mutable std::shared_mutex Mutex; ///< guards the maps, not the peers
  std::unordered_map<std::string, PeerPtr> Peers;
  std::unordered_map<LinkId, std::pair<PeerPtr, SocketId>> Links;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_PEER_LINKS_HPP
