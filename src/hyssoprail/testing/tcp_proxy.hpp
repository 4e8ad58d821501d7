#ifndef HYSSOPRAIL_TESTING_TCP_PROXY_HPP
#define HYSSOPRAIL_TESTING_TCP_PROXY_HPP

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::testing {

/// Forwards loopback connections to \p Target. Connections may be made silent:
/// they stay open and forward nothing. They may also be made slow, each for
/// itself.
class TcpProxy {
public:
  explicit TcpProxy(std::uint16_t Target)
      : Target(Target),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  ~TcpProxy() { Loop.stop(); }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  /// Connections accepted so far.
  unsigned accepted() const { return Accepted; }

  /// Makes the connections accepted so far silent for ever.
  void silenceOpen() { SilentUpTo = Accepted.load(); }

  /// Limits each direction of each connection; 0: no limit.
  void setBytesPerSecond(std::size_t Rate) { BytesPerSecond = Rate; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Pair {
    Pair(Socket In, boost::asio::io_context &Context, unsigned Number)
        : Near(std::move(In)), Far(Context),
          Number(Number), Pauses{boost::asio::steady_timer(Context),
                                 boost::asio::steady_timer(Context)} {}
    Socket Near;
    Socket Far;
    unsigned Number;
    std::array<std::array<char, 16384>, 2> Data{};
    std::array<boost::asio::steady_timer, 2> Pauses;
  };

  void accept() {
    Acceptor.async_accept([this](const auto &Code, Socket Near) {
      if (Code)
        return;
      auto P =
          std::make_shared<Pair>(std::move(Near), Loop.context(), ++Accepted);
      boost::system::error_code Ignored;
      P->Far.connect({boost::asio::ip::address_v4::loopback(), Target},
                     Ignored);
      pump(P, P->Near, P->Far, 0);
      pump(P, P->Far, P->Near, 1);
      accept();
    });
  }

  void pump(const std::shared_ptr<Pair> &P, Socket &From, Socket &To,
            std::size_t Side) {
    From.async_read_some(
        boost::asio::buffer(P->Data[Side]),
        [this, P, &From, &To, Side](const auto &Code, std::size_t Size) {
          // A silent pair keeps its sockets open until the proxy ends.
          if (P->Number <= SilentUpTo) {
            Kept.push_back(P);
            return;
          }
          boost::system::error_code Failure = Code;
          if (!Failure)
            boost::asio::write(
                To, boost::asio::buffer(P->Data[Side].data(), Size), Failure);
          if (!Failure)
            return pumpAfterPause(P, From, To, Side, Size);
          From.close(Failure);
          To.close(Failure);
        });
  }

  void pumpAfterPause(const std::shared_ptr<Pair> &P, Socket &From, Socket &To,
                      std::size_t Side, std::size_t Forwarded) {
    const std::size_t Rate = BytesPerSecond;
    if (Rate == 0)
      return pump(P, From, To, Side);
    constexpr std::size_t MicrosPerSecond = 1'000'000;
    P->Pauses[Side].expires_after(
        std::chrono::microseconds(Forwarded * MicrosPerSecond / Rate));
    P->Pauses[Side].async_wait([this, P, &From, &To, Side](const auto &Code) {
      if (!Code)
        pump(P, From, To, Side);
    });
  }

  LoopThread Loop;
  std::uint16_t Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<unsigned> Accepted{0};
  std::atomic<unsigned> SilentUpTo{0};
  std::atomic<std::size_t> BytesPerSecond{0};
  std::vector<std::shared_ptr<Pair>> Kept;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_TCP_PROXY_HPP
