#ifndef HYSSOPRAIL_PROCESS_LIMIT_VIEW_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_VIEW_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hyssoprail/process/account_limits.hpp"

namespace hyssoprail {

/// Owner of a shard in the state reduced from the log. With Epoch 0 the shard
/// had no owner yet.
struct LimitShardOwner {
  std::uint64_t Owner = 0; ///< incarnation
  std::uint64_t Epoch = 0; ///< offset of the take-over record
};

/// An entry that is a member in the state reduced from the log.
struct LimitMember {
  std::uint64_t Incarnation = 0;
  std::string Address;            ///< "tcp://IP:PORT"
  std::uint64_t JoinedOffset = 0; ///< offset of its Member record
};

/// Immutable snapshot of the part of the reduced state that limits depend on.
/// Contains the effect of every log record up to offset Version.
struct LimitView {
  std::uint64_t Version = 0;
  AccountLimitsPtr Accounts = std::make_shared<AccountLimits>();
  std::array<LimitShardOwner, LimitShardCount> Owners{};
  std::vector<LimitMember> Members;

  /// Member with this incarnation; null if there is none.
  const LimitMember *member(std::uint64_t Incarnation) const;

  /// Highest epoch of any shard: the offset of the newest take-over in effect.
  std::uint64_t newestEpoch() const;
};

using LimitViewPtr = std::shared_ptr<const LimitView>;

/// An entry that is alive according to its heartbeats.
struct LivePeer {
  std::uint64_t Incarnation = 0;
  std::uint64_t Version = 0; ///< newest version it reported
  bool Leaving = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_VIEW_HPP
