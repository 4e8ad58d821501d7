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

/// Number of a socket of one PeerLink, counted from 1; never reused.
using LinkSlot = std::uint32_t;

struct PeerLinkOptions {
  milliseconds HeartbeatInterval{250};
  milliseconds SuspectAfter{1'000}; ///< time without an ack
  /// Longest time between two attempts to replace a suspected link.
  milliseconds MaxReplaceInterval{2'000};
};

/// Actions that a PeerLink asks for.
struct OpenSlot {
  LinkSlot Slot = 0;
};
struct CloseSlot {
  LinkSlot Slot = 0;
};
/// The heartbeat's content is to be built now, after its sequence number was
/// taken: work that it does not list was then sent with a higher number.
struct SendHeartbeat {
  LinkSlot Slot = 0;
  std::uint64_t Seq = 0;
};
/// No ack came within the suspect time.
struct LinkSuspected {};
/// A replacement was confirmed by an ack.
struct LinkReplaced {};
/// The peer runs under another incarnation; Old is 0 for the first one heard.
struct NewIncarnation {
  std::uint64_t Old = 0;
  std::uint64_t New = 0;
};

using PeerLinkAction =
    std::variant<OpenSlot, CloseSlot, SendHeartbeat, LinkSuspected,
                 LinkReplaced, NewIncarnation>;
using PeerLinkActions = std::vector<PeerLinkAction>;

/// State of the link to one destination, without I/O.
///
/// A heartbeat is sent on schedule. A link is suspected when the newest
/// heartbeat that was acked was sent longer ago than SuspectAfter, however
/// healthy its socket looks. A suspected link is replaced: a new socket is
/// opened, and the old one is closed once an ack arrived over the new one.
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

  /// Sends due heartbeats and replaces a silent socket.
  PeerLinkActions tick(TimePoint Now);

  /// Sends a heartbeat ahead of schedule.
  PeerLinkActions heartbeat(TimePoint Now);

  /// Takes note of a message. Returns nothing if the message must be dropped
  /// because an earlier incarnation of the peer sent it.
  std::optional<PeerLinkActions>
  receive(LinkSlot Slot, const wire::Envelope &Message, TimePoint Now);

  /// Returns the sequence number of the next message.
  std::uint64_t nextSeq() { return ++LastSeq; }

  /// Socket for the next message: the replacement while the link is suspected.
  LinkSlot sendSlot() const { return Replacement != 0 ? Replacement : Current; }

  /// True if the newest acked heartbeat was sent within SuspectAfter.
  bool reachable(TimePoint Now) const;

  /// Incarnation last heard; 0 if none was.
  std::uint64_t incarnation() const { return Incarnation; }

private:
  struct SentHeartbeat {
    std::uint64_t Seq = 0;
    LinkSlot Slot = 0;
    TimePoint At;
  };

  void addHeartbeat(PeerLinkActions &Actions, TimePoint Now);
  void openReplacement(PeerLinkActions &Actions, TimePoint Now);
  void confirm(PeerLinkActions &Actions, LinkSlot Slot, TimePoint SentAt,
               TimePoint Now);
  bool noteIncarnation(PeerLinkActions &Actions, std::uint64_t Heard);

  PeerLinkOptions Options;
  std::uint64_t LastSeq = 0;
  LinkSlot LastSlot = 0;
  LinkSlot Current = 0;
  LinkSlot Replacement = 0; ///< 0 unless the link is suspected
  TimePoint NextHeartbeat;
  TimePoint LastTick;
  TimePoint SilentSince;  ///< since when an ack has been due
  bool GraceUsed = false; ///< after a pause of this process, until an ack
  std::optional<TimePoint> ConfirmedAt; ///< send time of the newest acked one
  TimePoint ReplaceAt; ///< when an unconfirmed replacement is given up
  milliseconds ReplaceInterval{0};
  std::deque<SentHeartbeat> Sent;
  std::uint64_t Incarnation = 0;
  std::deque<std::uint64_t> PastIncarnations;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_PEER_LINK_HPP
