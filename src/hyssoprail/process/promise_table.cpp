#include "hyssoprail/process/promise_table.hpp"

#include <algorithm>

namespace hyssoprail {

void PromiseTable::promise(std::uint64_t Owner, TimePoint To) {
  TimePoint &End = Until[Owner];
  End = std::max(End, To);
}

bool PromiseTable::freeOf(std::uint64_t Owner, TimePoint Now) const {
  const auto It = Until.find(Owner);
  return It == Until.end() || It->second <= Now;
}

void PromiseTable::tick(TimePoint Now) {
  std::erase_if(Until, [&](const auto &Row) { return Row.second <= Now; });
}

} // namespace hyssoprail
