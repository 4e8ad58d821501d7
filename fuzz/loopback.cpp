#include "loopback.hpp"

#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support.hpp"

namespace hyssoprail::fuzz {
namespace {

sockaddr_in loopbackAddress(std::uint16_t Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Port);
  Out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Out;
}

} // namespace

LoopbackSocket::LoopbackSocket(int Descriptor) : Descriptor(Descriptor) {
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

LoopbackSocket::~LoopbackSocket() {
  if (Descriptor < 0)
    return;
  std::string Ignored;
  if (receive(Ignored))
    ::shutdown(Descriptor, SHUT_WR);
  const linger Reset{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
  ::close(Descriptor);
}

LoopbackSocket LoopbackSocket::connectTo(std::uint16_t Port) {
  LoopbackSocket Out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in To = loopbackAddress(Port);
  require(::connect(Out.Descriptor, reinterpret_cast<const sockaddr *>(&To),
                    sizeof To) == 0,
          "the loopback address accepts connections");
  return Out;
}

void LoopbackSocket::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const auto Sent = ::send(Descriptor, Bytes.data(), Bytes.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

bool LoopbackSocket::receive(std::string &Out) {
  std::array<char, 16'384> Data{};
  for (;;) {
    const auto Size =
        ::recv(Descriptor, Data.data(), Data.size(), MSG_DONTWAIT);
    if (Size <= 0)
      return Size < 0 && errno == EAGAIN;
    Out.append(Data.data(), static_cast<std::size_t>(Size));
  }
}

LoopbackListener::LoopbackListener()
    : Descriptor(
          ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  constexpr int Backlog = 64;
  sockaddr_in Address = loopbackAddress(0);
  socklen_t Size = sizeof Address;
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  require(::bind(Descriptor, Generic, Size) == 0 &&
              ::listen(Descriptor, Backlog) == 0 &&
              ::getsockname(Descriptor, Generic, &Size) == 0,
          "a port of the loopback address is free");
  Port = ntohs(Address.sin_port);
}

LoopbackListener::~LoopbackListener() { ::close(Descriptor); }

std::optional<LoopbackSocket> LoopbackListener::accept() {
  const int Accepted = ::accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
  if (Accepted < 0)
    return std::nullopt;
  return LoopbackSocket(Accepted);
}

} // namespace hyssoprail::fuzz
