// What clients see of a server process that is killed while it sends a stream.
#include "echo_server.hpp"

#include <array>
#include <csignal>
#include <string>
#include <utility>

#include <catch2/catch.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::RawSocket;

/// A server in a process of its own whose stream has begun and does not end.
class ServerProcess {
public:
  /// The stream begins with \p Sent.
  explicit ServerProcess(std::string Sent = "part") : Sent(std::move(Sent)) {
    REQUIRE(::pipe(Ports.data()) == 0);
    Pid = ::fork();
    if (Pid == 0)
      serve();
    REQUIRE(Pid > 0);
    REQUIRE(::read(Ports[0], &Port, sizeof Port) == sizeof Port);
  }

  ~ServerProcess() {
    kill();
    ::close(Ports[0]);
    ::close(Ports[1]);
  }

  std::uint16_t port() const { return Port; }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(std::exchange(Pid, -1), nullptr, 0);
  }

private:
  [[noreturn]] void serve() {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    HttpServerOptions Options;
    Options.MaxUnsentBytes = MaxUnsentBytes;
    EchoServer S(Options);
    const std::uint16_t Number = S.port();
    if (::write(Ports[1], &Number, sizeof Number) != sizeof Number)
      ::_exit(1);
    const auto Exchange = S.held();
    Exchange->begin(200, {});
    Exchange->write(Sent);
    for (;;)
      ::pause();
  }

  static constexpr std::size_t MaxUnsentBytes = 64U << 20U;

  const std::string Sent;
  std::array<int, 2> Ports{};
  pid_t Pid = -1;
  std::uint16_t Port = 0;
};

} // namespace

// Guards against a part of a stream that looks whole to an HTTP/1.0 client: the
// kernel closes the connections of a killed process, and for such a client the
// end of the connection is the end of the response.
TEST_CASE("a stream without chunks of a killed server ends with a reset") {
  ServerProcess Server;
  RawSocket Client(Server.port());
  Client.send("GET /held HTTP/1.0\r\nHost: a\r\n\r\n");
  CHECK(Client.readUntil("part").ends_with("part"));
  Server.kill();
  Client.readAll();
  CHECK(Client.wasReset());
}

// The same for a client that recognises the end by the last chunk.
TEST_CASE("a chunked stream of a killed server has no last chunk") {
  ServerProcess Server;
  RawSocket Client(Server.port());
  Client.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Client.readUntil("part").ends_with("part"));
  Server.kill();
  CHECK(Client.readAll().find("0\r\n\r\n") == std::string::npos);
}

// Guards against a cut that a client with much left to read cannot see: data in
// the kernel's buffers still arrives, or does not, when the process is gone.
TEST_CASE("a client that reads slowly sees that its server was killed") {
  const std::string Sent(12'000'000, 'x');
  for (const std::string Version : {"1.0", "1.1"}) {
    CAPTURE(Version);
    ServerProcess Server(Sent);
    RawSocket Client(Server.port());
    Client.setReceiveBuffer(64 * 1024);
    Client.send("GET /held HTTP/" + Version + "\r\nHost: a\r\n\r\n");
    Client.readUntil("xxx");
    Server.kill();
    const std::string Rest = Client.readAll();
    CHECK(Rest.size() < Sent.size());
    CHECK_FALSE(Rest.ends_with("0\r\n\r\n"));
    CHECK((Version == "1.1" || Client.wasReset()));
  }
}

} // namespace hyssoprail
