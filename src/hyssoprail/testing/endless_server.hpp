#ifndef HYSSOPRAIL_TESTING_ENDLESS_SERVER_HPP
#define HYSSOPRAIL_TESTING_ENDLESS_SERVER_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::testing {

/// Answers each request with a prefix and then repeats a block until the client
/// closes the connection.
class EndlessServer {
public:
  /// \p Pause is the time between two blocks.
  EndlessServer(std::string Prefix, std::string Block,
                std::chrono::milliseconds Pause = {})
      : Prefix(std::move(Prefix)), Block(std::move(Block)), Pause(Pause),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  ~EndlessServer() { Loop.stop(); }

  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  std::size_t sentBytes() const { return Sent; }
  unsigned requests() const { return Requests; }

  /// True if every client has closed its connection.
  bool closed() const { return Open == 0; }

private:
  using Tcp = boost::asio::ip::tcp;

  struct Peer {
    explicit Peer(Tcp::socket S)
        : Socket(std::move(S)), Timer(Socket.get_executor()) {}
    Tcp::socket Socket;
    boost::asio::steady_timer Timer;
    std::array<char, 8192> Data{};
  };

  using PeerPtr = std::shared_ptr<Peer>;

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Code, Tcp::socket S) {
          if (Code)
            return;
          ++Open;
          readRequest(std::make_shared<Peer>(std::move(S)));
          accept();
        });
  }

  void readRequest(const PeerPtr &P) {
    P->Socket.async_read_some(
        boost::asio::buffer(P->Data),
        [this, P](boost::system::error_code Code, std::size_t) {
          if (Code) {
            --Open;
            return;
          }
          ++Requests;
          send(P, Prefix);
        });
  }

  void send(const PeerPtr &P, const std::string &Bytes) {
    boost::asio::async_write(
        P->Socket, boost::asio::buffer(Bytes),
        [this, P](boost::system::error_code Code, std::size_t Size) {
          Sent += Size;
          if (Code) {
            --Open;
            return;
          }
          sendLater(P);
        });
  }

  void sendLater(const PeerPtr &P) {
    P->Timer.expires_after(Pause);
    P->Timer.async_wait([this, P](boost::system::error_code Code) {
      if (!Code)
        send(P, Block);
    });
  }

  const std::string Prefix;
  const std::string Block;
  const std::chrono::milliseconds Pause;
  std::atomic<std::size_t> Sent{0};
  std::atomic<unsigned> Requests{0};
  std::atomic<int> Open{0};
  LoopThread Loop;
  Tcp::acceptor Acceptor;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_ENDLESS_SERVER_HPP
