#ifndef HYSSOPRAIL_GATEWAY_PEER_TRANSPORT_HPP
#define HYSSOPRAIL_GATEWAY_PEER_TRANSPORT_HPP

#include <functional>
#include <string>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::gateway {

/// Carries coordination messages between entries. Each message has the complete
/// state of its sender, so it may be lost, late or repeated.
class PeerTransport {
public:
  using Handler = std::function<void(const wire::CoordinationMessage &)>;

  virtual ~PeerTransport() = default;

  /// Begins to receive messages at "IP:PORT". Fails with Unavailable.
  virtual Status start(const std::string &Address, Handler OnMessage) = 0;

  /// Sends to "IP:PORT". Failures are ignored, like lost messages.
  virtual void send(const wire::CoordinationMessage &Message,
                    const std::string &Address) = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_PEER_TRANSPORT_HPP
