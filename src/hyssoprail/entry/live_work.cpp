#include "hyssoprail/entry/live_work.hpp"

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::entry {

void LiveWork::add(const std::string &Endpoint, const wire::WorkRef &Work) {
  Shard &S = shard(Endpoint);
  std::lock_guard Lock(S.Mutex);
  S.ByEndpoint[Endpoint].insert_or_assign(key(Work), Work);
}

void LiveWork::remove(const std::string &Endpoint, const wire::WorkRef &Work) {
  Shard &S = shard(Endpoint);
  std::lock_guard Lock(S.Mutex);
  const auto It = S.ByEndpoint.find(Endpoint);
  if (It == S.ByEndpoint.end())
    return;
  It->second.erase(key(Work));
  if (It->second.empty())
    S.ByEndpoint.erase(It);
}

std::vector<wire::WorkRef> LiveWork::list(std::string_view Endpoint) const {
  const Shard &S = shard(Endpoint);
  std::lock_guard Lock(S.Mutex);
  std::vector<wire::WorkRef> Out;
  const auto It = S.ByEndpoint.find(Endpoint);
  if (It == S.ByEndpoint.end())
    return Out;
  Out.reserve(It->second.size());
  for (const auto &[Key, Work] : It->second)
    Out.push_back(Work);
  return Out;
}

LiveWork::Shard &LiveWork::shard(std::string_view Endpoint) {
  return Shards[stableHash(Endpoint) % ShardCount];
}

const LiveWork::Shard &LiveWork::shard(std::string_view Endpoint) const {
  return Shards[stableHash(Endpoint) % ShardCount];
}

LiveWork::Key LiveWork::key(const wire::WorkRef &Work) {
  return {Work.request_id(), Work.attempt(), Work.leg()};
}

} // namespace hyssoprail::entry
