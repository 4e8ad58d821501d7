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

/// A take-over record to append. Sent again with the same operation id until
/// each of its shards has another epoch, as an append without an answer may
/// still take effect. Dropped when this process has joined anew, as the record
/// names the joining under which it was proposed.
struct TakeOverProposal {
  std::string OperationId;
  std::uint64_t JoinedOffset = 0; ///< of this process
  std::vector<std::uint32_t> Shards;
  std::vector<std::uint64_t> Replaces; ///< epoch of each shard
  TimePoint NextSend;
};

/// Decides which shards this process tries to take over, and keeps the
/// proposals whose outcome is open.
class TakeOverPlanner {
public:
  TakeOverPlanner(const LimitOptions &Options, std::uint64_t Self);

  /// Applies a newer state: closes decided proposals.
  void viewApplied(const LimitView &View, TimePoint Now);

  /// Applies what is known of the other entries.
  void setLivePeers(std::vector<LivePeer> Peers);

  /// Returns the proposals to append now.
  std::vector<TakeOverProposal> plan(const LimitView &View,
                                     const PromiseTable &Promises,
                                     RandomSource &Random, TimePoint Now);

  /// True if this process is a member that may act on its take-over at
  /// \p Epoch: it joined before and was not removed since.
  bool memberSince(const LimitView &View, std::uint64_t Epoch) const;

  /// Epoch that this process's newest proposal for \p Shard replaces. If the
  /// shard's owner is this process, that is the epoch before the present one.
  std::uint64_t replacedEpoch(std::uint32_t Shard) const {
    return LastReplacedEpoch[Shard];
  }

  /// True if every proposal for \p Shard so far replaced no epoch, so that
  /// nobody owned the shard before.
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
  std::optional<TimePoint> JoinedAt; ///< when this process saw itself joined
  std::uint64_t JoinedOffset = 0;
  std::array<std::optional<TimePoint>, LimitShardCount> NeedsOwnerSince;
  std::array<std::uint64_t, LimitShardCount> LastReplacedEpoch{};
  std::bitset<LimitShardCount> OpenShards;
  std::bitset<LimitShardCount> HasReplacedEpoch;
  std::vector<TakeOverProposal> Proposals;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TAKE_OVER_PLANNER_HPP
