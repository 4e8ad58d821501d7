// Endpoints that read the body of a request slowly.
#include <array>
#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "hyssoprail/connection/upstream_sender.hpp"

namespace hyssoprail {
namespace {

using std::chrono::milliseconds;
using testing::UpstreamOutcome;
using testing::UpstreamSender;

/// More than the kernel takes for an endpoint that does not read.
constexpr std::size_t BodyBytes = 16'000'000;

/// Reads the head of a request, pauses, and then reads the body and answers. It
/// pauses again after each part of the body.
class SlowEndpoint {
public:
  SlowEndpoint(milliseconds FirstPause, std::size_t PartBytes,
               milliseconds PartPause)
      : FirstPause(FirstPause), PartPause(PartPause), Data(PartBytes, '\0'),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}),
        Peer(Loop.context()), Timer(Loop.context()) {
    Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(65'536));
    Acceptor.async_accept(Peer, [this](boost::system::error_code Code) {
      if (!Code)
        pause(this->FirstPause);
    });
  }
  ~SlowEndpoint() { Loop.stop(); }

  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void pause(milliseconds Length) {
    Timer.expires_after(Length);
    Timer.async_wait([this](boost::system::error_code Code) {
      if (!Code)
        read();
    });
  }

  void read() {
    Peer.async_read_some(
        boost::asio::buffer(Data),
        [this](boost::system::error_code Code, std::size_t Size) {
          if (Code)
            return;
          Received += Size;
          if (Received < BodyBytes)
            return PartPause > milliseconds(0) ? pause(PartPause) : read();
          boost::system::error_code Ignored;
          boost::asio::write(
              Peer,
              boost::asio::buffer(std::string(
                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")),
              Ignored);
        });
  }

  const milliseconds FirstPause;
  const milliseconds PartPause;
  std::string Data;
  std::size_t Received = 0;
  testing::LoopThread Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::socket Peer;
  boost::asio::steady_timer Timer;
};

UpstreamOutcome sendBody(const SlowEndpoint &To, milliseconds Timeout) {
  UpstreamSender Sender;
  UpstreamCall Call;
  Call.Authority = To.authority();
  Call.Request = {"POST", "/", {{"Host", "h"}}, ""};
  Call.Body = std::make_shared<const std::string>(BodyBytes, 'x');
  Call.ConnectTimeout = std::chrono::seconds(2);
  Call.HeadTimeout = Timeout;
  return Sender.send(std::move(Call));
}

} // namespace

// Guards against a request that is broken off, and may have run, because its
// endpoint reads nothing for a time within the deadline. The endpoint is there:
// it acknowledges the probes of its closed window.
TEST_CASE("a body may wait for an endpoint that pauses within the deadline") {
  SlowEndpoint Endpoint(milliseconds(5'000), 65'536, milliseconds(0));
  const auto Outcome = sendBody(Endpoint, std::chrono::seconds(15));
  CHECK(Outcome.End == UpstreamEnd::Complete);
  CHECK(Outcome.Body == "done");
}

// Guards against a request that is broken off because its endpoint reads it
// slowly, but without a long pause.
TEST_CASE("a body that is read slowly arrives whole") {
  SlowEndpoint Endpoint(milliseconds(0), 65'536, milliseconds(10));
  const auto Outcome = sendBody(Endpoint, std::chrono::seconds(15));
  CHECK(Outcome.End == UpstreamEnd::Complete);
  CHECK(Outcome.Body == "done");
}

// Guards against a body that is held for an endpoint that does not read it in
// time.
TEST_CASE("a body that is not read in time ends at the deadline") {
  SlowEndpoint Endpoint(std::chrono::seconds(60), 65'536, milliseconds(0));
  const auto Begin = std::chrono::steady_clock::now();
  const auto Outcome = sendBody(Endpoint, milliseconds(1'000));
  CHECK(Outcome.End == UpstreamEnd::TimedOut);
  CHECK(std::chrono::steady_clock::now() - Begin < std::chrono::seconds(3));
}

} // namespace hyssoprail
