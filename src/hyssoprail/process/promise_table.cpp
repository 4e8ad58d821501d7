#include "hyssoprail/process/promise_table.hpp"

#include <algorithm>

namespace hyssoprail {

void PromiseTable::add(std::uint64_t Owner, TimePoint Until) {
  TimePoint &Expiry = ExpiryByOwner[Owner];
  Expiry = std::max(Expiry, Until);
}

bool PromiseTable::allowsTakeOver(std::uint64_t Owner, TimePoint Now) const {
  const auto It = ExpiryByOwner.find(Owner);
  return It == ExpiryByOwner.end() || It->second <= Now;
}

void PromiseTable::tick(TimePoint Now) {
  std::erase_if(ExpiryByOwner,
                [&](const auto &Promise) { return Promise.second <= Now; });
}

} // namespace hyssoprail
