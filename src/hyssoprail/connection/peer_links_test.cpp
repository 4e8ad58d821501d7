#include "hyssoprail/connection/peer_links.hpp"

#include <atomic>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "hyssoprail/testing/tcp_proxy.hpp"

namespace hyssoprail {
namespace {

using testing::waitUntil;

constexpr milliseconds HeartbeatInterval{50};
constexpr milliseconds SuspectAfter{200};

/// Peer that acks heartbeats and replies to each Cancel with Failed.
class EchoPeer {
public:
  explicit EchoPeer(std::uint64_t Incarnation,
                    const std::string &Address = "tcp://127.0.0.1:*")
      : MessageBus(makeZmqBus({"echo", Incarnation, Address}, Time)) {
    const Status Started = MessageBus->start(
        [this](const BusSource &From, const wire::Envelope &Message) {
          reply(From, Message);
        });
    REQUIRE(succeeded(Started));
  }

  ~EchoPeer() { MessageBus->stop(); }

  std::string address() const { return MessageBus->boundAddress(); }

  std::uint16_t port() const {
    const std::string Bound = address();
    return static_cast<std::uint16_t>(
        std::stoi(Bound.substr(Bound.rfind(':') + 1)));
  }

private:
  void reply(const BusSource &From, const wire::Envelope &Message) {
    wire::Envelope Reply;
    Reply.set_seq(++Seq);
    if (Message.has_heartbeat())
      Reply.mutable_heartbeat_ack()->set_acked_seq(Message.seq());
    else if (Message.has_cancel())
      *Reply.mutable_failed()->mutable_work() = Message.cancel().work();
    MessageBus->replyTo(From, std::move(Reply));
  }

  SteadyClock Time;
  std::unique_ptr<Bus> MessageBus;
  std::atomic<std::uint64_t> Seq{0};
};

/// Process that opens links, with a thread that calls tick().
class Opener {
public:
  /// \p LinkTime, or the running clock, decides when a link without acks is
  /// replaced.
  explicit Opener(const Clock *LinkTime = nullptr)
      : MessageBus(makeZmqBus({"opener", 1, ""}, RunningTime)) {
    PeerLinkOptions Options;
    Options.HeartbeatInterval = HeartbeatInterval;
    Options.SuspectAfter = SuspectAfter;
    Options.MaxReplaceBackoff = 2 * SuspectAfter;
    PeerLinksCallbacks Callbacks;
    Callbacks.OnMessage = [this](const std::string &, const auto &Message) {
      if (Message.has_failed())
        LastEcho = static_cast<unsigned>(Message.failed().work().attempt());
    };
    Callbacks.OnReplaced = [this](const std::string &) { ++Replaced; };
    Callbacks.OnIncarnation = [this](const std::string &, std::uint64_t Old,
                                     std::uint64_t New) {
      Incarnations[0] = Old;
      Incarnations[1] = New;
    };
    Links.emplace(*MessageBus, LinkTime ? *LinkTime : RunningTime, Options,
                  Callbacks);
    REQUIRE(succeeded(MessageBus->start(
        [this](const BusSource &From, wire::Envelope Message) {
          Links->receive(From, std::move(Message));
        })));
    Ticker = std::thread([this] {
      while (!Stopped) {
        Links->tick();
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  }

  ~Opener() {
    Stopped = true;
    Ticker.join();
    MessageBus->stop();
  }

  /// Sends \p Number to the peer and waits until it is returned.
  bool echo(const std::string &Address, unsigned Number) {
    wire::Envelope Message;
    Message.mutable_cancel()->mutable_work()->set_attempt(Number);
    Links->send(Address, Message);
    return waitUntil([&] { return LastEcho == Number; });
  }

  SteadyClock RunningTime;
  std::unique_ptr<Bus> MessageBus;
  std::optional<PeerLinks> Links;
  std::atomic<unsigned> LastEcho{0};
  std::atomic<unsigned> Replaced{0};
  std::array<std::atomic<std::uint64_t>, 2> Incarnations{};

private:
  std::atomic<bool> Stopped{false};
  std::thread Ticker;
};

} // namespace

// Guards against a link that stays unusable because its TCP connection is open
// but no longer forwards data, while new connections work.
TEST_CASE("a link whose connection stops forwarding is replaced in time") {
  EchoPeer Echo(11);
  testing::TcpProxy Proxy(Echo.port());
  const std::string Address = "tcp://127.0.0.1:" + std::to_string(Proxy.port());
  Opener Process;
  Process.Links->ensure(Address);
  REQUIRE(waitUntil([&] { return Process.Links->reachable(Address); }));
  REQUIRE(Process.echo(Address, 1));
  CHECK(Process.Links->incarnation(Address) == 11);
  CHECK(Process.Replaced == 0);

  for (unsigned Round = 1; Round <= 3; ++Round) {
    const auto Start = Process.RunningTime.now();
    Proxy.silenceOpen();
    REQUIRE(waitUntil([&] { return Process.Replaced == Round; }));
    REQUIRE(Process.echo(Address, Round + 1));
    const auto Elapsed = Process.RunningTime.now() - Start;
    // The suspect timeout, one heartbeat and one tick, plus a margin for a busy
    // machine.
    CHECK(Elapsed < SuspectAfter + HeartbeatInterval + milliseconds(500));
    CHECK(Process.Links->reachable(Address));
    CHECK(Proxy.accepted() == Round + 1);
  }
}

// Guards against messages to a terminated process that reach its successor
// unnoticed.
TEST_CASE("a restarted peer is reported as a new incarnation") {
  Opener Process;
  std::string Address;
  {
    EchoPeer First(11);
    Address = First.address();
    Process.Links->ensure(Address);
    REQUIRE(waitUntil([&] { return Process.Incarnations[1] == 11; }));
    CHECK(Process.Incarnations[0] == 0);
  }
  REQUIRE(waitUntil([&] { return !Process.Links->reachable(Address); }));
  EchoPeer Second(12, Address);
  REQUIRE(waitUntil([&] { return Process.Incarnations[1] == 12; }));
  CHECK(Process.Incarnations[0] == 11);
  CHECK(Process.echo(Address, 5));
}

// Guards against sockets that stay open after drop() and against a second link
// to the same destination.
TEST_CASE("a link is opened once and closed by drop()") {
  EchoPeer Echo(11);
  testing::TcpProxy Proxy(Echo.port());
  const std::string Address = "tcp://127.0.0.1:" + std::to_string(Proxy.port());
  // Without acks for SuspectAfter a second link would be opened on purpose.
  ManualClock Paused;
  Opener Process(&Paused);
  Process.Links->ensure(Address);
  Process.Links->ensure(Address);
  REQUIRE(waitUntil([&] { return Process.Links->reachable(Address); }));
  CHECK(Proxy.accepted() == 1);
  Process.Links->drop(Address);
  CHECK_FALSE(Process.Links->send(Address, wire::Envelope()));
  CHECK_FALSE(Process.Links->reachable(Address));
  CHECK(Process.Links->addresses().empty());
}

} // namespace hyssoprail
