// Tests of connections that arrive while a server begins to drain.
#include <array>
#include <atomic>
#include <string_view>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "hyssoprail/connection/http_server.hpp"

namespace hyssoprail {
namespace {

constexpr unsigned Clients = 4;
constexpr unsigned Rounds = 150;

struct Tally {
  std::atomic<unsigned> Answered{0};
  std::atomic<unsigned> Unanswered{0};
};

/// Returns an open connection, or -1 if none is complete after a short time.
int connectTo(std::uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval ConnectLimit{0, 100'000};
  const timeval ReadLimit{5, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &ConnectLimit,
               sizeof ConnectLimit);
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReadLimit, sizeof ReadLimit);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

/// Sends one request after the other, each on a new connection, until the
/// server takes no more connections.
void callUntilRefused(std::uint16_t Port, Tally &Seen) {
  constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int Socket = connectTo(Port); Socket >= 0; Socket = connectTo(Port)) {
    ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
    std::array<char, 512> Head{};
    const bool Answered = ::recv(Socket, Head.data(), Head.size(), 0) > 0;
    ++(Answered ? Seen.Answered : Seen.Unanswered);
    ::close(Socket);
  }
}

} // namespace

// Guards against requests without an answer at a planned stop: the kernel reset
// connections that it completed between the last accept and the close.
TEST_CASE("a draining server answers on every connection that it completes") {
  Tally Seen;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    const auto Server = makeHttpServer(HttpServerOptions{}, [](const auto &E) {
      E->respond({200, {}, ""});
    });
    REQUIRE(errorOf(Server->start()) == nullptr);
    std::vector<std::thread> Callers;
    for (unsigned I = 0; I < Clients; ++I)
      Callers.emplace_back(
          [&, Port = Server->port()] { callUntilRefused(Port, Seen); });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Server->drain();
    for (std::thread &T : Callers)
      T.join();
  }
  CHECK(Seen.Answered > Rounds);
  CHECK(Seen.Unanswered == 0);
}

} // namespace hyssoprail
