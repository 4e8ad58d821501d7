#include "echo_server.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::get;
using testing::hasStatus;
using testing::Post;
using testing::RawSocket;
using testing::waitUntil;

} // namespace

// Guards against invalid requests that reach the handler, and against ambiguous
// framing that a proxy and this server would interpret differently.
TEST_CASE("malformed requests get a 400") {
  EchoServer S;
  const std::vector<std::string> Requests = {
      "\r\n\r\nnonsense\r\n\r\n",
      "GET\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
      "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      Post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
      Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      Post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
  };
  for (const std::string &Request : Requests) {
    INFO(Request);
    RawSocket Client(S.port());
    Client.send(Request);
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, "400"));
    CHECK(Response.ends_with("invalid_request"));
  }
  CHECK(S.Requests == 0);
}

// Guards against a client that exhausts memory with headers or a body.
TEST_CASE("oversized headers and bodies get a 413") {
  EchoServer S;
  const std::string Endless(50'000, 'a');
  const std::vector<std::string> Requests = {
      "GET / HTTP/1.1\r\nX: " + Endless + "\r\n\r\n",
      "GET /" + Endless + " HTTP/1.1\r\n\r\n",
      Post + "Content-Length: 1001\r\n\r\n",
      Post + "Content-Length: 99999999999\r\nExpect: 100-continue\r\n\r\n",
      Post + "Transfer-Encoding: chunked\r\n\r\n9999\r\n" + Endless,
  };
  for (const std::string &Request : Requests) {
    INFO(Request.substr(0, 60));
    RawSocket Client(S.port());
    Client.send(Request);
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, "413"));
    CHECK(Response.ends_with("too_large"));
  }
  CHECK(S.Requests == 0);
}

// Guards against connections that a slow client keeps open forever, and against
// a timeout without a response.
TEST_CASE("a slow request gets a 408") {
  HttpServerOptions Options;
  Options.ReadTimeout = std::chrono::milliseconds(100);
  EchoServer S(Options);
  for (const std::string &Begin :
       {std::string("GET / HT"), Post + "Content-Length: 10\r\n\r\nabc"}) {
    RawSocket Client(S.port());
    Client.send(Begin);
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, "408"));
    CHECK(Response.ends_with("request_timeout"));
  }
  CHECK(S.Requests == 0);
}

// Guards against responses in the wrong order or lost requests on one
// connection.
TEST_CASE("pipelined and later requests get their responses in order") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send(get("/a") + get("/b") +
              "POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz");
  CHECK(Client.readUntil("/a 0").find("X-Echo: GET") != std::string::npos);
  Client.readUntil("/b 0");
  Client.readUntil("/c 3");
  Client.send(get("/d", "Connection: close\r\n"));
  const std::string Last = Client.readAll();
  CHECK(Last.ends_with("/d 0"));
  CHECK(Last.find("Connection: close") != std::string::npos);
  CHECK(S.Requests == 4);
}

// Guards against framing headers set by a handler that contradict the body.
TEST_CASE("the server writes the framing headers itself") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send(get("/a", "Connection: close\r\n"));
  const std::string Response = Client.readAll();
  CHECK(Response.find("Content-Length: 4") != std::string::npos);
  CHECK(Response.find("99") == std::string::npos);
}

// Guards against HTTP/1.0 clients that wait forever or get chunks, and against
// a body in the response to HEAD, which would corrupt the next response.
TEST_CASE("HTTP/1.0 and HEAD requests get valid responses") {
  EchoServer S;
  RawSocket Http10Client(S.port());
  Http10Client.send("GET /held HTTP/1.0\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("one ");
  Exchange->write("two");
  Exchange->finish();
  const std::string Response = Http10Client.readAll();
  CHECK(Response.find("chunked") == std::string::npos);
  CHECK(Response.ends_with("\r\n\r\none two"));

  RawSocket HeadClient(S.port());
  HeadClient.send("HEAD /a HTTP/1.1\r\n\r\n" +
                  get("/b", "Connection: close\r\n"));
  const std::string Responses = HeadClient.readAll();
  CHECK(Responses.find("/a 0") == std::string::npos);
  CHECK(Responses.ends_with("/b 0"));
}

// Guards against clients that wait for a 100 before they send their body.
TEST_CASE("Expect: 100-continue gets a 100 before the body") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK(hasStatus(Client.readUntil("\r\n\r\n"), "100"));
  Client.send("xy");
  CHECK(Client.readUntil("/a 2").ends_with("/a 2"));
}

