// Epochs of shard ownership: begin, end and hand-over.
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/process/owner_limits.hpp"

namespace hyssoprail {
namespace {

Event shardEvent(EventKind Kind, std::uint64_t Epoch, std::uint32_t Shard) {
  Event E;
  E.Kind = Kind;
  E.Version = Epoch;
  E.Detail = fmt::format("shard {}", Shard);
  return E;
}

} // namespace

void OwnerLimits::updateOwnership(TimePoint Now, LimitActions &Out) {
  bool EpochBegan = false;
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard) {
    const LimitShardOwner &Current = View->Owners[Shard];
    std::unique_ptr<OwnedShard> &Owned = OwnedShards[Shard];
    // The epoch must match too: between two states that both name this process
    // as the owner, another one may have owned the shard.
    const bool IsOwner =
        Current.Owner == Self && Planner.memberSince(*View, Current.Epoch);
    if (Owned && (!IsOwner || Owned->Epoch != Current.Epoch)) {
      Dependencies.Events.record(
          shardEvent(EventKind::OwnershipLapsed, Owned->Epoch, Shard));
      if (Current.Owner != Self)
        sendHandOver(Shard, *Owned, Now, Out);
      Owned.reset();
      --OwnedCount;
    }
    if (IsOwner && !Owned) {
      beginEpoch(Shard, Current.Epoch, Now);
      EpochBegan = true;
    }
  }
  ShardsOwned.set(static_cast<double>(OwnedCount));
  if (!EpochBegan)
    return;
  updateAccounts(Now, false);
  for (const auto &[Shard, HandOver] : std::exchange(EarlyHandOvers, {}))
    applyHandOver(HandOver, Now);
}

/// Sends the debts of the buckets to the next owner, which may then start
/// granting at once: this process has applied the take-over and grants nothing
/// more in its own epoch. If this process was itself still waiting for the
/// previous owner's lease to end, it sends nothing, as that owner may still be
/// granting.
void OwnerLimits::sendHandOver(std::uint32_t Shard, const OwnedShard &Owned,
                               TimePoint Now, LimitActions &Out) const {
  if (Now < Owned.ActiveFrom)
    return;
  const LimitShardOwner &Current = View->Owners[Shard];
  wire::Envelope E;
  wire::LimitHandOver *Message = E.mutable_limit_hand_over();
  Message->set_shard(Shard);
  Message->set_ended_epoch(Owned.Epoch);
  Message->set_next_epoch(Current.Epoch);
  for (const BucketDebt &Debt : Owned.Ledger.debts(Now)) {
    wire::BucketDebt *To = Message->add_debts();
    To->set_account(Debt.Account);
    To->set_tokens(Debt.Tokens);
  }
  send(Current.Owner, std::move(E), Out);
}

/// Ends the wait for the previous owner's lease and starts granting from the
/// debts that it handed over. Stale and repeated hand-overs are ignored: they
/// name other epochs, or arrive when this epoch is already active.
void OwnerLimits::applyHandOver(const wire::LimitHandOver &HandOver,
                                TimePoint Now) {
  if (HandOver.shard() >= LimitShardCount)
    return;
  OwnedShard *Owned = OwnedShards[HandOver.shard()].get();
  if (!Owned || Owned->Epoch < HandOver.next_epoch()) {
    EarlyHandOvers[HandOver.shard()] = HandOver;
    return;
  }
  if (Owned->Epoch != HandOver.next_epoch() ||
      Owned->PreviousEpoch != HandOver.ended_epoch() ||
      Now >= Owned->ActiveFrom)
    return;
  std::vector<BucketDebt> Debts;
  for (const wire::BucketDebt &Debt : HandOver.debts())
    Debts.push_back({Debt.account(), Debt.tokens()});
  Owned->ActiveFrom = Now;
  Owned->Ledger.startWithDebts(Debts, Now);
  HandOvers.add();
}

/// Begins an epoch. Unless the shard had no owner before, it becomes active
/// only when every lease of the previous owner has ended, and starts with empty
/// buckets.
void OwnerLimits::beginEpoch(std::uint32_t Shard, std::uint64_t Epoch,
                             TimePoint Now) {
  const bool IsFirstOwner = Planner.isFirstOwner(Shard);
  const TimePoint ActiveFrom =
      IsFirstOwner ? Now : Now + Options.driftSafeWait(Options.LeaseDuration);
  OwnedShards[Shard] = std::make_unique<OwnedShard>(
      OwnedShard{.Epoch = Epoch,
                 .PreviousEpoch = Planner.replacedEpoch(Shard),
                 .ActiveFrom = ActiveFrom,
                 .Ledger = ShardLedger({.Start = ActiveFrom,
                                        .StartFull = IsFirstOwner,
                                        .RateFactor = Options.rateFactor()},
                                       Dependencies.Checks)});
  ++OwnedCount;
  TakeOvers.add();
  Dependencies.Events.record(
      shardEvent(EventKind::OwnershipTaken, Epoch, Shard));
}

} // namespace hyssoprail
