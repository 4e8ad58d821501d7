#ifndef HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
#define HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP

#include <array>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "hyssoprail/gateway/peer_transport.hpp"

namespace hyssoprail::gateway {

/// Sends and receives coordination messages as UDP datagrams: there is no
/// connection that could stall unnoticed.
class PeerSocket : public PeerTransport {
public:
  explicit PeerSocket(boost::asio::io_context &Context) : Socket(Context) {}

  // PeerTransport
  Status start(const std::string &Address, Handler OnMessage) override;
  void send(const wire::CoordinationMessage &Message,
            const std::string &Address) override;

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
