#include "hyssoprail/process/take_over_planner.hpp"

#include <algorithm>
#include <string_view>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

std::uint64_t weight(std::uint32_t Shard, std::uint64_t Incarnation) {
  return rendezvousWeight("limit/" + std::to_string(Shard),
                          hexId(0, Incarnation));
}

} // namespace

TakeOverPlanner::TakeOverPlanner(const LimitOptions &Options,
                                 std::uint64_t Self)
    : Options(Options), Self(Self) {}

void TakeOverPlanner::viewApplied(const LimitView &View, TimePoint Now) {
  const LimitMember *Me = View.member(Self);
  if (!Me) {
    Joined.reset();
    JoinedOffset = 0;
  } else if (Me->JoinedOffset != JoinedOffset) {
    Joined = Now;
    JoinedOffset = Me->JoinedOffset;
  }
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard)
    if (Open.test(Shard) && View.Owners[Shard].Epoch != OpenReplaces[Shard])
      Open.reset(Shard);
  // What an owner reported stays known while it owns a shard: its member record
  // may be replaced by a restarted process before its shards are taken over.
  std::erase_if(HeardVersions, [&](const auto &Heard) {
    return !View.member(Heard.first) && !Live.contains(Heard.first) &&
           std::none_of(View.Owners.begin(), View.Owners.end(),
                        [&](const LimitShardOwner &Of) {
                          return Of.Owner == Heard.first;
                        });
  });
  for (const TakeOverProposal &P : Proposals)
    if (P.JoinedOffset != JoinedOffset)
      for (const std::uint32_t Shard : P.Shards)
        Open.reset(Shard);
  std::erase_if(Proposals, [&](const TakeOverProposal &P) {
    return std::none_of(P.Shards.begin(), P.Shards.end(),
                        [&](std::uint32_t Shard) { return Open.test(Shard); });
  });
}

void TakeOverPlanner::setLivePeers(std::vector<LivePeer> Peers) {
  Live.clear();
  for (LivePeer &Peer : Peers) {
    std::uint64_t &Heard = HeardVersions[Peer.Incarnation];
    Heard = std::max(Heard, Peer.Version);
    Live.emplace(Peer.Incarnation, Peer);
  }
}

bool TakeOverPlanner::memberSince(const LimitView &View,
                                  std::uint64_t Epoch) const {
  const LimitMember *Me = View.member(Self);
  return Me && Me->JoinedOffset < Epoch;
}

/// An owner on promises asks the members it knows. It knows this process if
/// this process joined before the owner's epoch, or if the owner has reported a
/// version that contains the joining. Otherwise this process waits until an
/// owner that last read the log before the joining is past its grace.
bool TakeOverPlanner::mayTakeFrom(const LimitView &View,
                                  const LimitShardOwner &From,
                                  TimePoint Now) const {
  const LimitMember *Me = View.member(Self);
  if (!Me || !Joined)
    return false;
  if (From.Epoch == 0 || Me->JoinedOffset < From.Epoch)
    return true;
  const auto Heard = HeardVersions.find(From.Owner);
  if (Heard != HeardVersions.end() && Heard->second >= Me->JoinedOffset)
    return true;
  return Now - *Joined >= Options.driftSafeWait(Options.OutageGrace);
}

bool TakeOverPlanner::ownerGone(const LimitView &View,
                                const LimitShardOwner &Of) const {
  if (Of.Owner == 0 || !View.member(Of.Owner))
    return true;
  // After a removal and a new joining the old epoch may not be used again.
  if (Of.Owner == Self)
    return !memberSince(View, Of.Epoch);
  const auto It = Live.find(Of.Owner);
  return It == Live.end() || It->second.Leaving;
}

/// Rank of this process among the live members by rendezvous weight; nullopt if
/// it is leaving or not a member.
std::optional<std::size_t> TakeOverPlanner::rank(const LimitView &View,
                                                 std::uint32_t Shard) const {
  const auto Me = Live.find(Self);
  if (!View.member(Self) || (Me != Live.end() && Me->second.Leaving))
    return std::nullopt;
  const std::uint64_t Mine = weight(Shard, Self);
  std::size_t Rank = 0;
  for (const LimitMember &M : View.Members) {
    const auto It = Live.find(M.Incarnation);
    if (M.Incarnation == Self || It == Live.end() || It->second.Leaving)
      continue;
    if (weight(Shard, M.Incarnation) > Mine)
      ++Rank;
  }
  return Rank;
}

std::vector<TakeOverProposal>
TakeOverPlanner::plan(const LimitView &View, const PromiseTable &Promises,
                      RandomSource &Random, TimePoint Now) {
  TakeOverProposal New;
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard) {
    const LimitShardOwner &From = View.Owners[Shard];
    std::optional<TimePoint> &Gone = GoneSince[Shard];
    if (!ownerGone(View, From)) {
      Gone.reset();
      continue;
    }
    if (!Gone)
      Gone = Now;
    const auto Rank = rank(View, Shard);
    if (Open.test(Shard) || !Rank || !mayTakeFrom(View, From, Now) ||
        !Promises.freeOf(From.Owner, Now))
      continue;
    // An owner that leaves is alive and hands over, so nothing speaks for
    // waiting.
    const auto Of = Live.find(From.Owner);
    const bool Leaves = Of != Live.end() && Of->second.Leaving;
    const Duration Delay =
        From.Epoch == 0 || Leaves ? Duration::zero() : Options.TakeOverDelay;
    if (Now - *Gone < Delay + static_cast<int>(*Rank) * Options.TakeOverStagger)
      continue;
    New.Shards.push_back(Shard);
    New.Replaces.push_back(From.Epoch);
    Open.set(Shard);
    OpenReplaces[Shard] = From.Epoch;
    if (From.Epoch != 0)
      ProposedReplacing.set(Shard);
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