// Guards against aborting a slow upload that makes progress, and against an
// upload that sends single bytes and never ends.
TEST_CASE("a request body may be slow if it keeps the minimum rate") {
  HttpServerOptions Options;
  Options.ReadTimeout = std::chrono::milliseconds(300);
  Options.MinBodyBytesPerSecond = 500;
  EchoServer S(Options);
  RawSocket SlowClient(S.port());
  SlowClient.send(Post + "Content-Length: 1000\r\n\r\n");
  for (int I = 0; I < 10; ++I) {
    SlowClient.send(std::string(100, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(hasStatus(SlowClient.readUntil("\r\n\r\n"), "200"));
  RawSocket StalledClient(S.port());
  StalledClient.send(Post + "Content-Length: 1000\r\n\r\n");
  const auto Begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Begin < std::chrono::seconds(1) &&
         StalledClient.send("x"))
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(hasStatus(StalledClient.readAll(), "408"));
}

// Guards against aborting the stream of a slow client that makes progress, and
// against a client that reads single bytes and blocks its endpoint forever.
TEST_CASE("a response may be slow if its client keeps the minimum rate") {
  HttpServerOptions Options;
  Options.WriteTimeout = std::chrono::milliseconds(400);
  Options.MinWriteBytesPerSecond = 200'000;
  Options.MaxUnsentBytes = 64U << 20U;
  EchoServer S(Options);
  constexpr std::size_t Size = 12'000'000;
  const auto Begin = [&](RawSocket &Client) {
    Client.setReceiveBuffer(64 * 1024);
    Client.send(get("/held"));
    const auto Exchange = S.held();
    Exchange->begin(200, {});
    Exchange->write(std::string(Size, 'x'));
    Exchange->finish();
  };
  RawSocket SlowClient(S.port());
  Begin(SlowClient);
  std::size_t Received = 0;
  while (Received < Size) {
    const std::size_t Part = SlowClient.readExactly(600'000).size();
    if (Part == 0)
      break;
    Received += Part;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(Received >= Size);
  RawSocket StalledClient(S.port());
  Begin(StalledClient);
  CHECK(waitUntil(
      [&] {
        StalledClient.readExactly(1);
        return S.Disconnects == 1;
      },
      std::chrono::milliseconds(8'000)));
}

// Guards against a client that exhausts memory by not reading.
TEST_CASE("a client that does not read is disconnected") {
  HttpServerOptions Options;
  Options.MaxUnsentBytes = 100'000;
  EchoServer S(Options);
  RawSocket Client(S.port());
  Client.send(get("/held"));
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  CHECK(waitUntil([&] {
    Exchange->write(std::string(50'000, 'x'));
    return S.Disconnects == 1;
  }));
  CHECK(Exchange->unsentBytes() <= 150'000);
}

// Guards against an exception of a handler that ends the program or leaves the
// client without a response.
TEST_CASE("a handler that throws yields a 500") {
  EchoServer S;
  RawSocket Client(S.port());
  Client.send(get("/throw") + get("/a", "Connection: close\r\n"));
  const std::string Response = Client.readAll();
  CHECK(hasStatus(Response, "500"));
  CHECK(Response.ends_with("/a 0"));
}

// Guards against crashes and hangs on malicious input: for any input, the
// server responds with a status line or closes the connection, and serves
// others.
TEST_CASE("random bytes get a response or the connection is closed") {
  EchoServer S;
  const auto Piece = rc::gen::element<std::string>(
      "GET ", "POST ", "/", "/a?b=%00", " HTTP/1.1", " HTTP/1.0", "\r\n",
      "\r\n\r\n", "Host: x", "Content-Length: ", "5", "-1",
      "99999999999999999999", "Transfer-Encoding: chunked", "0", "ffffffff",
      ";x=y", "Expect: 100-continue", "Connection: upgrade", ":", "\t",
      std::string(1, '\0'), "\xff\xfe", "abcde", "HEAD ", "PRI * HTTP/2.0");
  const bool Passed = rc::check([&] {
    const auto Pieces = *rc::gen::container<std::vector<std::string>>(Piece);
    const auto Noise = *rc::gen::arbitrary<std::string>();
    std::string Request;
    for (const std::string &P : Pieces)
      Request += P;
    RawSocket Client(S.port());
    Client.send(Request + Noise);
    Client.finishSending();
    const std::string Response = Client.readAll();
    RC_ASSERT(Response.empty() || Response.starts_with("HTTP/1."));
    RawSocket Other(S.port());
    Other.send(get("/ok", "Connection: close\r\n"));
    RC_ASSERT(Other.readAll().ends_with("/ok 0"));
  });
  CHECK(Passed);
  CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; }));
}

} // namespace hyssoprail
