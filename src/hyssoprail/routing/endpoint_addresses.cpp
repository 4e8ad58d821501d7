#include "hyssoprail/routing/endpoint_addresses.hpp"

#include <iterator>

namespace hyssoprail::routing {

void EndpointAddresses::add(const EndpointRecord &Record) {
  if (Record.StartedAtMs > 0)
    ByAddress[Record.Address].emplace(Record.StartedAtMs, Record.Id);
}

void EndpointAddresses::remove(const EndpointRecord &Record) {
  const auto It = ByAddress.find(Record.Address);
  if (It == ByAddress.end())
    return;
  It->second.erase({Record.StartedAtMs, Record.Id});
  if (It->second.empty())
    ByAddress.erase(It);
}

bool EndpointAddresses::hasNewer(const EndpointRecord &Record) const {
  const auto It = ByAddress.find(Record.Address);
  return Record.StartedAtMs > 0 && It != ByAddress.end() &&
         It->second.rbegin()->first > Record.StartedAtMs;
}

std::vector<std::string>
EndpointAddresses::replacedBy(const EndpointRecord &Record) const {
  std::vector<std::string> Out;
  const auto It = ByAddress.find(Record.Address);
  if (It == ByAddress.end() || It->second.size() < 2 ||
      *It->second.rbegin() != StartAndId{Record.StartedAtMs, Record.Id})
    return Out;
  auto Earlier = std::next(It->second.rbegin());
  const std::int64_t LastStart = Earlier->first;
  // An equal start has replaced the earlier ones already.
  if (LastStart == Record.StartedAtMs)
    return Out;
  for (; Earlier != It->second.rend() && Earlier->first == LastStart; ++Earlier)
    Out.push_back(Earlier->second);
  return Out;
}

} // namespace hyssoprail::routing
