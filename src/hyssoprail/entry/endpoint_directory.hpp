#ifndef HYSSOPRAIL_ENTRY_ENDPOINT_DIRECTORY_HPP
#define HYSSOPRAIL_ENTRY_ENDPOINT_DIRECTORY_HPP

#include <map>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/version/config_state.hpp"

namespace hyssoprail::entry {

/// Addresses of the agents by endpoint, from the configuration. An endpoint
/// that was removed keeps its address, so that its last work can end.
class EndpointDirectory {
public:
  /// Takes a newer configuration. Returns the addresses that are new.
  std::vector<std::string> update(const ConfigState &Config);

  /// "tcp://IP:PORT" of the endpoint's agent, or "".
  std::string addressOf(std::string_view Endpoint) const;

  /// Endpoint whose agent has this address, or "".
  std::string endpointAt(std::string_view Address) const;

  /// All addresses.
  std::vector<std::string> addresses() const;

private:
  mutable std::shared_mutex Mutex;
  std::map<std::string, std::string, std::less<>> AddressByEndpoint;
  std::map<std::string, std::string, std::less<>> EndpointByAddress;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_ENDPOINT_DIRECTORY_HPP
