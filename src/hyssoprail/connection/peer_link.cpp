#include "hyssoprail/connection/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail {
namespace {

/// Heartbeats remembered until their ack; 64 cover 16 s at 250 ms.
constexpr std::size_t MaxSentHeartbeats = 64;

/// Earlier incarnations whose late messages are recognised.
constexpr std::size_t MaxPastIncarnations = 8;

} // namespace

PeerLinkActions PeerLink::start(TimePoint Now) {
  PeerLinkActions Actions;
  Current = ++LastSlot;
  LastTick = SilentSince = Now;
  Actions.push_back(OpenSlot{Current});
  addHeartbeat(Actions, Now);
  return Actions;
}

PeerLinkActions PeerLink::tick(TimePoint Now) {
  PeerLinkActions Actions;
  // A process that was itself paused has not listened; its peers get one more
  // chance to ack before their links are replaced.
  if (!GraceUsed && Now - LastTick > Options.SuspectAfter / 2) {
    SilentSince = std::max(SilentSince, Now - Options.SuspectAfter / 2);
    GraceUsed = true;
  }
  LastTick = Now;
  if (Replacement == 0 && Now - SilentSince > Options.SuspectAfter) {
    Actions.push_back(LinkSuspected{});
    ReplaceInterval = Options.SuspectAfter;
    openReplacement(Actions, Now);
  } else if (Replacement != 0 && Now >= ReplaceAt) {
    Actions.push_back(CloseSlot{Replacement});
    ReplaceInterval = std::min(ReplaceInterval * 2, Options.MaxReplaceInterval);
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

std::optional<PeerLinkActions>
PeerLink::receive(LinkSlot Slot, const wire::Envelope &Message, TimePoint Now) {
  PeerLinkActions Actions;
  if (!noteIncarnation(Actions, Message.incarnation()))
    return std::nullopt;
  if (!Message.has_heartbeat_ack())
    return Actions;
  const std::uint64_t Seq = Message.heartbeat_ack().acked_seq();
  const auto It =
      std::find_if(Sent.begin(), Sent.end(), [&](const SentHeartbeat &H) {
        return H.Seq == Seq && H.Slot == Slot;
      });
  if (It == Sent.end())
    return Actions;
  const TimePoint SentAt = It->At;
  Sent.erase(It);
  confirm(Actions, Slot, SentAt, Now);
  return Actions;
}

bool PeerLink::reachable(TimePoint Now) const {
  return ConfirmedAt && Now - *ConfirmedAt <= Options.SuspectAfter;
}

void PeerLink::addHeartbeat(PeerLinkActions &Actions, TimePoint Now) {
  const std::uint64_t Seq = nextSeq();
  Sent.push_back({Seq, sendSlot(), Now});
  if (Sent.size() > MaxSentHeartbeats)
    Sent.pop_front();
  NextHeartbeat = Now + Options.HeartbeatInterval;
  Actions.push_back(SendHeartbeat{sendSlot(), Seq});
}

void PeerLink::openReplacement(PeerLinkActions &Actions, TimePoint Now) {
  Replacement = ++LastSlot;
  ReplaceAt = Now + ReplaceInterval;
  Actions.push_back(OpenSlot{Replacement});
  addHeartbeat(Actions, Now);
}

void PeerLink::confirm(PeerLinkActions &Actions, LinkSlot Slot,
                       TimePoint SentAt, TimePoint Now) {
  ConfirmedAt = std::max(ConfirmedAt.value_or(SentAt), SentAt);
  SilentSince = std::max(SilentSince, SentAt);
  GraceUsed = false;
  if (Replacement == 0)
    return;
  if (Slot == Replacement) {
    Actions.push_back(CloseSlot{Current});
    Current = std::exchange(Replacement, 0);
    // The replacement may have taken long to connect; it is judged by the
    // heartbeats that follow.
    SilentSince = std::max(SilentSince, Now - Options.SuspectAfter / 2);
    Actions.push_back(LinkReplaced{});
  } else if (Slot == Current && Now - SentAt <= Options.SuspectAfter) {
    Actions.push_back(CloseSlot{std::exchange(Replacement, 0)});
  }
}

bool PeerLink::noteIncarnation(PeerLinkActions &Actions, std::uint64_t Heard) {
  if (Heard == Incarnation)
    return true;
  if (Heard == 0 || std::find(PastIncarnations.begin(), PastIncarnations.end(),
                              Heard) != PastIncarnations.end())
    return false;
  if (Incarnation != 0)
    PastIncarnations.push_back(Incarnation);
  if (PastIncarnations.size() > MaxPastIncarnations)
    PastIncarnations.pop_front();
  Actions.push_back(NewIncarnation{Incarnation, Heard});
  Incarnation = Heard;
  return true;
}

} // namespace hyssoprail
