#ifndef HYSSOPRAIL_CONNECTION_IDLE_CONNECTIONS_HPP
#define HYSSOPRAIL_CONNECTION_IDLE_CONNECTIONS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/client_connection.hpp"
#include "hyssoprail/connection/idle_bounds.hpp"

namespace hyssoprail {

/// What an idle connection leads to.
struct IdlePeer {
  std::string Incarnation; ///< empty if it does not matter
  std::string Authority;   ///< "IP:PORT"

  bool operator<(const IdlePeer &Other) const {
    return std::tie(Incarnation, Authority) <
           std::tie(Other.Incarnation, Other.Authority);
  }
};

/// Idle connections of a client, for further requests to the same peers. One is
/// closed when its time is over or when the bounds require it, the one that was
/// unused for longest first. Used on the thread of the io_context.
class IdleConnections : public std::enable_shared_from_this<IdleConnections> {
public:
  /// When connections are closed that the peer closed or whose time is over.
  enum class Watch {
    /// At once, or within a second; needs a running event loop.
    Always,
    /// When the client is used again, so that nothing is left for an event loop
    /// to wait for.
    OnUse,
  };

  IdleConnections(boost::asio::io_context &Context, IdleBounds Bounds,
                  Watch Kind);

  void setBounds(IdleBounds Next);

  /// Returns an idle connection to \p Peer for which \p Suits returns true, the
  /// most recently used first; nullptr if there is none.
  using Filter = std::function<bool(const ClientConnection &)>;
  ClientConnectionPtr take(const IdlePeer &Peer, const Filter &Suits = {});

  /// Keeps the connection for up to \p IdleTime.
  void keep(const IdlePeer &Peer, ClientConnectionPtr Connection,
            std::chrono::milliseconds IdleTime);

  /// Closes the idle connections to \p Peer.
  void close(const IdlePeer &Peer);

  /// Closes the idle connections to an incarnation, but those to \p
  /// KeptAuthority.
  void closeIncarnation(const std::string &Incarnation,
                        const std::string &KeptAuthority = "");

  /// Closes the \p Count connections that were unused for longest; returns how
  /// many there were.
  std::size_t closeOldest(std::size_t Count);

  std::size_t size() const { return Entries.size(); }

  /// Connections that were closed because data arrived while they were idle.
  std::uint64_t strayData() const { return StrayData; }

private:
  /// Entries are numbered in the order in which they became idle.
  using Number = std::uint64_t;

  struct Entry {
    IdlePeer Peer;
    ClientConnectionPtr Connection;
  };

  ClientConnectionPtr remove(std::map<Number, Entry>::iterator It);
  void closeEntry(std::map<Number, Entry>::iterator It);
  void closeEntry(Number N);
  void applyBounds();
  void sweep();
  void armSweep();
  void watch(Number N);
  bool isQuiet(ClientConnection &C);

  boost::asio::steady_timer SweepTimer;
  IdleBounds Bounds;
  const Watch Kind;
  std::map<Number, Entry> Entries;
  std::map<IdlePeer, std::vector<Number>> ByPeer;
  Number NextNumber = 1;
  std::chrono::steady_clock::time_point NextSweep;
  bool SweepPending = false;
  std::uint64_t StrayData = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_IDLE_CONNECTIONS_HPP
