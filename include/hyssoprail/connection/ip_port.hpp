#ifndef HYSSOPRAIL_CONNECTION_IP_PORT_HPP
#define HYSSOPRAIL_CONNECTION_IP_PORT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/asio/ip/address.hpp>

namespace hyssoprail {

/// An address to connect or bind to.
struct IpPort {
  boost::asio::ip::address Ip;
  std::uint16_t Port = 0;
};

/// Parses "IP:PORT". Returns nullopt if the IP is not a numeric address or the
/// port is not between 1 and 65535.
std::optional<IpPort> parseIpPort(std::string_view Text);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_IP_PORT_HPP
