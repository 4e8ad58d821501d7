#ifndef HYSSOPRAIL_CONNECTION_BUS_HPP
#define HYSSOPRAIL_CONNECTION_BUS_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Identifies a link that this process opened; never reused.
using LinkId = std::uint64_t;

/// Where a message came from: a link of this process, or the routing identity
/// of a process that opened a link to this one.
struct BusSource {
  LinkId Link = 0;      ///< 0 if the other side opened the link
  std::string Identity; ///< set if the other side opened the link
};

/// Settings of a bus.
struct BusOptions {
  std::string Name;              ///< this process's name
  std::uint64_t Incarnation = 0; ///< random, non-zero, new at each start
  std::string BindAddress;       ///< "tcp://IP:PORT", or "" for no server side
};

/// ZeroMQ sockets of a process, all owned by one thread. Sending may be called
/// from any thread; the handler runs on the bus thread and must not block.
/// Delivery is not guaranteed: messages to a peer that is gone are dropped.
///
/// The bus fills in the envelope's sender, incarnation and send time. The
/// sequence number is set by the caller, who knows the destination.
class Bus {
public:
  using Handler =
      std::function<void(const BusSource &Source, wire::Envelope Message)>;

  virtual ~Bus() = default;

  /// Binds and starts the thread. Fails with Unavailable if the address is in
  /// use.
  virtual Status start(Handler OnMessage) = 0;

  /// Closes all sockets and joins the thread.
  virtual void stop() = 0;

  /// Opens a link to "tcp://IP:PORT". Connecting goes on in the background.
  virtual LinkId openLink(const std::string &Address) = 0;

  /// Closes a link; messages still queued on it are dropped.
  virtual void closeLink(LinkId Link) = 0;

  /// Sends over a link that this process opened.
  virtual void send(LinkId Link, wire::Envelope Message) = 0;

  /// Answers a process that opened a link to this one.
  virtual void reply(const std::string &Identity, wire::Envelope Message) = 0;

  /// Sends to wherever a message came from.
  void replyTo(const BusSource &Source, wire::Envelope Message) {
    if (Source.Link != 0)
      send(Source.Link, std::move(Message));
    else
      reply(Source.Identity, std::move(Message));
  }

  /// Address that was bound, with the port filled in.
  virtual std::string boundAddress() const = 0;

  /// Bytes sent and received so far, for the control budget.
  virtual std::uint64_t bytesSent() const = 0;
  virtual std::uint64_t bytesReceived() const = 0;
};

/// Makes a bus over ZeroMQ.
std::unique_ptr<Bus> makeZmqBus(BusOptions Options, const Clock &Time);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_BUS_HPP
