#ifndef HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP
#define HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP

#include <cstdint>
#include <map>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Promises that this process has given to owners. A promise says that this
/// process appends no take-over of the owner's shards until the promise
/// expires.
class PromiseTable {
public:
  void add(std::uint64_t Owner, TimePoint Until);

  /// True if this process may append a take-over of \p Owner's shards.
  bool allowsTakeOver(std::uint64_t Owner, TimePoint Now) const;

  /// Removes expired promises.
  void tick(TimePoint Now);

private:
  std::map<std::uint64_t, TimePoint> ExpiryByOwner;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP
