// How responses and connections of HttpServer end.
#include "echo_server.hpp"

#include <deque>
#include <thread>

#include <catch2/catch.hpp>

#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::get;
using testing::hasStatus;
using testing::RawSocket;
using testing::waitUntil;

} // namespace

// Guards against a worker of the tests that has crashed and still answers on a
// connection from before: its callers would take it for one that never crashed.
TEST_CASE("all connections can be closed while the server goes on") {
  EchoServer S;
  RawSocket Idle(S.port());
  Idle.send(get("/a"));
  Idle.readUntil("/a 0");
  RawSocket Busy(S.port());
  Busy.send(get("/held"));
  S.held();
  S.Server->closeConnections();
  CHECK(Idle.readAll().empty());
  CHECK(Busy.readAll().empty());
  RawSocket New(S.port());
  New.send(get("/b"));
  New.readUntil("/b 0");
}

// Guards against idle connections that are kept open forever.
TEST_CASE("an idle connection is closed after the idle timeout") {
  HttpServerOptions Options;
  Options.IdleTimeout = std::chrono::milliseconds(50);
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.send(get("/a"));
  CHECK(Client.readAll().ends_with("/a 0"));
}

// Guards against a kept connection that is closed under a request which its
// client sends within an idle timeout that has been raised meanwhile.
TEST_CASE("a raised idle timeout holds for connections that are idle") {
  HttpServerOptions Options;
  Options.IdleTimeout = std::chrono::milliseconds(200);
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.send(get("/a"));
  Client.readUntil("/a 0");
  S.Server->setLimits(4'096, 1'000, Options.ReadTimeout,
                      std::chrono::milliseconds(5'000));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  Client.send(get("/b"));
  CHECK(Client.readUntil("/b 0").ends_with("/b 0"));
}

// Guards against work that continues after the client has disconnected.
TEST_CASE("a disconnect is reported once, before or during the response") {
  for (const bool Streaming : {false, true}) {
    EchoServer S;
    RawSocket Client(S.port());
    Client.send(get("/held"));
    const auto Exchange = S.held();
    if (Streaming) {
      Exchange->begin(200, {});
      Exchange->write("first");
      Client.readUntil("first");
    }
    Client.close();
    CHECK(waitUntil([&] { return S.Disconnects == 1; }));
    CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; }));
    Exchange->write("late");
    Exchange->finish();
    Exchange->respond({});
    CHECK(S.Disconnects == 1);
  }
}

// Guards against an incomplete response that looks complete to the client.
TEST_CASE("an aborted response ends without its last chunk") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send(get("/held"));
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("part");
  const std::string Part = Client.readUntil("part\r\n");
  Exchange->abort();
  CHECK(Part.ends_with("4\r\npart\r\n"));
  CHECK(Client.readAll().empty());
}

// Guards against a connection that ends without a response, if the response is
// aborted before its beginning has been written.
TEST_CASE("a response that is aborted at once arrives as an incomplete one") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {{"X-Part", "1"}});
  Exchange->write("part");
  Exchange->abort();
  const std::string Received = Client.readAll();
  REQUIRE(Received.rfind("HTTP/1.1 200", 0) == 0);
  REQUIRE(Received.find("part") != std::string::npos);
  REQUIRE(Received.find("\r\n0\r\n") == std::string::npos);

  RawSocket Other(S.port());
  Other.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto NotBegun = S.held();
  NotBegun->abort();
  NotBegun->begin(200, {});
  REQUIRE(Other.readAll().empty());
}

// Guards against an aborted response that looks complete to an HTTP/1.0 client,
// for which the end of the connection is the end of the response.
TEST_CASE("an aborted response without chunks ends with a reset") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send("GET /held HTTP/1.0\r\nHost: a\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("part");
  Client.readUntil("part");
  Exchange->abort();
  Client.readAll();
  CHECK(Client.wasReset());
}

