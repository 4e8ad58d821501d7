#include "hyssoprail/connection/http_client.hpp"

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "hyssoprail/testing/endless_server.hpp"
#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail {
namespace {

using boost::asio::ip::tcp;
using testing::waitUntil;

/// Accepts connections and sends a fixed response to the first bytes of each.
/// Closes the connection after that if Close is set, else keeps responding.
class ScriptedServer {
public:
  ScriptedServer(std::string Response, bool Close)
      : Response(std::move(Response)), Close(Close),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  ~ScriptedServer() { Loop.stop(); }

  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  unsigned connections() const { return Connections; }

private:
  struct Peer {
    explicit Peer(tcp::socket S) : Socket(std::move(S)) {}
    tcp::socket Socket;
    std::array<char, 4096> Data{};
  };

  void accept() {
    Acceptor.async_accept([this](const auto &Code, tcp::socket Socket) {
      if (Code)
        return;
      ++Connections;
      serve(std::make_shared<Peer>(std::move(Socket)));
      accept();
    });
  }

  void serve(const std::shared_ptr<Peer> &P) {
    P->Socket.async_read_some(
        boost::asio::buffer(P->Data), [this, P](const auto &Code, std::size_t) {
          boost::system::error_code Ignored;
          if (Code)
            return;
          boost::asio::write(P->Socket, boost::asio::buffer(Response), Ignored);
          if (!Close)
            serve(P);
        });
  }

  testing::LoopThread Loop;
  std::string Response;
  bool Close;
  tcp::acceptor Acceptor;
  std::atomic<unsigned> Connections{0};
};

HttpCall callTo(const std::string &Authority) {
  HttpCall Call;
  Call.Authority = Authority;
  Call.Request = {"GET", "/", {}, ""};
  Call.Timeout = std::chrono::milliseconds(5'000);
  return Call;
}

ErrorKind errorKindOf(const HttpCall &Call) {
  testing::TestClient Client;
  const Result<HttpResponse> R = Client.begin(Call).get();
  REQUIRE_FALSE(succeeded(R));
  return errorOf(R)->Kind;
}

constexpr const char *OkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char *CodingAndLength =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n"
    "\r\nab";

} // namespace

// Guards against a request that was sent but is reported as not run: only a
// failed connection attempt may be reported as Unavailable.
TEST_CASE("errors of a call tell whether anything was sent") {
  std::string Unused;
  {
    ScriptedServer Stopped(OkResponse, true);
    Unused = Stopped.authority();
  }
  CHECK(errorKindOf(callTo(Unused)) == ErrorKind::Unavailable);
  CHECK(errorKindOf(callTo("no-address")) == ErrorKind::Unavailable);
  CHECK(errorKindOf(callTo("127.0.0.1:99999")) == ErrorKind::Unavailable);
  for (const char *Broken :
       {"", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
        CodingAndLength,
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
    ScriptedServer S(Broken, true);
    CHECK(errorKindOf(callTo(S.authority())) == ErrorKind::UpstreamFailed);
  }
  ScriptedServer Silent("", false);
  HttpCall Call = callTo(Silent.authority());
  Call.Timeout = std::chrono::milliseconds(50);
  CHECK(errorKindOf(Call) == ErrorKind::DeadlineExceeded);
}

// Guards against a large body that is given up each time although it arrives,
// and against a server that holds a call open for ever.
TEST_CASE("a body may take longer than the rest of a call while it arrives") {
  using std::chrono::milliseconds;
  constexpr milliseconds Pause{20};
  const auto BodyOf = [](std::size_t Bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Bytes) +
           "\r\n\r\n";
  };
  testing::EndlessServer Slow(BodyOf(200), "0123456789", Pause);
  HttpCall Call = callTo(Slow.authority());
  Call.Timeout = 10 * Pause;
  CHECK(errorKindOf(Call) == ErrorKind::DeadlineExceeded);
  Call.Body = {10 * Pause, 200 * Pause};
  testing::TestClient Client;
  CHECK(valueOf(Client.begin(Call).get()).Body.size() == 200);
  Call.Body = {10 * Pause, 5 * Pause};
  CHECK(errorKindOf(Call) == ErrorKind::DeadlineExceeded);
  ScriptedServer Silent(BodyOf(9) + "short", false);
  Call = callTo(Silent.authority());
  Call.Body = {2 * Pause, 200 * Pause};
  CHECK(errorKindOf(Call) == ErrorKind::DeadlineExceeded);
}

// Guards against request smuggling through a target or a header value.
TEST_CASE("targets and headers cannot break the framing of a request") {
  std::atomic<std::size_t> Headers{0};
  testing::EmulatorServer S([&](const auto &Exchange) {
    Headers = Exchange->request().Headers.size();
    Exchange->respond({200, {}, ""});
  });
  REQUIRE(S.start());
  HttpCall Call = callTo(S.authority());
  Call.Request.Target = "/a HTTP/1.1\r\n\r\nGET /b";
  CHECK(errorKindOf(Call) == ErrorKind::InvalidRequest);
  Call.Request.Target = "/a";
  testing::TestClient Client;
  REQUIRE(succeeded(Client.begin(Call).get()));
  const std::size_t BaseHeaders = Headers;
  Call.Request.Headers = {{"X", "a\r\nY: b"},
                          {"Z\r\nQ", "b"},
                          {"Content-Length", "7"},
                          {"Transfer-Encoding", "chunked"},
                          {"Good", "yes"}};
  REQUIRE(succeeded(Client.begin(Call).get()));
  CHECK(Headers == BaseHeaders + 1);
}

// Guards against a new connection for each call.
TEST_CASE("connections are reused unless a fresh one is requested") {
  testing::TestClient Client;
  ScriptedServer Persistent(OkResponse, false);
  for (int I = 0; I < 3; ++I)
    CHECK(valueOf(Client.begin(callTo(Persistent.authority())).get()).Body ==
          "ok");
  CHECK(Persistent.connections() == 1);
  HttpCall Fresh = callTo(Persistent.authority());
  Fresh.FreshConnection = true;
  CHECK(succeeded(Client.begin(Fresh).get()));
  CHECK(Persistent.connections() == 2);
}

// Guards against handlers called after cancel(), and against a crash when
// cancel() is called from a handler.
TEST_CASE("a stream can be cancelled from its own handlers") {
  std::atomic<unsigned> Disconnects{0};
  testing::EmulatorServer S([&](const auto &Exchange) {
    Exchange->onDisconnect([&] { ++Disconnects; });
    Exchange->begin(200, {});
    Exchange->write("a");
  });
  REQUIRE(S.start());
  testing::TestClient Client;
  std::atomic<unsigned> Data{0};
  std::atomic<unsigned> Ends{0};
  std::shared_ptr<HttpStream> Stream;
  boost::asio::post(Client.context(), [&] {
    HttpStreamHandlers Handlers;
    Handlers.OnData = [&](std::string_view) {
      ++Data;
      Stream->cancel();
    };
    Handlers.OnEnd = [&](const Status &) { ++Ends; };
    Stream = Client.client().stream(callTo(S.authority()), Handlers);
  });
  CHECK(waitUntil([&] { return Disconnects == 1; }));
  CHECK(Data == 1);
  CHECK(Ends == 0);
}

// Guards against a truncated stream that is reported as complete.
TEST_CASE("a stream reports its end once, with an error if truncated") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const bool Whole : {true, false}) {
    ScriptedServer S(Head + "2\r\nab\r\n" + (Whole ? "0\r\n\r\n" : ""), true);
    testing::TestClient Client;
    std::promise<Status> End;
    std::string Data;
    boost::asio::post(Client.context(), [&] {
      HttpStreamHandlers Handlers;
      Handlers.OnData = [&](std::string_view D) { Data += D; };
      Handlers.OnEnd = [&](Status E) { End.set_value(std::move(E)); };
      Client.client().stream(callTo(S.authority()), Handlers);
    });
    CHECK(succeeded(End.get_future().get()) == Whole);
    CHECK(Data == "ab");
  }
}

