#include "hyssoprail/gateway/peer_socket.hpp"

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "hyssoprail/connection/ip_port.hpp"

namespace hyssoprail::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

std::optional<udp::endpoint> parseEndpoint(const std::string &Address) {
  const auto Parsed = parseIpPort(Address);
  if (!Parsed)
    return std::nullopt;
  return udp::endpoint(Parsed->Ip, Parsed->Port);
}

} // namespace

Status PeerSocket::start(const std::string &Address, Handler NewHandler) {
  OnMessage = std::move(NewHandler);
  const auto Endpoint = parseEndpoint(Address);
  boost::system::error_code Code = asio::error::invalid_argument;
  if (Endpoint) {
    Socket.open(Endpoint->protocol(), Code);
    if (!Code)
      Socket.bind(*Endpoint, Code);
    if (!Code)
      Socket.non_blocking(true, Code);
  }
  if (Code)
    return Error{ErrorKind::Unavailable,
                 "cannot receive datagrams on " + Address + ": " +
                     Code.message(),
                 "choose an address of this VM and a free port",
                 "peer_address",
                 {}};
  receive();
  return std::monostate{};
}

void PeerSocket::send(const wire::CoordinationMessage &Message,
                      const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint || !Message.SerializeToString(&Datagram))
    return;
  boost::system::error_code Ignored;
  Socket.send_to(asio::buffer(Datagram), *Endpoint, 0, Ignored);
}

void PeerSocket::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this](boost::system::error_code Code, std::size_t Size) {
        if (Code == asio::error::operation_aborted || !Socket.is_open())
          return;
        wire::CoordinationMessage Message;
        const bool Valid = !Code && Message.ParseFromArray(
                                        Buffer.data(), static_cast<int>(Size));
        // Before the handler runs: an exception must not end the receiving.
        receive();
        if (Valid)
          handle(Message);
        else if (!Code)
          ++Unreadable;
      });
}

void PeerSocket::handle(const wire::CoordinationMessage &Message) {
  try {
    OnMessage(Message);
  } catch (const std::exception &E) {
    if (OnError)
      OnError(E.what());
  }
}

} // namespace hyssoprail::gateway
