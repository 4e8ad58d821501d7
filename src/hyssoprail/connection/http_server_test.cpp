#include "hyssoprail/connection/http_server.hpp"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/testing/http_fixture.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::RawSocket;
using testing::waitUntil;

/// A server whose answers are the request's method, target and body size, and
/// whose path /held keeps the exchange for the test.
class EchoServer {
public:
  explicit EchoServer(HttpServerOptions Options = {})
      : Server(makeHttpServer(withErrors(std::move(Options)),
                              [this](const auto &E) { handle(E); })) {
    REQUIRE(succeeded(Server->start()));
  }

  static HttpServerOptions withErrors(HttpServerOptions Options) {
    Options.MaxHeaderBytes = 4096;
    Options.MaxBodyBytes = 1000;
    Options.ErrorResponse = [](const Error &E) {
      return jsonResponse(httpStatus(E.Kind), std::string(errorCode(E.Kind)));
    };
    return Options;
  }

  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    ++Requests;
    if (Request.path() == "/held") {
      Exchange->onDisconnect([this] { ++Disconnects; });
      std::lock_guard Lock(Mutex);
      Held = Exchange;
      return;
    }
    if (Request.path() == "/throw")
      throw std::runtime_error("handler");
    Exchange->respond(
        {200,
         {{"X-Echo", Request.Method}, {"Content-Length", "99"}},
         Request.Target + " " + std::to_string(Request.Body.size())});
  }

  std::shared_ptr<HttpExchange> held() {
    waitUntil([this] {
      std::lock_guard Lock(Mutex);
      return Held != nullptr;
    });
    std::lock_guard Lock(Mutex);
    return std::exchange(Held, nullptr);
  }

  std::uint16_t port() const { return Server->port(); }

  std::mutex Mutex;
  std::shared_ptr<HttpExchange> Held;
  std::atomic<unsigned> Requests{0};
  std::atomic<unsigned> Disconnects{0};
  std::unique_ptr<HttpServer> Server;
};

bool answered(const std::string &Answer, const std::string &Status) {
  return Answer.starts_with("HTTP/1.1 " + Status) ||
         Answer.starts_with("HTTP/1.0 " + Status);
}

const std::string Post = "POST / HTTP/1.1\r\n";

std::string get(const std::string &Target, const std::string &Extra = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n" + Extra + "\r\n";
}

} // namespace

// Guards against requests that are not HTTP and reach the handler, and against
// ambiguous framing that a proxy and this server would read differently.
TEST_CASE("malformed requests are answered with 400") {
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
    RawSocket Caller(S.port());
    Caller.send(Request);
    const std::string Answer = Caller.readAll();
    CHECK(answered(Answer, "400"));
    CHECK(Answer.ends_with("invalid_request"));
  }
  CHECK(S.Requests == 0);
}

// Guards against memory that a caller fills with headers or a body.
TEST_CASE("oversized headers and bodies are answered with 413") {
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
    RawSocket Caller(S.port());
    Caller.send(Request);
    const std::string Answer = Caller.readAll();
    CHECK(answered(Answer, "413"));
    CHECK(Answer.ends_with("too_large"));
  }
  CHECK(S.Requests == 0);
}

// Guards against connections that a slow caller holds for ever, and against a
// timeout without an answer.
TEST_CASE("a slow request is answered with 408") {
  HttpServerOptions Options;
  Options.ReadTimeout = std::chrono::milliseconds(100);
  EchoServer S(Options);
  for (const std::string &Begin :
       {std::string("GET / HT"), Post + "Content-Length: 10\r\n\r\nabc"}) {
    RawSocket Caller(S.port());
    Caller.send(Begin);
    const std::string Answer = Caller.readAll();
    CHECK(answered(Answer, "408"));
    CHECK(Answer.ends_with("request_timeout"));
  }
  CHECK(S.Requests == 0);
}

// Guards against idle connections that are kept for ever.
TEST_CASE("an idle connection is closed after the idle timeout") {
  HttpServerOptions Options;
  Options.IdleTimeout = std::chrono::milliseconds(50);
  EchoServer S(Options);
  RawSocket Caller(S.port());
  Caller.send(get("/a"));
  CHECK(Caller.readAll().ends_with("/a 0"));
}

