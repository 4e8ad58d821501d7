#include <list>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "hyssoprail/connection/body_admission.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/testing/http_fixture.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::LoopThread;
using testing::RawSocket;
using testing::waitUntil;

constexpr std::size_t Mb = std::size_t{1024} * 1024;
constexpr std::size_t BodyBytes = 4'000'000;

/// Holds the requests below /held until release(); the account has room for
/// three large bodies.
class BoundedServer {
public:
  explicit BoundedServer(std::chrono::milliseconds MaxWait) : MaxWait(MaxWait) {
    HttpServerOptions Options;
    Options.Bodies = Bodies;
    Options.OnHead = [this](const HttpRequest &) {
      HeadDecision Out;
      Out.MaxWait = this->MaxWait;
      return Out;
    };
    Server = makeHttpServer(Loop.context(), Options,
                            [this](const auto &E) { handle(E); });
    run([&] { REQUIRE(succeeded(Server->start())); });
  }
  ~BoundedServer() {
    run([&] {
      Held.clear();
      Server->stop();
    });
    Loop.stop();
  }

  std::uint16_t port() const { return Server->port(); }

  void respondToHeld(std::size_t Count) {
    run([&] {
      for (; Count > 0 && !Held.empty(); --Count) {
        Held.front()->respond({200, {}, size(*Held.front())});
        Held.pop_front();
      }
    });
  }

  /// Streams \p Bytes to the first caller whose request is held.
  void streamToHeld(std::size_t Bytes) {
    run([&] {
      Held.front()->begin(200, {});
      Held.front()->write(std::string(Bytes, 'x'));
      Held.front()->finish();
      Held.pop_front();
    });
  }

  std::size_t held() {
    std::size_t Out = 0;
    run([&] { Out = Held.size(); });
    return Out;
  }
  std::size_t reserved() {
    std::size_t Out = 0;
    run([&] { Out = Account->reserved(); });
    return Out;
  }
  std::size_t waiting() {
    std::size_t Out = 0;
    run([&] { Out = Bodies->waiting(); });
    return Out;
  }

private:
  static std::string size(const HttpExchange &E) {
    return "got " + std::to_string(E.request().Body.size());
  }

  void handle(const std::shared_ptr<HttpExchange> &E) {
    if (E->request().path() == "/held")
      return Held.push_back(E);
    E->respond({200, {}, size(*E)});
  }

