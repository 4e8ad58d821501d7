#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <zmq.hpp>

#include "hyssoprail/connection/peer_links.hpp"
#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail {
namespace {

using testing::waitUntil;

/// A bus that counts the messages of its handler, and a raw ZeroMQ socket
/// connected to it.
class HostileSender {
public:
  HostileSender()
      : MessageBus(makeZmqBus({"bus", 1, "tcp://127.0.0.1:*"}, Time)) {
    REQUIRE(succeeded(MessageBus->start(
        [this](const BusSource &From, const wire::Envelope &Message) {
          {
            std::lock_guard Lock(Mutex);
            Identities.insert(From.Identity);
          }
          if (Message.seq() == Marker)
            ++MarkedReceived;
          MessageBus->replyTo(From, wire::Envelope());
        })));
    Socket.set(zmq::sockopt::linger, 0);
    Socket.set(zmq::sockopt::rcvtimeo, 10'000);
    Socket.connect(MessageBus->boundAddress());
  }

  ~HostileSender() { MessageBus->stop(); }

  void send(const std::string &Data, bool More = false) {
    Socket.send(zmq::buffer(Data),
                More ? zmq::send_flags::sndmore : zmq::send_flags::none);
  }

  /// Returns true if the bus still delivers a valid message.
  bool works() {
    const unsigned Before = MarkedReceived;
    wire::Envelope Good;
    Good.set_seq(Marker);
    send(Good.SerializeAsString());
    return waitUntil([&] { return MarkedReceived == Before + 1; });
  }

  std::size_t identityCount() {
    std::lock_guard Lock(Mutex);
    return Identities.size();
  }

private:
  static constexpr std::uint64_t Marker = 0x1234567;

  SteadyClock Time;
  std::unique_ptr<Bus> MessageBus;
  std::mutex Mutex;
  std::set<std::string> Identities;
  std::atomic<unsigned> MarkedReceived{0};
  zmq::context_t Context;
  zmq::socket_t Socket{Context, zmq::socket_type::dealer};
};

/// Returns an envelope with many nested fields.
std::string sampleEnvelope() {
  wire::Envelope E;
  E.set_sender("entry");
  E.set_incarnation(1);
  E.set_seq(2);
  wire::ConfigSnapshot &Snapshot = *E.mutable_config_snapshot();
  for (int I = 0; I < 3; ++I) {
    wire::Object &O = *Snapshot.mutable_state()->add_objects();
    O.mutable_vm()->set_name("vm" + std::to_string(I));
    (*O.mutable_vm()->mutable_labels())["disk"] = "ssd";
    Snapshot.mutable_state()->add_owners()->set_epoch(9);
  }
  return E.SerializeAsString();
}

} // namespace

// Guards against a crash or a blocked bus thread on truncated, altered or
// random messages from an unknown peer.
TEST_CASE("the bus survives malformed messages") {
  HostileSender Sender;
  const std::string Sample = sampleEnvelope();
  CHECK(rc::check([&](const std::string &Noise, std::size_t Cut,
                      const std::vector<std::size_t> &Positions) {
    Sender.send(Noise);
    Sender.send(Sample.substr(0, Cut % Sample.size()));
    std::string Altered = Sample;
    for (const std::size_t Position : Positions)
      Altered[Position % Altered.size()] ^=
          static_cast<char>(1 + Position % 255);
    Sender.send(Altered);
    RC_ASSERT(Sender.works());
  }));
}

// Guards against a peer that impersonates another peer by appending parts to a
// message.
TEST_CASE("further parts of a message are not taken for a sender identity") {
  HostileSender Sender;
  REQUIRE(Sender.works());
  const std::string Sample = sampleEnvelope();
  Sender.send(Sample, true);
  Sender.send("victim", true);
  Sender.send(Sample);
  CHECK(Sender.works());
  CHECK(Sender.identityCount() == 1);
}

namespace {

/// A bus without sockets that tracks its open links.
class CountingBus : public Bus {
public:
  Status start(Handler) override { return std::monostate{}; }
  void stop() override {}
  LinkId openLink(const std::string &) override {
    Open.insert(++LastLink);
    return LastLink;
  }
  void closeLink(LinkId Link) override { Open.erase(Link); }
  void send(LinkId Link, wire::Envelope Message) override {
    RC_ASSERT(Open.contains(Link));
    RC_ASSERT(Message.seq() > LastSeq);
    LastSeq = Message.seq();
  }
  void reply(const std::string &, wire::Envelope) override {}
  std::string boundAddress() const override { return {}; }
  std::uint64_t bytesSent() const override { return 0; }
  std::uint64_t bytesReceived() const override { return 0; }

  std::set<LinkId> Open;
  LinkId LastLink = 0;
  std::uint64_t LastSeq = 0;
};

} // namespace

// Acks for heartbeats that were never sent, unknown links and incarnation 0
// must not make a peer reachable or leak sockets.
TEST_CASE("links survive messages with arbitrary fields") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Bytes) {
    ManualClock Clock;
    CountingBus MessageBus;
    PeerLinks Links(MessageBus, Clock, PeerLinkOptions{}, PeerLinksCallbacks{});
    Links.ensure("tcp://a");
    for (const std::uint8_t B : Bytes) {
      wire::Envelope Message;
      Message.set_incarnation(B % 4);
      // No heartbeat gets this sequence number, so none is ever acked.
      Message.mutable_heartbeat_ack()->set_acked_seq(1'000'000U + B);
      Links.receive({LinkId{1U + B % 7U}, ""}, Message);
      Clock.advance(milliseconds(B * 4));
      Links.tick();
      RC_ASSERT(!Links.reachable("tcp://a"));
      RC_ASSERT(!MessageBus.Open.empty() && MessageBus.Open.size() <= 2U);
    }
    Links.drop("tcp://a");
    RC_ASSERT(MessageBus.Open.empty());
  }));
}

// Guards against a crash of the platform client, or an invented record, on a
// response of arbitrary JSON or random bytes.
TEST_CASE("random responses of the platform yield typed errors") {
  std::string Body;
  testing::EmulatorServer S(
      [&](const auto &E) { E->respond(jsonResponse(200, Body)); });
  REQUIRE(S.start());
  testing::TestClient Client;
  PlatformClient Platform(Client.client(), S.authority());
  const auto Piece = rc::gen::element<std::string>(
      "{", "}", "[", "]", ":", ",", "\"first\"", "\"end\"", "\"records\"",
      "\"offset\"", "\"record\"", "1", "-1", "1e400", "18446744073709551616",
      "null", "\"YQ==\"", "\"=\"", "\"\\ud800\"", "\xff", std::string(1, '\0'));
  CHECK(rc::check([&] {
    Body.clear();
    for (const std::string &P :
         *rc::gen::container<std::vector<std::string>>(Piece))
      Body += P;
    std::promise<Result<LogBatch>> Done;
    boost::asio::post(Client.context(), [&] {
      Platform.read(0, 1, milliseconds(0),
                    [&](Result<LogBatch> R) { Done.set_value(std::move(R)); });
    });
    const Result<LogBatch> R = Done.get_future().get();
    RC_ASSERT(succeeded(R) || errorOf(R)->Kind == ErrorKind::UpstreamFailed);
  }));
}

} // namespace hyssoprail