// Guards against answers in the wrong order or lost requests on one
// connection.
TEST_CASE("pipelined and later requests are answered in order") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send(get("/a") + get("/b") +
              "POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz");
  CHECK(Caller.readUntil("/a 0").find("X-Echo: GET") != std::string::npos);
  Caller.readUntil("/b 0");
  Caller.readUntil("/c 3");
  Caller.send(get("/d", "Connection: close\r\n"));
  const std::string Last = Caller.readAll();
  CHECK(Last.ends_with("/d 0"));
  CHECK(Last.find("Connection: close") != std::string::npos);
  CHECK(S.Requests == 4);
}

// Guards against framing headers of a handler that contradict the body.
TEST_CASE("the server writes the framing headers itself") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send(get("/a", "Connection: close\r\n"));
  const std::string Answer = Caller.readAll();
  CHECK(Answer.find("Content-Length: 4") != std::string::npos);
  CHECK(Answer.find("99") == std::string::npos);
}

// Guards against callers of HTTP/1.0 that wait for ever or get chunks, and
// against a body in the answer to HEAD, which breaks the next answer.
TEST_CASE("HTTP/1.0 and HEAD get the answers they expect") {
  EchoServer S;
  RawSocket Old(S.port());
  Old.send("GET /held HTTP/1.0\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("one ");
  Exchange->write("two");
  Exchange->finish();
  const std::string Answer = Old.readAll();
  CHECK(Answer.find("chunked") == std::string::npos);
  CHECK(Answer.ends_with("\r\n\r\none two"));

  RawSocket Head(S.port());
  Head.send("HEAD /a HTTP/1.1\r\n\r\n" + get("/b", "Connection: close\r\n"));
  const std::string Both = Head.readAll();
  CHECK(Both.find("/a 0") == std::string::npos);
  CHECK(Both.ends_with("/b 0"));
}

// Guards against callers that wait for a 100 before they send their body.
TEST_CASE("Expect: 100-continue is answered before the body") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK(answered(Caller.readUntil("\r\n\r\n"), "100"));
  Caller.send("xy");
  CHECK(Caller.readUntil("/a 2").ends_with("/a 2"));
}

// Guards against work that goes on for a caller who is gone.
TEST_CASE("a disconnect is reported once, waiting or streaming") {
  for (const bool Streaming : {false, true}) {
    EchoServer S;
    RawSocket Caller(S.port());
    Caller.send(get("/held"));
    const auto Exchange = S.held();
    if (Streaming) {
      Exchange->begin(200, {});
      Exchange->write("first");
      Caller.readUntil("first");
    }
    Caller.close();
    CHECK(waitUntil([&] { return S.Disconnects == 1; }));
    CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; }));
    Exchange->write("late");
    Exchange->finish();
    Exchange->respond({});
    CHECK(S.Disconnects == 1);
  }
}

// Guards against an incomplete answer that looks complete to the caller.
TEST_CASE("an aborted answer ends without its last chunk") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send(get("/held"));
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("part");
  const std::string Part = Caller.readUntil("part\r\n");
  Exchange->abort();
  CHECK(Part.ends_with("4\r\npart\r\n"));
  CHECK(Caller.readAll().empty());
}

// Guards against a broken answer that looks complete to a caller of HTTP/1.0,
// for whom the end of the connection is the end of the answer.
TEST_CASE("an aborted answer without chunks ends with a reset") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send("GET /held HTTP/1.0\r\nHost: a\r\n\r\n");
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  Exchange->write("part");
  Caller.readUntil("part");
  Exchange->abort();
  Caller.readAll();
  CHECK(Caller.wasReset());
}

