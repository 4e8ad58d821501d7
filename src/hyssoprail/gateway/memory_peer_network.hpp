#ifndef HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP
#define HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/gateway/peer_transport.hpp"

namespace hyssoprail::gateway::testing {

/// Delivers messages between entries in memory after a fixed delay. Links can
/// be cut, and messages can wait until their receiver has time for them.
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

  /// Messages to \p Name wait from now on until deliverHeld().
  void hold(const std::string &Name) { Held.try_emplace(Name); }

  /// Delivers the messages that wait for \p Name.
  void deliverHeld(const std::string &Name) {
    for (const std::string &Bytes : std::exchange(Held.at(Name), {}))
      hand(Name, Bytes);
  }

  /// Delivers what is due. Messages to entries for which \p Runs returns false
  /// are lost.
  void deliver(const std::function<bool(const std::string &)> &Runs) {
    while (!InTransit.empty() && InTransit.front().At <= Time.now()) {
      const Datagram D = std::move(InTransit.front());
      InTransit.pop_front();
      const auto Waiting = Held.find(D.To);
      if (Waiting != Held.end())
        Waiting->second.push_back(D.Bytes);
      else if (Runs(D.To))
        hand(D.To, D.Bytes);
    }
  }

private:
  static constexpr milliseconds Delay{2};

  void hand(const std::string &To, const std::string &Bytes) {
    const auto It = Handlers.find(To);
    wire::CoordinationMessage Message;
    if (It != Handlers.end() && Message.ParseFromString(Bytes))
      It->second(Message);
  }

  struct Datagram {
    TimePoint At;
    std::string To;
    std::string Bytes;
  };

  const Clock &Time;
  std::map<std::string, PeerTransport::Handler> Handlers;
  std::deque<Datagram> InTransit;
  std::map<std::string, std::vector<std::string>> Held; ///< by receiver
  std::function<bool(const std::string &, const std::string &)> IsCut;
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_MEMORY_PEER_NETWORK_HPP
