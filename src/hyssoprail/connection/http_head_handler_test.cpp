#include <atomic>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "echo_server.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::get;
using testing::hasStatus;
using testing::RawSocket;
using testing::waitUntil;

std::string post(const std::string &Target, std::size_t BodyBytes,
                 const std::string &Extra = "") {
  return "POST " + Target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n" + Extra + "\r\n";
}

/// Rejects the path /no by the head; counts the admissions that are held.
class JudgingServer {
public:
  JudgingServer() : Server(makeHttpServer(options(), respond)) {
    REQUIRE(succeeded(Server->start()));
  }
  ~JudgingServer() { Server->stop(); }

  std::uint16_t port() const { return Server->port(); }
  unsigned admitted() const { return Admitted; }
  unsigned ended() const { return Ended; }

private:
  HttpServerOptions options() {
    HttpServerOptions Out;
    Out.OnHead = [this](const HttpRequest &Head) { return judge(Head); };
    return Out;
  }

  HeadDecision judge(const HttpRequest &Head) {
    HeadDecision Out;
    if (Head.path() == "/no") {
      Out.Rejection = HttpResponse{401, {}, "no key"};
      return Out;
    }
    ++Admitted;
    Out.Admission = std::shared_ptr<void>(nullptr, [this](void *) { ++Ended; });
    return Out;
  }

  static void respond(const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(
        {200, {}, "got " + std::to_string(Exchange->request().Body.size())});
  }

  std::atomic<unsigned> Admitted{0};
  std::atomic<unsigned> Ended{0};
  std::unique_ptr<HttpServer> Server;
};

} // namespace

// Guards against holding the bodies of requests that are rejected anyway, and
// against a rejection that costs the connection.
TEST_CASE("a request is rejected by its head, before its body arrives") {
  JudgingServer S;
  RawSocket Client(S.port());
  Client.setReadLimit(std::chrono::seconds(3));
  Client.send(post("/no", 5));
  CHECK(Client.readUntil("no key").starts_with("HTTP/1.1 401"));
  Client.send("hello" + get("/a", "Connection: close\r\n"));
  CHECK(Client.readAll().ends_with("got 0"));
}

// Guards against a body that is sent for nothing.
TEST_CASE("a request that is rejected by its head gets no 100") {
  JudgingServer S;
  RawSocket Client(S.port());
  Client.setReadLimit(std::chrono::seconds(3));
  Client.send(post("/no", 5, "Expect: 100-continue\r\n"));
  const std::string Response = Client.readAll();
  CHECK(hasStatus(Response, "401"));
  CHECK(Response.find("Connection: close") != std::string::npos);
  RawSocket Accepted(S.port());
  Accepted.send(post("/a", 5, "Expect: 100-continue\r\n"));
  CHECK(hasStatus(Accepted.readUntil("\r\n\r\n"), "100"));
}

// Guards against a client that sends all of a long body and then finds its
// connection reset instead of the rejection.
TEST_CASE("the rejection of a long body arrives") {
  JudgingServer S;
  RawSocket Client(S.port());
  Client.send(post("/no", 4'000'000) + std::string(4'000'000, 'x'));
  CHECK(Client.readAll().ends_with("no key"));
  CHECK_FALSE(Client.wasReset());
}

// Guards against quota that is taken by the head and lost with the body.
TEST_CASE("an admission ends with a body that does not arrive") {
  JudgingServer S;
  RawSocket Client(S.port());
  Client.send(post("/a", 5) + "hel");
  REQUIRE(waitUntil([&] { return S.admitted() == 1; }));
  CHECK(S.ended() == 0);
  Client.close();
  CHECK(waitUntil([&] { return S.ended() == 1; }));
}

} // namespace hyssoprail