// Guards against a caller that waits for ever because the HTTP library refuses
// to send its request, and against an exception of a callback that nobody sees.
TEST_CASE("a call ends with an error if it cannot be sent") {
  testing::LoopThread Loop;
  std::promise<std::string> Thrown;
  std::promise<ErrorKind> Kind;
  std::unique_ptr<HttpClient> Client;
  ScriptedServer Server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  boost::asio::post(Loop.context(), [&] {
    Client = makeHttpClient(Loop.context(), [&](std::string_view Why) {
      Thrown.set_value(std::string(Why));
    });
    constexpr std::size_t TooLong = 70'000;
    HttpCall Call;
    Call.Authority = Server.authority();
    Call.Request = {"GET", "/", {{"X-Long", std::string(TooLong, 'a')}}, ""};
    Client->call(Call, [&](const Result<HttpResponse> &R) {
      Kind.set_value(errorOf(R) ? errorOf(R)->Kind : ErrorKind::Internal);
      throw std::runtime_error("callback");
    });
  });
  auto Ended = Kind.get_future();
  REQUIRE(Ended.wait_for(std::chrono::seconds(3)) == std::future_status::ready);
  CHECK(Ended.get() == ErrorKind::UpstreamFailed);
  auto Reported = Thrown.get_future();
  REQUIRE(Reported.wait_for(std::chrono::seconds(3)) ==
          std::future_status::ready);
  CHECK(Reported.get() == "callback");
  Loop.stop();
}

} // namespace hyssoprail