// Guards against a response without chunks that looks complete although it was
// cut off while its client read slowly: by an abort, by the time limit of a
// write, or because too much was unsent.
TEST_CASE("a write that fails in a response without chunks ends with a reset") {
  HttpServerOptions Options;
  Options.WriteTimeout = std::chrono::milliseconds(2'000);
  Options.MaxUnsentBytes = 64U << 20U;
  constexpr std::size_t Size = 12'000'000;
  const auto Cut = GENERATE(0, 1, 2);
  if (Cut == 1)
    Options.WriteTimeout = std::chrono::milliseconds(200);
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.setReceiveBuffer(64 * 1024);
  Client.send("GET /held HTTP/1.0\r\nHost: a\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write(std::string(Size, 'x'));
  REQUIRE(waitUntil([&] { return Exchange->unsentBytes() == 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  if (Cut == 0)
    Exchange->abort();
  if (Cut == 2)
    for (int I = 0; I < 7; ++I)
      Exchange->write(std::string(Size, 'x'));
  CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; }));
  CHECK(Client.readAll().size() < Size);
  CHECK(Client.wasReset());
}

// Guards against a complete response that is cut off by a late abort.
TEST_CASE("an abort after the end of a response has no effect") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send(get("/abort-late"));
  REQUIRE(Client.readUntil("\r\n0\r\n\r\n").ends_with("whole\r\n0\r\n\r\n"));
  Client.send(get("/abort-answered", "Connection: close\r\n"));
  REQUIRE(Client.readAll().ends_with("answer"));
}

// Guards against requests on connections that were in the listen backlog when a
// planned stop began: they used to be reset without a response.
TEST_CASE("a draining server serves connections in the listen backlog") {
  HttpServerOptions Options;
  Options.DrainGrace = std::chrono::milliseconds(500);
  EchoServer S(Options);
  std::deque<RawSocket> Clients;
  for (int I = 0; I < 20; ++I) {
    Clients.emplace_back(S.port());
    Clients.back().send(get("/echo"));
  }
  S.Server->drain();
  for (RawSocket &Client : Clients)
    CHECK(hasStatus(Client.readUntil("\r\n\r\n"), "200"));
}

// Guards against work that goes on for a client that was disconnected, because
// too much was unsent while no write was pending.
TEST_CASE("a disconnect for too much unsent data is reported") {
  HttpServerOptions Options;
  Options.MaxUnsentBytes = 100'000;
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.send(get("/overflow"));
  CHECK_FALSE(Client.readAll().ends_with("0\r\n\r\n"));
  CHECK(waitUntil([&] { return S.Disconnects == 1; }));
}

// Guards against work that goes on for a client that was disconnected, because
// its request was pipelined behind another one that was answered.
TEST_CASE("a disconnect of a pipelined request is reported") {
  HttpServerOptions Options;
  Options.MaxUnsentBytes = 100'000;
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.send(get("/a") + get("/held"));
  Client.readUntil("/a 0");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  CHECK(waitUntil(
      [&] {
        Exchange->write(std::string(50'000, 'x'));
        return S.Disconnects == 1;
      },
      std::chrono::seconds(3)));
}

// Guards against a planned stop that interrupts requests, including those that
// were in flight on an idle connection.
TEST_CASE("drain completes open requests and closes idle connections") {
  EchoServer S;
  RawSocket Busy(S.port());
  Busy.send(get("/held"));
  const auto Exchange = S.held();
  RawSocket Idle(S.port());
  Idle.send(get("/a"));
  Idle.readUntil("/a 0");
  S.Server->drain();
  Idle.send(get("/b"));
  const std::string Last = Idle.readAll();
  CHECK(Last.ends_with("/b 0"));
  CHECK(Last.find("Connection: close") != std::string::npos);
  CHECK(waitUntil([&] {
    try {
      RawSocket Late(S.port());
      return false;
    } catch (const boost::system::system_error &) {
      return true;
    }
  }));
  Exchange->respond({200, {}, "done"});
  CHECK(Busy.readAll().ends_with("done"));
  CHECK(S.Server->openExchanges() == 0);
}

// Guards against an exchange that uses its server after its destruction.
TEST_CASE("an exchange may outlive its server") {
  auto S = std::make_unique<EchoServer>();
  RawSocket Client(S->port());
  Client.send(get("/held"));
  const auto Exchange = S->held();
  S.reset();
  Exchange->begin(200, {});
  Exchange->write("x");
  Exchange->finish();
  CHECK(Client.readAll().empty());
}

} // namespace hyssoprail
