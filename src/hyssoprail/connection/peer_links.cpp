#include "hyssoprail/connection/peer_links.hpp"

#include <map>
#include <mutex>
#include <type_traits>
#include <utility>

namespace hyssoprail {

/// One destination. Its mutex is never held while a callback runs.
struct PeerLinks::Peer {
  Peer(std::string Address, const PeerLinkOptions &Options)
      : Address(std::move(Address)), State(Options) {}

  const std::string Address;
  std::mutex Mutex;
  PeerLink State;
  std::map<SocketId, LinkId> OpenLinks;
  bool Dropped = false;
};

PeerLinks::PeerLinks(Bus &MessageBus, const Clock &Time,
                     PeerLinkOptions Options, PeerLinksCallbacks Callbacks)
    : MessageBus(MessageBus), Time(Time), Options(Options),
      Callbacks(std::move(Callbacks)) {}

void PeerLinks::ensure(const std::string &Address) {
  if (find(Address))
    return;
  auto P = std::make_shared<Peer>(Address, Options);
  PeerLinkActions Actions;
  {
    std::lock_guard PeerLock(P->Mutex);
    {
      std::unique_lock Lock(Mutex);
      if (!Peers.emplace(Address, P).second)
        return;
    }
    Actions = P->State.start(Time.now());
    openSockets(P, Actions);
  }
  execute(P, Actions);
}

void PeerLinks::drop(const std::string &Address) {
  const PeerPtr P = find(Address);
  if (!P)
    return;
  {
    std::unique_lock Lock(Mutex);
    Peers.erase(Address);
  }
  std::lock_guard Lock(P->Mutex);
  P->Dropped = true;
  while (!P->OpenLinks.empty())
    close(P, P->OpenLinks.begin()->first);
}

bool PeerLinks::send(const std::string &Address, wire::Envelope Message) {
  const PeerPtr P = find(Address);
  if (!P)
    return false;
  std::lock_guard Lock(P->Mutex);
  const auto It = P->OpenLinks.find(P->State.sendSocket());
  if (P->Dropped || It == P->OpenLinks.end())
    return false;
  Message.set_seq(P->State.nextSeq());
  if (Message.to_incarnation() == 0)
    Message.set_to_incarnation(P->State.incarnation());
  MessageBus.send(It->second, std::move(Message));
  return true;
}

void PeerLinks::heartbeat(const std::string &Address) {
  const PeerPtr P = find(Address);
  if (!P)
    return;
  PeerLinkActions Actions;
  {
    std::lock_guard Lock(P->Mutex);
    Actions = P->State.heartbeat(Time.now());
  }
  execute(P, Actions);
}

bool PeerLinks::reachable(const std::string &Address) const {
  const PeerPtr P = find(Address);
  if (!P)
    return false;
  std::lock_guard Lock(P->Mutex);
  return P->State.reachable(Time.now());
}

std::uint64_t PeerLinks::incarnation(const std::string &Address) const {
  const PeerPtr P = find(Address);
  if (!P)
    return 0;
  std::lock_guard Lock(P->Mutex);
  return P->State.incarnation();
}

std::vector<std::string> PeerLinks::addresses() const {
  std::vector<std::string> Out;
  for (const PeerPtr &P : peers())
    Out.push_back(P->Address);
  return Out;
}

void PeerLinks::tick() {
  for (const PeerPtr &P : peers()) {
    PeerLinkActions Actions;
    {
      std::lock_guard Lock(P->Mutex);
      if (P->Dropped)
        continue;
      Actions = P->State.tick(Time.now());
      openSockets(P, Actions);
    }
    execute(P, Actions);
  }
}

void PeerLinks::receive(const BusSource &Source, wire::Envelope Message) {
  const auto [P, Socket] = findSocket(Source.Link);
  if (!P)
    return;
  std::optional<PeerLinkActions> Actions;
  {
    std::lock_guard Lock(P->Mutex);
    Actions = P->State.receive(Socket, Message, Time.now());
  }
  if (!Actions)
    return;
  execute(P, *Actions);
  if (Callbacks.OnMessage)
    Callbacks.OnMessage(P->Address, std::move(Message));
}

PeerLinks::PeerPtr PeerLinks::find(const std::string &Address) const {
  std::shared_lock Lock(Mutex);
  const auto It = Peers.find(Address);
  return It == Peers.end() ? nullptr : It->second;
}

std::pair<PeerLinks::PeerPtr, SocketId>
PeerLinks::findSocket(LinkId Link) const {
  std::shared_lock Lock(Mutex);
  const auto It = Links.find(Link);
  return It == Links.end() ? std::pair<PeerPtr, SocketId>{} : It->second;
}

std::vector<PeerLinks::PeerPtr> PeerLinks::peers() const {
  std::shared_lock Lock(Mutex);
  std::vector<PeerPtr> Out;
  Out.reserve(Peers.size());
  for (const auto &[Address, P] : Peers)
    Out.push_back(P);
  return Out;
}

/// Executes all actions except OpenSocket. Callers run openSockets()
/// beforehand, under the same lock as the state change, so that no message is
/// addressed to a socket that is not open yet.
void PeerLinks::execute(const PeerPtr &P, const PeerLinkActions &Actions) {
  for (const PeerLinkAction &Action : Actions) {
    if (const auto *Close = std::get_if<CloseSocket>(&Action)) {
      std::lock_guard Lock(P->Mutex);
      close(P, Close->Socket);
    } else if (const auto *Beat = std::get_if<SendHeartbeat>(&Action)) {
      sendHeartbeat(P, *Beat);
    } else if (std::holds_alternative<LinkSuspected>(Action)) {
      if (Callbacks.OnSuspected)
        Callbacks.OnSuspected(P->Address);
    } else if (std::holds_alternative<LinkReplaced>(Action)) {
      if (Callbacks.OnReplaced)
        Callbacks.OnReplaced(P->Address);
    } else if (const auto *Peer = std::get_if<NewIncarnation>(&Action)) {
      if (Callbacks.OnIncarnation)
        Callbacks.OnIncarnation(P->Address, Peer->Old, Peer->New);
    }
  }
}

void PeerLinks::openSockets(const PeerPtr &P, const PeerLinkActions &Actions) {
  for (const PeerLinkAction &Action : Actions) {
    const auto *Open = std::get_if<OpenSocket>(&Action);
    if (Open == nullptr)
      continue;
    const LinkId Link = MessageBus.openLink(P->Address);
    P->OpenLinks[Open->Socket] = Link;
    std::unique_lock Lock(Mutex);
    Links[Link] = {P, Open->Socket};
  }
}

void PeerLinks::close(const PeerPtr &P, SocketId Socket) {
  const auto It = P->OpenLinks.find(Socket);
  if (It == P->OpenLinks.end())
    return;
  MessageBus.closeLink(It->second);
  std::unique_lock Lock(Mutex);
  Links.erase(It->second);
  P->OpenLinks.erase(It);
}

void PeerLinks::sendHeartbeat(const PeerPtr &P, const SendHeartbeat &Action) {
  wire::Envelope Message;
  Message.set_seq(Action.Seq);
  *Message.mutable_heartbeat() = Callbacks.MakeHeartbeat
                                     ? Callbacks.MakeHeartbeat(P->Address)
                                     : wire::Heartbeat();
  std::lock_guard Lock(P->Mutex);
  const auto It = P->OpenLinks.find(Action.Socket);
  if (It != P->OpenLinks.end())
    MessageBus.send(It->second, std::move(Message));
}

} // namespace hyssoprail