// Guards against a slow but sound upload that is cut, and against one that
// sends a byte now and then and never ends.
TEST_CASE("a body may take as long as it makes progress") {
  HttpServerOptions Options;
  Options.ReadTimeout = std::chrono::milliseconds(300);
  Options.MinBodyBytesPerSecond = 500;
  EchoServer S(Options);
  RawSocket Slow(S.port());
  Slow.send(Post + "Content-Length: 1000\r\n\r\n");
  for (int I = 0; I < 10; ++I) {
    Slow.send(std::string(100, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(answered(Slow.readUntil("\r\n\r\n"), "200"));
  RawSocket Stalled(S.port());
  Stalled.send(Post + "Content-Length: 1000\r\n\r\n");
  const auto Begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Begin < std::chrono::seconds(1) &&
         Stalled.send("x"))
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(answered(Stalled.readAll(), "408"));
}

// Guards against a slow but sound caller whose stream is cut, and against one
// that reads a byte now and then and holds its endpoint for ever.
TEST_CASE("an answer may take as long as its caller makes progress") {
  HttpServerOptions Options;
  Options.WriteTimeout = std::chrono::milliseconds(400);
  Options.MinWriteBytesPerSecond = 200'000;
  Options.MaxUnsentBytes = 64U << 20U;
  EchoServer S(Options);
  constexpr std::size_t Size = 12'000'000;
  const auto Begin = [&](RawSocket &Caller) {
    Caller.setReceiveBuffer(64 * 1024);
    Caller.send(get("/held"));
    const auto Exchange = S.held();
    Exchange->begin(200, {});
    Exchange->write(std::string(Size, 'x'));
    Exchange->finish();
  };
  RawSocket Slow(S.port());
  Begin(Slow);
  std::size_t Received = 0;
  while (Received < Size) {
    const std::size_t Part = Slow.readExactly(600'000).size();
    if (Part == 0)
      break;
    Received += Part;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(Received >= Size);
  RawSocket Stalled(S.port());
  Begin(Stalled);
  CHECK(waitUntil(
      [&] {
        Stalled.readExactly(1);
        return S.Disconnects == 1;
      },
      std::chrono::milliseconds(8'000)));
}

// Guards against requests on connections that the kernel had accepted when a
// planned stop began: they used to be reset without an answer.
TEST_CASE("a draining server answers connections that were already made") {
  HttpServerOptions Options;
  Options.DrainGrace = std::chrono::milliseconds(500);
  EchoServer S(Options);
  std::deque<RawSocket> Callers;
  for (int I = 0; I < 20; ++I) {
    Callers.emplace_back(S.port());
    Callers.back().send(get("/echo"));
  }
  S.Server->drain();
  for (RawSocket &Caller : Callers)
    CHECK(answered(Caller.readUntil("\r\n\r\n"), "200"));
}

// Guards against memory that a caller who does not read can fill.
TEST_CASE("a caller that does not read is cut off") {
  HttpServerOptions Options;
  Options.MaxUnsentBytes = 100'000;
  EchoServer S(Options);
  RawSocket Caller(S.port());
  Caller.send(get("/held"));
  const auto Exchange = S.held();
  Exchange->begin(200, {});
  CHECK(waitUntil([&] {
    Exchange->write(std::string(50'000, 'x'));
    return S.Disconnects == 1;
  }));
  CHECK(Exchange->unsentBytes() <= 150'000);
}

// Guards against a handler's exception that ends the program or leaves the
// caller without an answer.
TEST_CASE("a handler that throws yields a 500") {
  EchoServer S;
  RawSocket Caller(S.port());
  Caller.send(get("/throw") + get("/a", "Connection: close\r\n"));
  const std::string Answer = Caller.readAll();
  CHECK(answered(Answer, "500"));
  CHECK(Answer.ends_with("/a 0"));
}

// Guards against a planned stop that interrupts requests, also those that were
// on their way on an idle connection.
TEST_CASE("drain completes what is open and closes idle connections") {
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

// Guards against an exchange that uses its server after it was destroyed.
TEST_CASE("an exchange may outlive its server") {
  auto S = std::make_unique<EchoServer>();
  RawSocket Caller(S->port());
  Caller.send(get("/held"));
  const auto Exchange = S->held();
  S.reset();
  Exchange->begin(200, {});
  Exchange->write("x");
  Exchange->finish();
  CHECK(Caller.readAll().empty());
}

// Guards against crashes and hangs on hostile input: whatever arrives, the
// server answers with a status line or closes, and then serves others.
TEST_CASE("random bytes are answered or the connection is closed") {
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
    RawSocket Caller(S.port());
    Caller.send(Request + Noise);
    Caller.finishSending();
    const std::string Answer = Caller.readAll();
    RC_ASSERT(Answer.empty() || Answer.starts_with("HTTP/1."));
    RawSocket Other(S.port());
    Other.send(get("/ok", "Connection: close\r\n"));
    RC_ASSERT(Other.readAll().ends_with("/ok 0"));
  });
  CHECK(Passed);
  CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; }));
}

} // namespace hyssoprail
