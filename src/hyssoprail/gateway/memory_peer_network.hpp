#ifndef HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP
#define HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/gateway/peer_transport.hpp"

namespace hyssoprail::gateway::testing {

/// Delivers messages between entries in memory after a fixed delay. Links can
/// be cut.
class PeerNetwork {
public:
  explicit PeerNetwork(const Clock &Time) : Time(Time) {}

  /// One entry's access to the network. Its address is the entry's name.
  class Port : public PeerTransport {
  public:
    explicit Port(PeerNetwork &Network) : Network(Network) {}
    ~Port() override { Network.Handlers.erase(Address); }

    Status start(const std::string &NewAddress, Handler OnMessage) override {
      Address = NewAddress;
      Network.Handlers[Address] = std::move(OnMessage);
      return std::monostate{};
    }

    void send(const wire::CoordinationMessage &Message,
              const std::string &To) override {
      if (!Network.IsCut || !Network.IsCut(Address, To))
        Network.InTransit.push_back(
            {Network.Time.now() + Delay, To, Message.SerializeAsString()});
    }

  private:
    PeerNetwork &Network;
    std::string Address;
  };

  /// Messages between two entries for which \p Cut returns true are lost.
  void cut(std::function<bool(const std::string &, const std::string &)> Cut) {
    IsCut = std::move(Cut);
  }

  /// Delivers what is due. Messages to entries for which \p Runs returns false
  /// are lost.
  void deliver(const std::function<bool(const std::string &)> &Runs) {
    while (!InTransit.empty() && InTransit.front().At <= Time.now()) {
      const Datagram D = std::move(InTransit.front());
      InTransit.pop_front();
      const auto It = Handlers.find(D.To);
      wire::CoordinationMessage Message;
      if (It != Handlers.end() && Runs(D.To) &&
          Message.ParseFromString(D.Bytes))
        It->second(Message);
    }
  }

private:
  static constexpr milliseconds Delay{2};

  struct Datagram {
    TimePoint At;
    std::string To;
    std::string Bytes;
  };

  const Clock &Time;
  std::map<std::string, PeerTransport::Handler> Handlers;
  std::deque<Datagram> InTransit;
  std::function<bool(const std::string &, const std::string &)> IsCut;
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP
