#ifndef HYSSOPRAIL_ENTRY_LIVE_WORK_HPP
#define HYSSOPRAIL_ENTRY_LIVE_WORK_HPP

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail::entry {

/// Work that agents may hold for this entry, by endpoint. Work is added before
/// its first message is sent, so that a heartbeat built later lists it.
class LiveWork {
public:
  void add(const std::string &Endpoint, const wire::WorkRef &Work);
  void remove(const std::string &Endpoint, const wire::WorkRef &Work);
  std::vector<wire::WorkRef> list(std::string_view Endpoint) const;

private:
  using Key = std::tuple<std::string, std::uint32_t, int>;

  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    mutable std::mutex Mutex;
    std::map<std::string, std::map<Key, wire::WorkRef>, std::less<>> ByEndpoint;
  };

  Shard &shard(std::string_view Endpoint);
  const Shard &shard(std::string_view Endpoint) const;
  static Key key(const wire::WorkRef &Work);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_LIVE_WORK_HPP
