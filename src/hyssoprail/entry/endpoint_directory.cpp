#include "hyssoprail/entry/endpoint_directory.hpp"

#include <mutex>

namespace hyssoprail::entry {

std::vector<std::string> EndpointDirectory::update(const ConfigState &Config) {
  std::vector<std::string> Added;
  std::unique_lock Lock(Mutex);
  for (const wire::Endpoint *E : Config.endpoints()) {
    std::string &Address = AddressByEndpoint[E->name()];
    if (Address == E->agent_address() || E->agent_address().empty())
      continue;
    Address = E->agent_address();
    EndpointByAddress[Address] = E->name();
    Added.push_back(Address);
  }
  return Added;
}

std::string EndpointDirectory::addressOf(std::string_view Endpoint) const {
  std::shared_lock Lock(Mutex);
  const auto It = AddressByEndpoint.find(Endpoint);
  return It == AddressByEndpoint.end() ? std::string() : It->second;
}

std::string EndpointDirectory::endpointAt(std::string_view Address) const {
  std::shared_lock Lock(Mutex);
  const auto It = EndpointByAddress.find(Address);
  return It == EndpointByAddress.end() ? std::string() : It->second;
}

std::vector<std::string> EndpointDirectory::addresses() const {
  std::shared_lock Lock(Mutex);
  std::vector<std::string> Out;
  for (const auto &[Address, Endpoint] : EndpointByAddress)
    Out.push_back(Address);
  return Out;
}

} // namespace hyssoprail::entry
