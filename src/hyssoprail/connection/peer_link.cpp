#include "hyssoprail/connection/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail {
namespace {

/// Heartbeats remembered until their ack; 64 cover 16 s at one per 250 ms.
constexpr std::size_t MaxUnackedHeartbeats = 64;

/// Number of earlier incarnations whose late messages are recognised.
constexpr std::size_t MaxPastIncarnations = 8;

} // namespace

PeerLinkActions PeerLink::start(TimePoint Now) {
  PeerLinkActions Actions;
  Current = ++LastSocket;
  LastTick = SuspectTimerStart = Now;
  Actions.push_back(OpenSocket{Current});
  addHeartbeat(Actions, Now);
  return Actions;
}

PeerLinkActions PeerLink::tick(TimePoint Now) {
  PeerLinkActions Actions;
  // If this process was paused, it could not receive acks; peers get another
  // half of the suspect timeout before their links are replaced.
  if (!PauseGraceUsed && Now - LastTick > Options.SuspectAfter / 2) {
    SuspectTimerStart =
        std::max(SuspectTimerStart, Now - Options.SuspectAfter / 2);
    PauseGraceUsed = true;
  }
  LastTick = Now;
  if (Replacement == 0 && Now - SuspectTimerStart > Options.SuspectAfter) {
    Actions.push_back(LinkSuspected{});
    ReplaceBackoff = Options.SuspectAfter;
    openReplacement(Actions, Now);
  } else if (Replacement != 0 && Now >= ReplacementDeadline) {
    Actions.push_back(CloseSocket{Replacement});
    ReplaceBackoff = std::min(ReplaceBackoff * 2, Options.MaxReplaceBackoff);
    openReplacement(Actions, Now);
  } else if (Now >= NextHeartbeat) {
    addHeartbeat(Actions, Now);
  }
  return Actions;
}

PeerLinkActions PeerLink::heartbeat(TimePoint Now) {
  PeerLinkActions Actions;
  addHeartbeat(Actions, Now);
  return Actions;
}

std::optional<PeerLinkActions> PeerLink::receive(SocketId Socket,
                                                 const wire::Envelope &Message,
                                                 TimePoint Now) {
  PeerLinkActions Actions;
  if (!updateIncarnation(Actions, Message.incarnation()))
    return std::nullopt;
  if (!Message.has_heartbeat_ack())
    return Actions;
  const std::uint64_t Seq = Message.heartbeat_ack().acked_seq();
  const auto It =
      std::find_if(UnackedHeartbeats.begin(), UnackedHeartbeats.end(),
                   [&](const SentHeartbeat &H) {
                     return H.Seq == Seq && H.Socket == Socket;
                   });
  if (It == UnackedHeartbeats.end())
    return Actions;
  const TimePoint SentAt = It->SentAt;
  UnackedHeartbeats.erase(It);
  handleAck(Actions, Socket, SentAt, Now);
  return Actions;
}

bool PeerLink::reachable(TimePoint Now) const {
  return LastAckedSentAt && Now - *LastAckedSentAt <= Options.SuspectAfter;
}

void PeerLink::addHeartbeat(PeerLinkActions &Actions, TimePoint Now) {
  const std::uint64_t Seq = nextSeq();
  UnackedHeartbeats.push_back({Seq, sendSocket(), Now});
  if (UnackedHeartbeats.size() > MaxUnackedHeartbeats)
    UnackedHeartbeats.pop_front();
  NextHeartbeat = Now + Options.HeartbeatInterval;
  Actions.push_back(SendHeartbeat{sendSocket(), Seq});
}

void PeerLink::openReplacement(PeerLinkActions &Actions, TimePoint Now) {
  Replacement = ++LastSocket;
  ReplacementDeadline = Now + ReplaceBackoff;
  Actions.push_back(OpenSocket{Replacement});
  addHeartbeat(Actions, Now);
}

void PeerLink::handleAck(PeerLinkActions &Actions, SocketId Socket,
                         TimePoint SentAt, TimePoint Now) {
  LastAckedSentAt = std::max(LastAckedSentAt.value_or(SentAt), SentAt);
  SuspectTimerStart = std::max(SuspectTimerStart, SentAt);
  PauseGraceUsed = false;
  if (Replacement == 0)
    return;
  if (Socket == Replacement) {
    Actions.push_back(CloseSocket{Current});
    Current = std::exchange(Replacement, 0);
    // The acked heartbeat may be old because connecting took long; allow half
    // of the suspect timeout for the ack of a later one.
    SuspectTimerStart =
        std::max(SuspectTimerStart, Now - Options.SuspectAfter / 2);
    Actions.push_back(LinkReplaced{});
  } else if (Socket == Current && Now - SentAt <= Options.SuspectAfter) {
    Actions.push_back(CloseSocket{std::exchange(Replacement, 0)});
  }
}

bool PeerLink::updateIncarnation(PeerLinkActions &Actions,
                                 std::uint64_t Received) {
  if (Received == Incarnation)
    return true;
  if (Received == 0 ||
      std::find(PastIncarnations.begin(), PastIncarnations.end(), Received) !=
          PastIncarnations.end())
    return false;
  if (Incarnation != 0)
    PastIncarnations.push_back(Incarnation);
  if (PastIncarnations.size() > MaxPastIncarnations)
    PastIncarnations.pop_front();
  Actions.push_back(NewIncarnation{Incarnation, Received});
  Incarnation = Received;
  return true;
}

} // namespace hyssoprail