  void run(const std::function<void()> &Work) {
    std::promise<void> Done;
    boost::asio::post(Loop.context(), [&] {
      Work();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  const std::chrono::milliseconds MaxWait;
  SteadyClock Time;
  LoopThread Loop;
  std::shared_ptr<MemoryAccount> Account =
      std::make_shared<MemoryAccount>(16 * Mb);
  std::shared_ptr<BodyAdmission> Bodies =
      std::make_shared<BodyAdmission>(Account, Time);
  std::list<std::shared_ptr<HttpExchange>> Held;
  std::unique_ptr<HttpServer> Server;
};

std::string post(const std::string &Target, const std::string &Framing) {
  return "POST " + Target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
         Framing + "\r\n\r\n";
}

std::string withLength(const std::string &Target, std::size_t Bytes) {
  return post(Target, "Content-Length: " + std::to_string(Bytes)) +
         std::string(Bytes, 'x');
}

std::string chunked(const std::string &Target, std::size_t Bytes) {
  constexpr std::size_t ChunkBytes = 10'000;
  std::string Out = post(Target, "Transfer-Encoding: chunked");
  for (std::size_t I = 0; I < Bytes; I += ChunkBytes)
    Out += "2710\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
  return Out + "0\r\n\r\n";
}

/// A caller that sends on a thread, as its connection may not be read.
class Caller {
public:
  Caller(std::uint16_t Port, std::string Request)
      : Socket(Port), Thread([this, R = std::move(Request)] {
          Socket.send(R);
          Response = Socket.readAll();
        }) {}
  ~Caller() { join(); }

  std::string response() {
    join();
    return Response;
  }

private:
  void join() {
    if (Thread.joinable())
      Thread.join();
  }

  RawSocket Socket;
  std::string Response;
  std::thread Thread;
};

} // namespace

// Guards against a process that holds more bodies than it has memory for, and
// against the loss of those that it has no room for yet.
TEST_CASE("bodies wait unread until there is room and small ones go on") {
  BoundedServer S(std::chrono::seconds(8));
  std::list<Caller> Callers;
  for (unsigned I = 0; I < 6; ++I)
    Callers.emplace_back(S.port(), I % 2 ? chunked("/held", BodyBytes)
                                         : withLength("/held", BodyBytes));
  REQUIRE(waitUntil([&] { return S.held() == 2 || S.held() == 3; }));
  REQUIRE(waitUntil([&] { return S.held() + S.waiting() == 6; }));
  CHECK(S.reserved() <= 16 * Mb);
  RawSocket Small(S.port());
  Small.send(withLength("/now", 72'000));
  CHECK(Small.readAll().ends_with("got 72000"));
  for (unsigned Answered = 0; Answered < 6; ++Answered) {
    REQUIRE(waitUntil([&] { return S.held() > 0; }));
    S.respondToHeld(1);
  }
  for (Caller &C : Callers)
    CHECK(C.response().ends_with("got 4000000"));
  CHECK(waitUntil([&] { return S.reserved() == 0; }));
}

// Guards against a caller that waits longer than it has time for and gets no
// answer.
TEST_CASE("a body without room in time gets a 503 with a time to return") {
  BoundedServer S(std::chrono::milliseconds(200));
  std::list<Caller> Callers;
  for (unsigned I = 0; I < 3; ++I)
    Callers.emplace_back(S.port(), withLength("/held", BodyBytes));
  REQUIRE(waitUntil([&] { return S.held() == 3; }));
  for (const std::string &Request :
       {withLength("/held", BodyBytes), chunked("/held", BodyBytes)}) {
    Caller Late(S.port(), Request);
    const std::string Response = Late.response();
    CHECK(Response.starts_with("HTTP/1.1 503"));
    CHECK(Response.find("Retry-After: 1\r\n") != std::string::npos);
  }
  S.respondToHeld(3);
  for (Caller &C : Callers)
    CHECK(C.response().ends_with("got 4000000"));
}

// Guards against room that is kept for a body whose caller has left.
TEST_CASE("the room of a body that does not arrive is given back") {
  BoundedServer S(std::chrono::seconds(5));
  std::list<RawSocket> Leaving;
  for (unsigned I = 0; I < 3; ++I) {
    Leaving.emplace_back(S.port());
    Leaving.back().send(post("/held", "Content-Length: 4000000") + "begin");
  }
  REQUIRE(waitUntil([&] { return S.reserved() > 3 * BodyBytes; }));
  Caller Waiting(S.port(), withLength("/now", BodyBytes));
  REQUIRE(waitUntil([&] { return S.waiting() == 1; }));
  Leaving.clear();
  CHECK(Waiting.response().ends_with("got 4000000"));
}

// Guards against callers that exhaust memory by reading slowly, each within the
// limit of its own connection.
TEST_CASE("responses that callers have not read are charged") {
  constexpr std::size_t ResponseBytes = 12'000'000;
  BoundedServer S(std::chrono::milliseconds(100));
  std::list<RawSocket> Slow;
  for (unsigned I = 0; I < 2; ++I) {
    Slow.emplace_back(S.port());
    Slow.back().setReceiveBuffer(64 * 1024);
    Slow.back().send(post("/held", "Content-Length: 0"));
  }
  REQUIRE(waitUntil([&] { return S.held() == 2; }));
  S.streamToHeld(ResponseBytes);
  CHECK(S.reserved() >= ResponseBytes);
  S.streamToHeld(ResponseBytes);
  CHECK(S.reserved() <= 16 * Mb);
  CHECK(Slow.front().readAll().size() > ResponseBytes);
  CHECK(Slow.back().readAll().find("0\r\n\r\n") == std::string::npos);
  CHECK(waitUntil([&] { return S.reserved() == 0; }));
}

// Guards against a stream that is cut, although its client reads, because
// others use up the memory for callers.
TEST_CASE("a stream whose client reads goes on while the account is full") {
  BoundedServer S(std::chrono::milliseconds(100));
  std::list<RawSocket> Clients;
  for (unsigned I = 0; I < 2; ++I) {
    Clients.emplace_back(S.port());
    Clients.back().setReceiveBuffer(64 * 1024);
    Clients.back().send(post("/held", "Content-Length: 0"));
  }
  REQUIRE(waitUntil([&] { return S.held() == 2; }));
  constexpr std::size_t Filling = 16 * Mb - 4'096; // beside the two heads
  S.streamToHeld(Filling);
  S.streamToHeld(8'000);
  CHECK(Clients.back().readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
  CHECK(Clients.front().readUntil("0\r\n\r\n").size() > Filling);
  CHECK(waitUntil([&] { return S.reserved() == 0; }));
}

} // namespace hyssoprail
