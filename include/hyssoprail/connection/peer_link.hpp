#ifndef HYSSOPRAIL_CONNECTION_PEER_LINK_HPP
#define HYSSOPRAIL_CONNECTION_PEER_LINK_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Identifies a socket within one PeerLink. Starts at 1; never reused.
using SocketId = std::uint32_t;

struct PeerLinkOptions {
  milliseconds HeartbeatInterval{250};
  /// Time without an ack after which the link is suspected.
  milliseconds SuspectAfter{1'000};
  /// Upper limit of the backoff between attempts to replace a suspected link.
  milliseconds MaxReplaceBackoff{2'000};
};

// Actions that a PeerLink returns for its owner to carry out.

struct OpenSocket {
  SocketId Socket = 0;
};
struct CloseSocket {
  SocketId Socket = 0;
};
/// The owner must build the heartbeat's content only now, after its sequence
/// number was allocated, so that work missing from the heartbeat was sent with
/// a higher sequence number.
struct SendHeartbeat {
  SocketId Socket = 0;
  std::uint64_t Seq = 0;
};
/// No ack arrived within SuspectAfter.
struct LinkSuspected {};
/// An ack over the replacement socket confirmed it; the old one is closed.
struct LinkReplaced {};
/// The peer has a new incarnation; Old is 0 for the first one received.
struct NewIncarnation {
  std::uint64_t Old = 0;
  std::uint64_t New = 0;
};

using PeerLinkAction =
    std::variant<OpenSocket, CloseSocket, SendHeartbeat, LinkSuspected,
                 LinkReplaced, NewIncarnation>;
using PeerLinkActions = std::vector<PeerLinkAction>;

/// State machine of the link to one destination, without I/O.
///
/// Heartbeats are sent at a fixed interval. A link is suspected when its newest
/// acked heartbeat was sent more than SuspectAfter ago, whatever state its
/// socket is in. To replace a suspected link, a second socket is opened; the
/// old one is closed once an ack arrives over the new one.
///
/// \code
///   PeerLink Link(Options);
///   run(Link.start(Now));
///   run(Link.tick(Now)); // at least four times per heartbeat interval
/// \endcode
class PeerLink {
public:
  explicit PeerLink(const PeerLinkOptions &Options) : Options(Options) {}

  /// Opens the first socket.
  PeerLinkActions start(TimePoint Now);

  /// Sends heartbeats that are due and replaces a socket without acks.
  PeerLinkActions tick(TimePoint Now);

  /// Sends a heartbeat ahead of schedule.
  PeerLinkActions heartbeat(TimePoint Now);

  /// Processes a message. Returns nullopt if the message must be dropped
  /// because its incarnation is 0 or an earlier one of the peer.
  std::optional<PeerLinkActions>
  receive(SocketId Socket, const wire::Envelope &Message, TimePoint Now);

  /// Allocates the sequence number of the next message.
  std::uint64_t nextSeq() { return ++LastSeq; }

  /// Returns the socket for the next message: the replacement while the link is
  /// suspected.
  SocketId sendSocket() const {
    return Replacement != 0 ? Replacement : Current;
  }

  /// Returns true if the newest acked heartbeat was sent within SuspectAfter.
  bool reachable(TimePoint Now) const;

  /// Returns the peer's current incarnation; 0 if none was received.
  std::uint64_t incarnation() const { return Incarnation; }

private:
  struct SentHeartbeat {
    std::uint64_t Seq = 0;
    SocketId Socket = 0;
    TimePoint SentAt;
  };

  void addHeartbeat(PeerLinkActions &Actions, TimePoint Now);
  void openReplacement(PeerLinkActions &Actions, TimePoint Now);
  void handleAck(PeerLinkActions &Actions, SocketId Socket, TimePoint SentAt,
                 TimePoint Now);
  bool updateIncarnation(PeerLinkActions &Actions, std::uint64_t Received);

  PeerLinkOptions Options;
  std::uint64_t LastSeq = 0;
  SocketId LastSocket = 0;
  SocketId Current = 0;
  SocketId Replacement = 0; ///< 0 unless the link is suspected
  TimePoint NextHeartbeat;
  TimePoint LastTick;
  /// Start of the suspect timeout: the send time of the newest acked heartbeat,
  /// or later if a grace period was granted.
  TimePoint SuspectTimerStart;
  /// The grace period after a pause of this process was granted; reset by the
  /// next ack.
  bool PauseGraceUsed = false;
  /// Send time of the newest acked heartbeat.
  std::optional<TimePoint> LastAckedSentAt;
  TimePoint ReplacementDeadline; ///< when an unacked replacement is closed
  milliseconds ReplaceBackoff{0};
  std::deque<SentHeartbeat> UnackedHeartbeats;
  std::uint64_t Incarnation = 0;
  std::deque<std::uint64_t> PastIncarnations;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_PEER_LINK_HPP
