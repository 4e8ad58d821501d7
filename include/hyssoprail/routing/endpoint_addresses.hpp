#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_ADDRESSES_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_ADDRESSES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hyssoprail/routing/endpoint_record.hpp"

namespace hyssoprail::routing {

/// The registered endpoints of each address, by start time. Endpoints of
/// unknown start time are left out. Load pattern: an address is used again
/// while the registration of its former endpoint is still listed.
class EndpointAddresses {
public:
  void add(const EndpointRecord &Record);
  void remove(const EndpointRecord &Record);

  /// True if an endpoint at the address of \p Record has started later.
  bool hasNewer(const EndpointRecord &Record) const;

  /// If \p Record, which was added last, is the newest at its address: the
  /// endpoints there that were the newest before it. Those that started earlier
  /// were returned, or had a newer one, when they were added.
  std::vector<std::string> replacedBy(const EndpointRecord &Record) const;

  std::size_t size() const { return ByAddress.size(); }

private:
  using StartAndId = std::pair<std::int64_t, std::string>;

  std::map<std::string, std::set<StartAndId>, std::less<>> ByAddress;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_ADDRESSES_HPP
