#include "hyssoprail/connection/ip_port.hpp"

#include <charconv>
#include <string>

namespace hyssoprail {

std::optional<IpPort> parseIpPort(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  IpPort Out;
  boost::system::error_code Code;
  Out.Ip =
      boost::asio::ip::make_address(std::string(Text.substr(0, Colon)), Code);
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Out.Port);
  if (Code || Parsed.ec != std::errc() || Parsed.ptr != End || Out.Port == 0)
    return std::nullopt;
  return Out;
}

} // namespace hyssoprail
