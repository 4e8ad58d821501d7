#include "hyssoprail/routing/leaving_endpoints.hpp"

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

std::uint64_t itemDigest(std::string_view Id, std::int64_t StartedAtMs) {
  return stableHash(fmt::format("{}@{}", Id, StartedAtMs));
}

} // namespace

void LeavingEndpoints::set(const std::string &Id, std::int64_t StartedAtMs) {
  erase(Id);
  ById.emplace(Id, StartedAtMs);
  Digest ^= itemDigest(Id, StartedAtMs);
}

void LeavingEndpoints::erase(std::string_view Id) {
  const auto It = ById.find(Id);
  if (It == ById.end())
    return;
  Digest ^= itemDigest(It->first, It->second);
  ById.erase(It);
}

} // namespace hyssoprail::routing
