#include "hyssoprail/process/take_over_planner.hpp"

#include <algorithm>
#include <string_view>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

std::uint64_t shardWeight(std::uint32_t Shard, std::uint64_t Incarnation) {
  return rendezvousWeight("limit/" + std::to_string(Shard),
                          hexId(0, Incarnation));
}

} // namespace

TakeOverPlanner::TakeOverPlanner(const LimitOptions &Options,
                                 std::uint64_t Self)
    : Options(Options), Self(Self) {}

void TakeOverPlanner::viewApplied(const LimitView &View, TimePoint Now) {
  const LimitMember *SelfMember = View.member(Self);
  if (!SelfMember) {
    JoinedAt.reset();
    JoinedOffset = 0;
  } else if (SelfMember->JoinedOffset != JoinedOffset) {
    JoinedAt = Now;
    JoinedOffset = SelfMember->JoinedOffset;
  }
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard)
    if (OpenShards.test(Shard) &&
        View.Owners[Shard].Epoch != LastReplacedEpoch[Shard])
      OpenShards.reset(Shard);
  // The version that an owner reported is kept while it owns a shard, even if
  // it is no longer a member: a restarted process may replace its member record
  // before its shards are taken over.
  std::erase_if(ReportedVersions, [&](const auto &Reported) {
    return !View.member(Reported.first) && !Live.contains(Reported.first) &&
           std::none_of(View.Owners.begin(), View.Owners.end(),
                        [&](const LimitShardOwner &Current) {
                          return Current.Owner == Reported.first;
                        });
  });
  for (const TakeOverProposal &P : Proposals)
    if (P.JoinedOffset != JoinedOffset)
      for (const std::uint32_t Shard : P.Shards)
        OpenShards.reset(Shard);
  std::erase_if(Proposals, [&](const TakeOverProposal &P) {
    return std::none_of(
        P.Shards.begin(), P.Shards.end(),
        [&](std::uint32_t Shard) { return OpenShards.test(Shard); });
  });
}

void TakeOverPlanner::setLivePeers(std::vector<LivePeer> Peers) {
  Live.clear();
  for (LivePeer &Peer : Peers) {
    std::uint64_t &Reported = ReportedVersions[Peer.Incarnation];
    Reported = std::max(Reported, Peer.Version);
    Live.emplace(Peer.Incarnation, Peer);
  }
}

bool TakeOverPlanner::memberSince(const LimitView &View,
                                  std::uint64_t Epoch) const {
  const LimitMember *SelfMember = View.member(Self);
  return SelfMember && SelfMember->JoinedOffset < Epoch;
}

/// An owner that cannot read the log extends its lease by promises of the
/// members it knows. A take-over is safe if it knows this process and so must
/// ask it: if this process joined before the owner's epoch, or if the owner has
/// reported a version that includes the join. Otherwise this process waits
/// until OutageGrace has ended for an owner that last read the log before the
/// join.
bool TakeOverPlanner::mayTakeOver(const LimitView &View,
                                  const LimitShardOwner &Current,
                                  TimePoint Now) const {
  const LimitMember *SelfMember = View.member(Self);
  if (!SelfMember || !JoinedAt)
    return false;
  if (Current.Epoch == 0 || SelfMember->JoinedOffset < Current.Epoch)
    return true;
  const auto Reported = ReportedVersions.find(Current.Owner);
  if (Reported != ReportedVersions.end() &&
      Reported->second >= SelfMember->JoinedOffset)
    return true;
  return Now - *JoinedAt >= Options.driftSafeWait(Options.OutageGrace);
}

bool TakeOverPlanner::needsNewOwner(const LimitView &View,
                                    const LimitShardOwner &Current) const {
  if (Current.Owner == 0 || !View.member(Current.Owner))
    return true;
  // A process that was removed and rejoined must not continue its old epoch.
  if (Current.Owner == Self)
    return !memberSince(View, Current.Epoch);
  const auto It = Live.find(Current.Owner);
  return It == Live.end() || It->second.Leaving;
}

/// Rank of this process among the live members by rendezvous weight; nullopt if
/// it is leaving or not a member.
std::optional<std::size_t> TakeOverPlanner::rank(const LimitView &View,
                                                 std::uint32_t Shard) const {
  const auto SelfPeer = Live.find(Self);
  if (!View.member(Self) ||
      (SelfPeer != Live.end() && SelfPeer->second.Leaving))
    return std::nullopt;
  const std::uint64_t SelfWeight = shardWeight(Shard, Self);
  std::size_t Rank = 0;
  for (const LimitMember &M : View.Members) {
    const auto It = Live.find(M.Incarnation);
    if (M.Incarnation == Self || It == Live.end() || It->second.Leaving)
      continue;
    if (shardWeight(Shard, M.Incarnation) > SelfWeight)
      ++Rank;
  }
  return Rank;
}

std::vector<TakeOverProposal>
TakeOverPlanner::plan(const LimitView &View, const PromiseTable &Promises,
                      RandomSource &Random, TimePoint Now) {
  TakeOverProposal New;
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard) {
    const LimitShardOwner &Current = View.Owners[Shard];
    std::optional<TimePoint> &Since = NeedsOwnerSince[Shard];
    if (!needsNewOwner(View, Current)) {
      Since.reset();
      continue;
    }
    if (!Since)
      Since = Now;
    const auto Rank = rank(View, Shard);
    if (OpenShards.test(Shard) || !Rank || !mayTakeOver(View, Current, Now) ||
        !Promises.allowsTakeOver(Current.Owner, Now))
      continue;
    // An owner that is leaving is alive and hands its buckets over, so there is
    // no need to wait.
    const auto LiveOwner = Live.find(Current.Owner);
    const bool OwnerLeaves =
        LiveOwner != Live.end() && LiveOwner->second.Leaving;
    const Duration Delay = Current.Epoch == 0 || OwnerLeaves
                               ? Duration::zero()
                               : Options.TakeOverDelay;
    if (Now - *Since <
        Delay + static_cast<int>(*Rank) * Options.TakeOverStagger)
      continue;
    New.Shards.push_back(Shard);
    New.Replaces.push_back(Current.Epoch);
    OpenShards.set(Shard);
    LastReplacedEpoch[Shard] = Current.Epoch;
    if (Current.Epoch != 0)
      HasReplacedEpoch.set(Shard);
  }
  if (!New.Shards.empty()) {
    New.OperationId = hexId(Random.identifier(), Random.identifier());
    New.JoinedOffset = JoinedOffset;
    New.NextSend = Now;
    Proposals.push_back(std::move(New));
  }
  std::vector<TakeOverProposal> Due;
  for (TakeOverProposal &P : Proposals) {
    if (P.NextSend > Now)
      continue;
    P.NextSend = Now + Options.AppendRetryInterval;
    Due.push_back(P);
  }
  return Due;
}

} // namespace hyssoprail
