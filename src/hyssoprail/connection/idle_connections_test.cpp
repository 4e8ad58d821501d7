#include "hyssoprail/connection/idle_connections.hpp"

#include <future>

#include <catch2/catch.hpp>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/echo_server.hpp"
#include "hyssoprail/connection/upstream_sender.hpp"
#include "hyssoprail/testing/descriptor_shortage.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::UpstreamSender;

/// Sends requests to incarnations of an endpoint, so that each leaves an idle
/// connection of its own.
class Incarnations {
public:
  UpstreamEnd send(const std::string &Incarnation,
                   const std::string &Target = "/") {
    UpstreamCall Call;
    Call.Authority = authority();
    Call.Incarnation = Incarnation;
    Call.Request = {"GET", Target, {{"Host", "h"}}, ""};
    Call.ConnectTimeout = std::chrono::seconds(2);
    return Sender.send(std::move(Call)).End;
  }

  void send(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      REQUIRE(send(std::to_string(I)) == UpstreamEnd::Complete);
  }

  /// Sends a request during which closeIdle() is called; returns its end.
  UpstreamEnd sendWhileLeaving(const std::string &Incarnation,
                               const std::string &Leaving,
                               const std::string &KeptAuthority) {
    auto Running = std::async(std::launch::async,
                              [&] { return send(Incarnation, "/held"); });
    const std::shared_ptr<HttpExchange> Held = Server.held();
    Sender.run([&] { Sender.client().closeIdle(Leaving, KeptAuthority); });
    Held->respond({200, {}, "held"});
    return Running.get();
  }

  std::size_t idle() {
    std::size_t Out = 0;
    Sender.run([&] { Out = Sender.client().idleConnections(); });
    return Out;
  }

  std::uint64_t connects() {
    std::uint64_t Out = 0;
    Sender.run([&] { Out = Sender.client().counters().Connects; });
    return Out;
  }

  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }

  UpstreamSender Sender;

private:
  EchoServer Server;
};

} // namespace

// Guards against idle connections to an endpoint that was removed or that has
// moved to another address.
TEST_CASE("idle connections to an incarnation that has left are closed") {
  Incarnations All;
  All.send(3);
  REQUIRE(All.idle() == 3);
  All.Sender.run([&] {
    UpstreamClient &Client = All.Sender.client();
    Client.closeIdle("0", All.authority());
    CHECK(Client.idleConnections() == 3);
    Client.closeIdle("0", "127.0.0.1:1");
    CHECK(Client.idleConnections() == 2);
    Client.closeIdle("1", "");
    CHECK(Client.idleConnections() == 1);
    Client.closeIdle("unknown", "");
    CHECK(Client.idleConnections() == 1);
  });
  const std::uint64_t Before = All.connects();
  CHECK(All.send("2") == UpstreamEnd::Complete);
  CHECK(All.connects() == Before);
  CHECK(All.send("0") == UpstreamEnd::Complete);
  CHECK(All.connects() == Before + 1);
}

// Guards against a connection that is kept, up to the end of its idle time,
// because the endpoint was removed while a request was in progress.
TEST_CASE("a connection in use is closed once its incarnation has left") {
  Incarnations All;
  CHECK(All.sendWhileLeaving("0", "0", "") == UpstreamEnd::Complete);
  CHECK(All.idle() == 0);
  CHECK(All.sendWhileLeaving("0", "0", "127.0.0.1:1") == UpstreamEnd::Complete);
  CHECK(All.idle() == 0);
  // One that stays, or comes back, keeps its connection.
  CHECK(All.sendWhileLeaving("0", "1", "") == UpstreamEnd::Complete);
  CHECK(All.idle() == 1);
  const std::uint64_t Before = All.connects();
  CHECK(All.sendWhileLeaving("0", "0", All.authority()) ==
        UpstreamEnd::Complete);
  CHECK(All.idle() == 1);
  CHECK(All.connects() == Before);
}

// Guards against a number of idle connections that nothing bounds, and against
// bounds that close the connections that were used last.
TEST_CASE("the idle connections that were unused for longest are closed") {
  Incarnations All;
  All.Sender.run([&] { All.Sender.client().setIdleBounds({2, 4}); });
  All.send(6);
  CHECK(All.idle() == 4);
  All.Sender.run([&] {
    CHECK(All.Sender.client().closeOldestIdle(2) == 2);
    CHECK(All.Sender.client().idleConnections() == 2);
  });
  const std::uint64_t Before = All.connects();
  CHECK(All.send("4") == UpstreamEnd::Complete);
  CHECK(All.send("5") == UpstreamEnd::Complete);
  CHECK(All.connects() == Before);
  All.Sender.run([&] {
    CHECK(All.Sender.client().closeOldestIdle(10) == 2);
    All.Sender.client().setIdleBounds({2, 0});
  });
  CHECK(All.send("6") == UpstreamEnd::Complete);
  CHECK(All.idle() == 0);
}

// Guards against requests that fail for lack of a descriptor while idle
// connections to other endpoints hold some.
TEST_CASE("a request takes the descriptor of an idle connection") {
  Incarnations All;
  All.send(8);
  const testing::DescriptorShortage Shortage;
  CHECK(All.send("new") == UpstreamEnd::Complete);
}

} // namespace hyssoprail
