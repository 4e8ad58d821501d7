#include "hyssoprail/connection/idle_connections.hpp"

#include <utility>

#include <boost/asio.hpp>

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds SweepInterval{1'000};

} // namespace

IdleConnections::IdleConnections(asio::io_context &Context, IdleBounds Bounds,
                                 Watch Kind)
    : SweepTimer(Context), Bounds(Bounds), Kind(Kind),
      NextSweep(Clock::now() + SweepInterval) {}

void IdleConnections::setBounds(IdleBounds Next) {
  Bounds = Next;
  applyBounds();
}

ClientConnectionPtr IdleConnections::take(const IdlePeer &Peer,
                                          const Filter &Suits) {
  if (Kind == Watch::OnUse && Clock::now() >= NextSweep)
    sweep();
  const auto Found = ByPeer.find(Peer);
  if (Found == ByPeer.end())
    return nullptr;
  const std::vector<Number> Numbers = Found->second;
  for (auto N = Numbers.rbegin(); N != Numbers.rend(); ++N) {
    const auto It = Entries.find(*N);
    if (Suits && !Suits(*It->second.Connection))
      continue;
    ClientConnectionPtr C = remove(It);
    boost::system::error_code Ignored;
    C->Stream.socket().cancel(Ignored); // ends watch()
    if (Clock::now() <= C->UsableUntil && isQuiet(*C))
      return C;
  }
  return nullptr;
}

void IdleConnections::keep(const IdlePeer &Peer, ClientConnectionPtr Connection,
                           std::chrono::milliseconds IdleTime) {
  if (IdleTime <= std::chrono::milliseconds(0))
    return;
  Connection->Stream.expires_never();
  Connection->UsableUntil = Clock::now() + IdleTime;
  const Number N = NextNumber++;
  Entries.emplace(N, Entry{Peer, std::move(Connection)});
  std::vector<Number> &Numbers = ByPeer[Peer];
  Numbers.push_back(N);
  if (Numbers.size() > Bounds.PerPeer)
    closeEntry(Numbers.front());
  applyBounds();
  if (Kind == Watch::Always) {
    watch(N);
    armSweep();
  } else if (Clock::now() >= NextSweep) {
    sweep();
  }
}

void IdleConnections::close(const IdlePeer &Peer) {
  const auto Found = ByPeer.find(Peer);
  if (Found == ByPeer.end())
    return;
  const std::vector<Number> Numbers = Found->second;
  for (const Number N : Numbers)
    closeEntry(N);
}

void IdleConnections::closeIncarnation(const std::string &Incarnation,
                                       const std::string &KeptAuthority) {
  std::vector<IdlePeer> Peers;
  for (auto It = ByPeer.lower_bound({Incarnation, ""});
       It != ByPeer.end() && It->first.Incarnation == Incarnation; ++It)
    if (It->first.Authority != KeptAuthority)
      Peers.push_back(It->first);
  for (const IdlePeer &Peer : Peers)
    close(Peer);
}

std::size_t IdleConnections::closeOldest(std::size_t Count) {
  std::size_t Closed = 0;
  for (; Closed < Count && !Entries.empty(); ++Closed)
    closeEntry(Entries.begin());
  return Closed;
}

ClientConnectionPtr
IdleConnections::remove(std::map<Number, Entry>::iterator It) {
  const auto Found = ByPeer.find(It->second.Peer);
  std::erase(Found->second, It->first);
  if (Found->second.empty())
    ByPeer.erase(Found);
  ClientConnectionPtr C = std::move(It->second.Connection);
  Entries.erase(It);
  return C;
}

void IdleConnections::closeEntry(std::map<Number, Entry>::iterator It) {
  remove(It)->Stream.close();
}

void IdleConnections::closeEntry(Number N) {
  if (const auto It = Entries.find(N); It != Entries.end())
    closeEntry(It);
}

void IdleConnections::applyBounds() {
  if (Entries.size() > Bounds.Total)
    closeOldest(Entries.size() - Bounds.Total);
}

/// Closes the connections whose time is over or that the peer has closed.
void IdleConnections::sweep() {
  const auto Now = Clock::now();
  NextSweep = Now + SweepInterval;
  for (auto It = Entries.begin(); It != Entries.end();) {
    const auto Present = It++;
    ClientConnection &C = *Present->second.Connection;
    if (Now > C.UsableUntil || !isQuiet(C))
      closeEntry(Present);
  }
}

void IdleConnections::armSweep() {
  if (std::exchange(SweepPending, true))
    return;
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Code) {
        const auto Self = Weak.lock();
        if (Code || !Self)
          return;
        Self->SweepPending = false;
        Self->sweep();
        if (!Self->Entries.empty())
          Self->armSweep();
      });
}

/// Closes the connection when the peer closes it or sends on it. What a peer
/// sends while nothing was asked would fill the kernel's buffers.
void IdleConnections::watch(Number N) {
  const auto Found = Entries.find(N);
  if (Found == Entries.end()) // closed by the bounds
    return;
  Found->second.Connection->Stream.socket().async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this(), N](boost::system::error_code Code) {
        const auto Self = Weak.lock();
        if (Code || !Self)
          return;
        const auto It = Self->Entries.find(N);
        if (It == Self->Entries.end())
          return;
        if (Self->isQuiet(*It->second.Connection))
          Self->watch(N);
        else
          Self->closeEntry(It);
      });
}

/// Returns false if the peer closed the connection or sent data that belongs to
/// no request.
bool IdleConnections::isQuiet(ClientConnection &C) {
  char Byte = 0;
  boost::system::error_code Code;
  C.Stream.socket().non_blocking(true, Code);
  C.Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                            Code);
  if (!Code)
    ++StrayData;
  return Code == asio::error::would_block;
}

} // namespace hyssoprail
