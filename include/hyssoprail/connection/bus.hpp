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

/// Identifies a link, which is a ZeroMQ socket that this process opened to a
/// peer; never reused.
using LinkId = std::uint64_t;

/// Origin of a message: a link that this process opened, or the ZeroMQ routing
/// identity of a peer that opened a link to this process.
struct BusSource {
  LinkId Link = 0;      ///< 0 if the peer opened the link
  std::string Identity; ///< set if the peer opened the link
};

struct BusOptions {
  std::string Name;              ///< name of this process
  std::uint64_t Incarnation = 0; ///< random, non-zero, new at each start
  std::string BindAddress;       ///< "tcp://IP:PORT"; "" accepts no links
};

/// Message bus between processes over ZeroMQ sockets that one thread owns. All
/// send functions are thread-safe; the handler runs on the bus thread and must
/// not block. Delivery is not guaranteed: messages to an unreachable peer may
/// be dropped.
///
/// The bus fills in the envelope's sender, incarnation and send time. The
/// caller sets the sequence number, which is counted per destination.
class Bus {
public:
  using Handler =
      std::function<void(const BusSource &Source, wire::Envelope Message)>;

  virtual ~Bus() = default;

  /// Binds and starts the bus thread. Fails with Unavailable if the address
  /// cannot be bound.
  virtual Status start(Handler OnMessage) = 0;

  /// Closes all sockets and joins the bus thread.
  virtual void stop() = 0;

  /// Opens a link to "tcp://IP:PORT". Connects in the background.
  virtual LinkId openLink(const std::string &Address) = 0;

  /// Closes a link and drops the messages queued on it.
  virtual void closeLink(LinkId Link) = 0;

  /// Sends a message over a link that this process opened.
  virtual void send(LinkId Link, wire::Envelope Message) = 0;

  /// Sends a message to a peer that opened a link to this process.
  virtual void reply(const std::string &Identity, wire::Envelope Message) = 0;

  /// Sends a message to the origin of a received message.
  void replyTo(const BusSource &Source, wire::Envelope Message) {
    if (Source.Link != 0)
      send(Source.Link, std::move(Message));
    else
      reply(Source.Identity, std::move(Message));
  }

  /// Returns the bound address with the actual port.
  virtual std::string boundAddress() const = 0;

  /// Total bytes sent and received; checked against the budget for control
  /// traffic.
  virtual std::uint64_t bytesSent() const = 0;
  virtual std::uint64_t bytesReceived() const = 0;
};

std::unique_ptr<Bus> makeZmqBus(BusOptions Options, const Clock &Time);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_BUS_HPP
