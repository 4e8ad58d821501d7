#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_LOAD_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_LOAD_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hyssoprail::routing {

/// Load placed on one endpoint.
struct EndpointLoad {
  std::int32_t Runs = 0;          ///< requests in progress
  std::int64_t Tokens = 0;        ///< KV cache tokens reserved for them
  std::int64_t PrefillTokens = 0; ///< prompt tokens still to be prefilled

  EndpointLoad &operator+=(const EndpointLoad &Other);
  EndpointLoad &operator-=(const EndpointLoad &Other);
  bool operator==(const EndpointLoad &) const = default;
};

/// Loads by endpoint id.
using LoadMap = std::map<std::string, EndpointLoad, std::less<>>;

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_LOAD_HPP
