// Descriptors of a client whose endpoints come and go.
#include "hyssoprail/connection/upstream_client.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/upstream_sender.hpp"
#include "hyssoprail/testing/endless_server.hpp"
#include "hyssoprail/testing/scripted_server.hpp"

namespace hyssoprail {
namespace {

using testing::EndlessServer;
using testing::ScriptedAnswer;
using testing::ScriptedServer;
using testing::UpstreamSender;
using testing::waitUntil;

constexpr unsigned Replacements = 300;
constexpr std::chrono::milliseconds Timeout{5'000};

const std::string Answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against connections to endpoints that have ended: they stayed open for
// good, as nothing was sent to those endpoints any more.
TEST_CASE("connections to endpoints that have ended are closed") {
  UpstreamSender S;
  const std::size_t Before = openDescriptors();
  REQUIRE(Before > 0);
  for (unsigned I = 0; I < Replacements; ++I) {
    ScriptedServer Server({{Answer}});
    REQUIRE(S.send(Server.authority(), "1", Timeout, std::to_string(I)).End ==
            UpstreamEnd::Complete);
  }
  constexpr std::size_t Tolerance = 5;
  CHECK(waitUntil([&] { return openDescriptors() <= Before + Tolerance; },
                  Timeout));
  CHECK(openDescriptors() <= Before + Tolerance);
}

// As above, for endpoints that run on and close no connection.
TEST_CASE("connections that are idle for long are closed") {
  UpstreamSender S;
  ScriptedServer Server(std::vector<ScriptedAnswer>(Replacements, {Answer}));
  const std::size_t Before = openDescriptors();
  for (unsigned I = 0; I < Replacements; ++I)
    REQUIRE(S.send(Server.authority(), "1", Timeout, std::to_string(I)).End ==
            UpstreamEnd::Complete);
  constexpr std::size_t Tolerance = 5;
  CHECK(waitUntil([&] { return openDescriptors() <= Before + Tolerance; },
                  Timeout));
  CHECK(openDescriptors() <= Before + Tolerance);
}

// Guards against an endpoint that fills the kernel's buffers on connections
// that nothing reads from.
TEST_CASE("an idle connection is closed when its endpoint sends on it") {
  EndlessServer Server(Answer, std::string(100'000, 'x'),
                       std::chrono::milliseconds(20));
  UpstreamSender S;
  REQUIRE(S.send(Server.authority(), "1").End == UpstreamEnd::Complete);
  CHECK(waitUntil([&] { return Server.closed(); }, Timeout));
  CHECK(Server.sentBytes() < 1'000'000);
}

} // namespace hyssoprail
