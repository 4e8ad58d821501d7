#ifndef HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
#define HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "hyssoprail/gateway/peer_transport.hpp"

namespace hyssoprail::gateway {

/// Sends and receives coordination messages as UDP datagrams: there is no
/// connection that could stall unnoticed.
class PeerSocket : public PeerTransport {
public:
  /// Called with the text of an exception that the handler of a message threw.
  using ErrorHandler = std::function<void(std::string_view Why)>;

  explicit PeerSocket(boost::asio::io_context &Context,
                      ErrorHandler OnError = nullptr)
      : Socket(Context), OnError(std::move(OnError)) {}

  // PeerTransport
  Status start(const std::string &Address, Handler OnMessage) override;
  void send(const wire::CoordinationMessage &Message,
            const std::string &Address) override;

  /// Number of datagrams that were no valid message.
  std::uint64_t unreadable() const { return Unreadable; }

private:
  void receive();
  void handle(const wire::CoordinationMessage &Message);

  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  ErrorHandler OnError;
  Handler OnMessage;
  std::uint64_t Unreadable = 0;
  std::string Datagram;
  std::array<char, 65'536> Buffer{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
