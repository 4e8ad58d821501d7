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

/// Beast refuses to serialise a header field of this size.
constexpr std::size_t RefusedFieldBytes = 70'000;

/// Responds with a header that cannot be serialised.
class DefectiveServer {
public:
  DefectiveServer() : Server(makeHttpServer(options(), respond)) {
    REQUIRE(succeeded(Server->start()));
  }
  ~DefectiveServer() { Server->stop(); }

  std::atomic<unsigned> Defects{0};
  std::unique_ptr<HttpServer> Server;

private:
  HttpServerOptions options() {
    HttpServerOptions Out;
    Out.OnDefect = [this](std::string_view) { ++Defects; };
    return Out;
  }

  static void respond(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpHeaders Refused{{"X", std::string(RefusedFieldBytes, 'x')}};
    if (Exchange->request().path() != "/stream")
      return Exchange->respond({200, Refused, "answer"});
    Exchange->begin(200, Refused);
    Exchange->finish();
  }
};

} // namespace

// Guards against a connection that closes without an answer, and against a
// planned stop that waits for an exchange which has ended.
TEST_CASE("a response that cannot be serialised yields a 500") {
  DefectiveServer S;
  for (const char *Target : {"/whole", "/stream"}) {
    INFO(Target);
    RawSocket Client(S.Server->port());
    Client.setReadLimit(std::chrono::seconds(3));
    Client.send(get(Target));
    CHECK(hasStatus(Client.readAll(), "500"));
    CHECK(waitUntil([&] { return S.Server->openExchanges() == 0; },
                    std::chrono::seconds(1)));
  }
  CHECK(S.Defects == 2);
}

} // namespace hyssoprail
