#ifndef HYSSOPRAIL_PROCESS_TAKE_OVER_PLANNER_HPP
#define HYSSOPRAIL_PROCESS_TAKE_OVER_PLANNER_HPP

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/limit_options.hpp"
#include "hyssoprail/process/limit_view.hpp"
#include "hyssoprail/process/promise_table.hpp"

namespace hyssoprail {

/// A take-over record to append. It is sent again with the same operation id
/// until each of its shards has a new epoch, as an append without a reply may
/// still take effect. It is dropped when this process rejoins, because the
/// record names the membership (JoinedOffset) under which it was proposed.
struct TakeOverProposal {
  std::string OperationId;
  std::uint64_t JoinedOffset = 0; ///< of this process's Member record
  std::vector<std::uint32_t> Shards;
  std::vector<std::uint64_t> Replaces; ///< epoch to replace, for each shard
  TimePoint NextSend;
};

/// Decides which shards this process tries to take over, and keeps the
/// proposals whose outcome is not known yet.
class TakeOverPlanner {
public:
  TakeOverPlanner(const LimitOptions &Options, std::uint64_t Self);

  /// Applies a newer state and drops the proposals that it decides.
  void viewApplied(const LimitView &View, TimePoint Now);

  /// Replaces the list of live entries.
  void setLivePeers(std::vector<LivePeer> Peers);

  /// Returns the proposals to append now, new ones and repetitions.
  std::vector<TakeOverProposal> plan(const LimitView &View,
                                     const PromiseTable &Promises,
                                     RandomSource &Random, TimePoint Now);

  /// True if this process may act on its take-over at \p Epoch, that is, it is
  /// a member since before \p Epoch without having been removed.
  bool memberSince(const LimitView &View, std::uint64_t Epoch) const;

  /// Epoch that this process's newest proposal for \p Shard replaces. If this
  /// process owns the shard, this is the epoch before the current one.
  std::uint64_t replacedEpoch(std::uint32_t Shard) const {
    return LastReplacedEpoch[Shard];
  }

  /// True if this process never proposed to replace an epoch of \p Shard. If it
  /// owns the shard, nobody owned the shard before.
  bool isFirstOwner(std::uint32_t Shard) const {
    return !HasReplacedEpoch.test(Shard);
  }

private:
  bool mayTakeOver(const LimitView &View, const LimitShardOwner &Current,
                   TimePoint Now) const;
  bool needsNewOwner(const LimitView &View,
                     const LimitShardOwner &Current) const;
  std::optional<std::size_t> rank(const LimitView &View,
                                  std::uint32_t Shard) const;

  LimitOptions Options;
  std::uint64_t Self;
  std::map<std::uint64_t, LivePeer> Live;
  std::map<std::uint64_t, std::uint64_t> ReportedVersions;
  std::optional<TimePoint> JoinedAt; ///< when this process saw that it joined
  std::uint64_t JoinedOffset = 0;
  std::array<std::optional<TimePoint>, LimitShardCount> NeedsOwnerSince;
  std::array<std::uint64_t, LimitShardCount> LastReplacedEpoch{};
  std::bitset<LimitShardCount> OpenShards; ///< with an undecided proposal
  std::bitset<LimitShardCount> HasReplacedEpoch;
  std::vector<TakeOverProposal> Proposals;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TAKE_OVER_PLANNER_HPP
