#ifndef HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP
#define HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP

#include <chrono>
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

/// Returns how long a connection with this Keep-Alive header value
/// ("timeout=N") may stay idle and still be reused.
std::chrono::milliseconds reusableIdleTime(std::string_view KeepAlive);

/// The connections of an UpstreamClient that are not in use.
class UpstreamPool {
public:
  explicit UpstreamPool(boost::asio::io_context &Context);

  /// Returns an idle connection on which no request with the id \p IdHash was
  /// sent; nullptr if there is none.
  ClientConnectionPtr take(const IdlePeer &Peer, std::size_t IdHash);

  ClientConnectionPtr create();

  void keep(const IdlePeer &Peer, ClientConnectionPtr C,
            std::chrono::milliseconds IdleTime);

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
  boost::asio::io_context &Context;
  std::shared_ptr<IdleConnections> Idle;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_UPSTREAM_POOL_HPP
