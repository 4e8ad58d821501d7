#ifndef HYSSOPRAIL_TESTING_RAW_SOCKET_HPP
#define HYSSOPRAIL_TESTING_RAW_SOCKET_HPP

#include <array>
#include <cerrno>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <sys/time.h>

namespace hyssoprail::testing {

/// A blocking loopback connection for requests that no client would send.
class RawSocket {
public:
  explicit RawSocket(std::uint16_t Port) : Socket(Context) {
    Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
    const timeval Limit{10, 0};
    setReadLimit(std::chrono::seconds(10));
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &Limit,
               sizeof Limit);
  }

  /// Reads end after this time without data; 10 s if not set.
  void setReadLimit(std::chrono::milliseconds Limit) {
    const auto Seconds = std::chrono::floor<std::chrono::seconds>(Limit);
    const timeval Value{Seconds.count(),
                        std::chrono::microseconds(Limit - Seconds).count()};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Value,
               sizeof Value);
  }

  /// Sends \p Data; returns false if the connection broke.
  bool send(std::string_view Data) {
    boost::system::error_code Code;
    boost::asio::write(Socket, boost::asio::buffer(Data), Code);
    return !Code;
  }

  /// Returns everything up to the end of the connection, or up to 10 s without
  /// data.
  std::string readAll() {
    while (readSome()) {
    }
    return take();
  }

  /// Returns the data up to and including \p Mark, or less if the connection
  /// ends first.
  std::string readUntil(std::string_view Mark) {
    while (Received.find(Mark) == std::string::npos && readSome()) {
    }
    const std::size_t At = Received.find(Mark);
    if (At == std::string::npos)
      return take();
    std::string Out = Received.substr(0, At + Mark.size());
    Received.erase(0, At + Mark.size());
    return Out;
  }

  /// Returns the next \p Size bytes, or less if the connection ends first.
  std::string readExactly(std::size_t Size) {
    while (Received.size() < Size && readSome()) {
    }
    std::string Out = Received.substr(0, Size);
    Received.erase(0, Out.size());
    return Out;
  }

  /// Ends the sending side; answers can still be read.
  void finishSending() {
    boost::system::error_code Ignored;
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  }

  /// True if the connection ended with a reset.
  bool wasReset() const { return Reset; }

  /// True if the connection has ended and nothing is left to read.
  bool closedByPeer() {
    char Byte = 0;
    const ssize_t Size =
        recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EINTR);
  }

  /// Limits what the kernel receives ahead of reads.
  void setReceiveBuffer(int Bytes) {
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVBUF, &Bytes,
               sizeof Bytes);
  }

  void close() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

private:
  bool readSome() {
    std::array<char, 4096> Data{};
    const ssize_t Size =
        recv(Socket.native_handle(), Data.data(), Data.size(), 0);
    Reset = Reset || (Size < 0 && errno == ECONNRESET);
    if (Size <= 0)
      return false;
    Received.append(Data.data(), static_cast<std::size_t>(Size));
    return true;
  }

  std::string take() { return std::exchange(Received, {}); }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
  bool Reset = false;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_RAW_SOCKET_HPP
