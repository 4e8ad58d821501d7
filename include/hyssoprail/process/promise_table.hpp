#ifndef HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP
#define HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP

#include <cstdint>
#include <map>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Promises that this process has given: until when it must not append a
/// take-over of an owner's shards.
class PromiseTable {
public:
  void add(std::uint64_t Owner, TimePoint Until);

  /// True if this process may append a take-over of \p Owner's shards.
  bool allowsTakeOver(std::uint64_t Owner, TimePoint Now) const;

  /// Forgets promises that have ended.
  void tick(TimePoint Now);

private:
  std::map<std::uint64_t, TimePoint> ExpiryByOwner;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_PROMISE_TABLE_HPP
