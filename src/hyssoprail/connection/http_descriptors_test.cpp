// The HTTP server and the HTTP client while descriptors are short, and what the
// client reads of answers that are none.
#include <array>
#include <future>
#include <vector>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/echo_server.hpp"
#include "hyssoprail/testing/descriptor_shortage.hpp"
#include "hyssoprail/testing/endless_server.hpp"
#include "hyssoprail/testing/scripted_server.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::EndlessServer;
using testing::ScriptedServer;
using testing::TestClient;
using testing::waitUntil;

} // namespace

// Guards against callers that are not accepted while descriptors are held for
// less important things.
TEST_CASE("a caller is accepted after a descriptor was freed for it") {
  std::vector<int> Held;
  HttpServerOptions Options;
  Options.FreeDescriptors = [&] {
    if (Held.empty())
      return false;
    ::close(Held.back());
    Held.pop_back();
    return true;
  };
  EchoServer Server(Options);
  const int Caller = ::socket(AF_INET, SOCK_STREAM, 0);
  for (int I = 0; I < 3; ++I)
    Held.push_back(::dup(STDERR_FILENO));
  std::string Got;
  {
    const testing::DescriptorShortage Shortage;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server.port());
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(Caller, reinterpret_cast<sockaddr *>(&Address),
                      sizeof Address) == 0);
    const std::string Request = testing::get("/", "Connection: close\r\n");
    REQUIRE(::send(Caller, Request.data(), Request.size(), 0) ==
            static_cast<ssize_t>(Request.size()));
    const timeval Limit{2, 0};
    ::setsockopt(Caller, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    std::array<char, 512> Data{};
    const ssize_t Size = ::recv(Caller, Data.data(), Data.size(), 0);
    if (Size > 0)
      Got.assign(Data.data(), static_cast<std::size_t>(Size));
  }
  CHECK(testing::hasStatus(Got, "200"));
  ::close(Caller);
  for (const int Descriptor : Held)
    ::close(Descriptor);
}

// Guards against connections to servers that have ended, such as engines that
// were ordered to change their stage: they stayed open for good.
TEST_CASE("the HTTP client closes connections to servers that have ended") {
  constexpr unsigned Servers = 60;
  TestClient Client;
  const std::size_t Before = openDescriptors();
  for (unsigned I = 0; I < Servers; ++I) {
    ScriptedServer Server({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
    REQUIRE(Client.answer(Server.authority(), "GET", "/").Status == 200);
  }
  constexpr std::size_t Tolerance = 5;
  CHECK(waitUntil(
      [&] {
        ScriptedServer Server(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
        Client.answer(Server.authority(), "GET", "/");
        return openDescriptors() <= Before + 2 * Tolerance;
      },
      std::chrono::seconds(3)));
}

// Guards against a faulty worker that answers an order without end.
TEST_CASE("the HTTP client does not keep more of an answer than it may") {
  EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", std::string(10'000, 'x'));
  TestClient Client;
  HttpCall Call;
  Call.Authority = Server.authority();
  Call.Request = {"GET", "/", {}, ""};
  Call.MaxResponseBytes = 65'536;
  CHECK_FALSE(succeeded(Client.begin(Call).get()));
  CHECK(waitUntil([&] { return Server.closed(); }));
  CHECK(Server.sentBytes() < 12'000'000);
}

// Guards against an interim answer that is taken for the answer, after which
// each further request on the connection gets the answer to the one before.
TEST_CASE("the HTTP client skips interim answers") {
  ScriptedServer Server(
      {{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"},
       {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"}});
  TestClient Client;
  const HttpResponse First = Client.answer(Server.authority(), "GET", "/");
  CHECK(First.Status == 200);
  CHECK(First.Body == "a");
  CHECK(Client.answer(Server.authority(), "GET", "/").Body == "b");
  EndlessServer Endless("", "HTTP/1.1 100 Continue\r\n\r\n");
  CHECK(Client.answer(Endless.authority(), "GET", "/").Status == 0);
  CHECK(waitUntil([&] { return Endless.closed(); }));
}

} // namespace hyssoprail
