#include "hyssoprail/process/limit_view.hpp"

#include <algorithm>

namespace hyssoprail {

const LimitMember *LimitView::member(std::uint64_t Incarnation) const {
  const auto It =
      std::find_if(Members.begin(), Members.end(), [&](const LimitMember &M) {
        return M.Incarnation == Incarnation;
      });
  return It == Members.end() ? nullptr : &*It;
}

std::uint64_t LimitView::newestEpoch() const {
  std::uint64_t Newest = 0;
  for (const LimitShardOwner &O : Owners)
    Newest = std::max(Newest, O.Epoch);
  return Newest;
}

} // namespace hyssoprail
