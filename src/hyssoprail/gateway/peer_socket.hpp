#ifndef HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
#define HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP

#include <array>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::gateway {

/// Sends and receives coordination messages as UDP datagrams. Each message has
/// the complete state of its sender, so a lost one does no harm, and there is
/// no connection that could stall unnoticed.
class PeerSocket {
public:
  using Handler = std::function<void(const wire::CoordinationMessage &)>;

  PeerSocket(boost::asio::io_context &Context, Handler OnMessage);

  /// Binds to "IP:PORT". Fails with Unavailable.
  Status start(const std::string &Address);

  /// Sends to "IP:PORT". Failures are ignored, like lost datagrams.
  void send(const wire::CoordinationMessage &Message,
            const std::string &Address);

private:
  void receive();

  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  Handler OnMessage;
  std::string Datagram;
  std::array<char, 65'536> Buffer{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
