#ifndef HYSSOPRAIL_FUZZ_LOOPBACK_HPP
#define HYSSOPRAIL_FUZZ_LOOPBACK_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoprail::fuzz {

/// The far end of a TCP connection on the loopback address. Never blocks, so a
/// target can use it on the thread of the event loop that serves the near end.
class LoopbackSocket {
public:
  explicit LoopbackSocket(int Descriptor);
  LoopbackSocket(LoopbackSocket &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  LoopbackSocket &operator=(LoopbackSocket &&) = delete;

  /// Ends the sending direction unless the other side has closed first, then
  /// resets the connection: the other side reads what was sent and the end of
  /// the stream. A normal close would leave a port in TIME_WAIT, and hundreds
  /// of inputs a second use up all ports.
  ~LoopbackSocket();

  static LoopbackSocket connectTo(std::uint16_t Port);

  /// Sends what the socket buffer takes of \p Bytes.
  void send(std::string_view Bytes);

  /// Appends what has arrived to \p Out. Returns false if the other side has
  /// closed the connection.
  bool receive(std::string &Out);

private:
  int Descriptor;
};

class LoopbackListener {
public:
  LoopbackListener();
  ~LoopbackListener();
  LoopbackListener(const LoopbackListener &) = delete;
  LoopbackListener &operator=(const LoopbackListener &) = delete;

  std::uint16_t port() const { return Port; }

  /// The next connection; nullopt if there is none.
  std::optional<LoopbackSocket> accept();

private:
  int Descriptor;
  std::uint16_t Port = 0;
};

} // namespace hyssoprail::fuzz

#endif // HYSSOPRAIL_FUZZ_LOOPBACK_HPP
