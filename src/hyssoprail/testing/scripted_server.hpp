#ifndef HYSSOPRAIL_TESTING_SCRIPTED_SERVER_HPP
#define HYSSOPRAIL_TESTING_SCRIPTED_SERVER_HPP

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::testing {

/// What a scripted server does with one request.
struct ScriptedAnswer {
  std::string Bytes;
  bool Close = false; ///< ends the connection after the bytes
  bool Reset = false; ///< ends it with a reset
};

/// Gives fixed bytes for each request that arrives, in order, on any number of
/// connections. A request ends with its blank line.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<ScriptedAnswer> Script)
      : Script(Script.begin(), Script.end()),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  ~ScriptedServer() { Loop.stop(); }

  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  unsigned connections() const { return Connections; }
  unsigned requests() const { return Requests; }

private:
  using Tcp = boost::asio::ip::tcp;

  struct Peer {
    explicit Peer(Tcp::socket S) : Socket(std::move(S)) {}
    Tcp::socket Socket;
    std::array<char, 8192> Data{};
    std::string Received;
  };

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Code, Tcp::socket S) {
          if (Code)
            return;
          ++Connections;
          read(std::make_shared<Peer>(std::move(S)));
          accept();
        });
  }

  void read(const std::shared_ptr<Peer> &P) {
    P->Socket.async_read_some(
        boost::asio::buffer(P->Data),
        [this, P](boost::system::error_code Code, std::size_t Size) {
          if (Code)
            return;
          P->Received.append(P->Data.data(), Size);
          const std::size_t End = P->Received.find("\r\n\r\n");
          if (End == std::string::npos)
            return read(P);
          P->Received.erase(0, End + 4);
          answer(P);
        });
  }

  void answer(const std::shared_ptr<Peer> &P) {
    ++Requests;
    if (Script.empty())
      return read(P);
    const ScriptedAnswer A = Script.front();
    Script.pop_front();
    boost::system::error_code Ignored;
    boost::asio::write(P->Socket, boost::asio::buffer(A.Bytes), Ignored);
    if (A.Reset)
      P->Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    if (A.Close || A.Reset)
      P->Socket.close(Ignored);
    else
      read(P);
  }

  std::deque<ScriptedAnswer> Script;
  std::atomic<unsigned> Connections{0};
  std::atomic<unsigned> Requests{0};
  LoopThread Loop;
  Tcp::acceptor Acceptor;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_SCRIPTED_SERVER_HPP
