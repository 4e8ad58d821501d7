#ifndef HYSSOPRAIL_TESTING_UDP_ADDRESS_HPP
#define HYSSOPRAIL_TESTING_UDP_ADDRESS_HPP

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace hyssoprail::testing {

/// An "IP:PORT" on the loopback interface that is free for datagrams.
inline std::string freeUdpAddress() {
  boost::asio::io_context Context;
  const boost::asio::ip::udp::socket Socket(
      Context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(Socket.local_endpoint().port());
}

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_UDP_ADDRESS_HPP
