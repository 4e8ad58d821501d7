#ifndef HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
#define HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/gateway/peer_transport.hpp"

namespace hyssoprail::gateway {

/// Sends and receives coordination messages as UDP datagrams: there is no
/// connection that could stall unnoticed. Takes all datagrams that have arrived
/// at once and hands out the newest message of each sender, as each message has
/// the complete state: an entry that is short of time must not fall behind.
class PeerSocket : public PeerTransport {
public:
  /// Called with the text of an exception that the handler of a message threw.
  using ErrorHandler = std::function<void(std::string_view Why)>;

  explicit PeerSocket(boost::asio::io_context &Context,
                      ErrorHandler OnError = nullptr)
      : Socket(Context), Pause(Context), OnError(std::move(OnError)) {}

  // PeerTransport
  Status start(const std::string &Address, Handler OnMessage) override;
  void send(const wire::CoordinationMessage &Message,
            const std::string &Address) override;

  /// Number of datagrams that were no valid message.
  std::uint64_t unreadable() const { return Unreadable; }

  /// Number of messages that were not handed out, as a newer one of the same
  /// sender had arrived.
  std::uint64_t superseded() const { return Superseded; }

private:
  /// Messages of one sender that have arrived together. A newer one replaces
  /// an older one of its kind.
  struct Arrived {
    std::optional<wire::CoordinationMessage> Report;
    std::optional<wire::CoordinationMessage> Totals; ///< update with totals
    std::optional<wire::CoordinationMessage> Update;
  };

  void receive();
  void drain();
  void store(wire::CoordinationMessage Message);
  void handOut();
  void handle(const std::optional<wire::CoordinationMessage> &Message);

  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Pause; ///< between two times of handing out
  bool Pausing = false;
  ErrorHandler OnError;
  Handler OnMessage;
  std::map<std::string, Arrived> Newest; ///< not handed out yet, by sender
  std::uint64_t Unreadable = 0;
  std::uint64_t Superseded = 0;
  std::string Datagram;
  std::array<char, 65'536> Buffer{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_PEER_SOCKET_HPP
