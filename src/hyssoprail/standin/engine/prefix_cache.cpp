#include "hyssoprail/standin/engine/prefix_cache.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::standin {
namespace {

constexpr std::size_t MaxEvents = 10'000;
constexpr std::size_t MaxEventsPerAnswer = 1'000;

} // namespace

PrefixCache::PrefixCache(std::uint64_t CapacityTokens,
                         std::chrono::milliseconds Delay, double Loss,
                         std::uint64_t Seed)
    : CapacityBlocks(
          std::max<std::uint64_t>(1, CapacityTokens / PrefixBlockTokens)),
      Delay(Delay), Loss(Loss), Random(Seed) {}

std::uint64_t PrefixCache::cachedTokens(const std::string &Prompt) const {
  std::uint64_t Count = 0;
  for (const std::uint64_t Hash : prefixHashes(Prompt)) {
    if (!Blocks.contains(Hash))
      break;
    Count += PrefixBlockTokens;
  }
  return Count;
}

void PrefixCache::store(const std::string &Prompt, Time Now) {
  for (const std::uint64_t Hash : prefixHashes(Prompt)) {
    const auto It = Blocks.find(Hash);
    if (It != Blocks.end()) {
      Newest.splice(Newest.begin(), Newest, It->second);
      continue;
    }
    Newest.push_front(Hash);
    Blocks[Hash] = Newest.begin();
    record(Hash, true, Now);
  }
  while (Blocks.size() > CapacityBlocks) {
    record(Newest.back(), false, Now);
    Blocks.erase(Newest.back());
    Newest.pop_back();
  }
}

void PrefixCache::clear() {
  Newest.clear();
  Blocks.clear();
  Events.clear();
}

void PrefixCache::record(std::uint64_t Prefix, bool Stored, Time Now) {
  ++LastSeq;
  if (Random.unit() < Loss)
    return;
  Events.push_back({LastSeq, Prefix, Stored, Now + Delay});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

Json PrefixCache::events(std::uint64_t After, Time Now) const {
  Json List = Json::array();
  std::uint64_t Next = After;
  for (const CacheEvent &E : Events) {
    if (E.Seq <= After)
      continue;
    if (E.VisibleAt > Now || List.size() >= MaxEventsPerAnswer)
      break;
    List.push_back({{"seq", E.Seq},
                    {"prefix", fmt::format("{:016x}", E.Prefix)},
                    {"stored", E.Stored}});
    Next = E.Seq;
  }
  return {{"next", Next}, {"events", std::move(List)}};
}

} // namespace hyssoprail::standin
