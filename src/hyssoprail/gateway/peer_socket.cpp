#include "hyssoprail/gateway/peer_socket.hpp"

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "hyssoprail/connection/ip_port.hpp"

namespace hyssoprail::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/// Bounds the time that goes into datagrams before other events have a turn.
constexpr unsigned MaxDatagramsAtOnce = 1'024;

/// A shorter pause is not worth a timer.
constexpr milliseconds MinPause{2};

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

/// Datagrams are read at once, so that the buffer of the socket does not lose
/// them, and handed out when it is time for that.
void PeerSocket::receive() {
  Socket.async_wait(
      udp::socket::wait_read, [this](boost::system::error_code Code) {
        if (Code == asio::error::operation_aborted || !Socket.is_open())
          return;
        drain();
        receive();
        if (!Pausing)
          handOut();
      });
}

void PeerSocket::drain() {
  for (unsigned I = 0; I < MaxDatagramsAtOnce; ++I) {
    boost::system::error_code Code;
    const std::size_t Size = Socket.receive(asio::buffer(Buffer), 0, Code);
    if (Code == asio::error::would_block)
      return;
    if (Code)
      continue; // a datagram sent earlier was refused
    wire::CoordinationMessage Message;
    if (Message.ParseFromArray(Buffer.data(), static_cast<int>(Size)))
      store(std::move(Message));
    else
      ++Unreadable;
  }
}

/// The totals of accounts and calls are in some updates only, so the newest
/// update with totals is kept beside the newest one.
void PeerSocket::store(wire::CoordinationMessage Message) {
  const bool IsUpdate = Message.has_update();
  const std::string &Sender =
      IsUpdate ? Message.update().sender() : Message.report().sender();
  Arrived &Of = Newest[Sender];
  std::optional<wire::CoordinationMessage> &Kept =
      IsUpdate ? Of.Update : Of.Report;
  if (Kept && Kept->has_update() && Kept->update().has_totals())
    Of.Totals = std::move(Kept);
  else if (Kept)
    ++Superseded;
  Kept = std::move(Message);
}

/// What is handed out may take half of the processor at most: what it took is
/// left to other events before the next messages, so that the store and
/// endpoints are heard, too. What arrives meanwhile replaces what is older.
void PeerSocket::handOut() {
  const auto Start = std::chrono::steady_clock::now();
  for (const auto &[Sender, Of] : std::exchange(Newest, {})) {
    handle(Of.Report);
    if (Of.Update && !Of.Update->update().has_totals())
      handle(Of.Totals);
    handle(Of.Update);
  }
  const Duration Taken = std::chrono::steady_clock::now() - Start;
  if (Taken < MinPause)
    return;
  Pausing = true;
  Pause.expires_after(Taken);
  Pause.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    Pausing = false;
    handOut();
  });
}

void PeerSocket::handle(
    const std::optional<wire::CoordinationMessage> &Message) {
  if (!Message)
    return;
  try {
    OnMessage(*Message);
  } catch (const std::exception &E) {
    if (OnError)
      OnError(E.what());
  }
}

} // namespace hyssoprail::gateway
