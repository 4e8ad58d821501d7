#ifndef HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP
#define HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "hyssoprail/connection/idle_connections.hpp"
#include "hyssoprail/connection/upstream_client.hpp"

namespace hyssoprail {

/// Returns 0 for a request without an id.
std::size_t hashOfId(const std::string &RequestId);

void setUpstreamOptions(boost::asio::ip::tcp::socket &Socket);

/// Sets after which time without an acknowledgement the connection fails.
/// \p BodyBytes and \p Timeout are those of the request that is sent next.
void setAcknowledgementLimit(ClientConnection &C, std::size_t BodyBytes,
                             std::chrono::milliseconds Timeout);

/// Returns how long a connection with this Keep-Alive header value
/// ("timeout=N") may stay idle and still be reused.
std::chrono::milliseconds reusableIdleTime(std::string_view KeepAlive);

/// What the requests in progress to one peer share.
struct PeerUse {
  bool Left = false; ///< the peer has left: its connections are not kept
};

/// The connections of an UpstreamClient that are not in use.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  explicit UpstreamPool(boost::asio::io_context &Context);

  /// Returns an idle connection on which no request with the id \p IdHash was
  /// sent; nullptr if there is none.
  ClientConnectionPtr take(const IdlePeer &Peer, std::size_t IdHash);

  ClientConnectionPtr create();

  void keep(const IdlePeer &Peer, ClientConnectionPtr C,
            std::chrono::milliseconds IdleTime);

  /// Returns the state that all requests in progress to \p Peer share. Each
  /// keeps the pointer until it ends.
  std::shared_ptr<PeerUse> use(const IdlePeer &Peer);

  /// Closes the idle connections to an incarnation and marks those in use to be
  /// closed after their request, except those to \p KeptAuthority.
  void closeIncarnation(const std::string &Incarnation,
                        const std::string &KeptAuthority);

  /// Closes the idle connections to a peer that has failed.
  void drop(const IdlePeer &Peer) { Idle->close(Peer); }

  std::size_t closeOldestIdle(std::size_t Count) {
    return Idle->closeOldest(Count);
  }

  IdleConnections &idle() { return *Idle; }

  boost::asio::io_context::executor_type executor() {
    return Context.get_executor();
  }

  /// Returns the counters, with the idle connections that peers sent on.
  UpstreamCounters counters() const;

  UpstreamCounters Counters;

private:
  void forget(const IdlePeer &Peer);

  boost::asio::io_context &Context;
  std::shared_ptr<IdleConnections> Idle;
  /// Peers to which requests are in progress.
  std::map<IdlePeer, std::weak_ptr<PeerUse>> Uses;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP
