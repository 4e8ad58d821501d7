// Epochs of ownership: begin, end and hand-over of a shard.
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
  bool Began = false;
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard) {
    const LimitShardOwner &Of = View->Owners[Shard];
    std::unique_ptr<OwnedShard> &Mine = Owned[Shard];
    // The epoch is compared, not only the owner: another process may have
    // owned the shard between two states that both name this one.
    const bool Own = Of.Owner == Self && Planner.memberSince(*View, Of.Epoch);
    if (Mine && (!Own || Mine->Epoch != Of.Epoch)) {
      Dependencies.Events.record(
          shardEvent(EventKind::OwnershipLapsed, Mine->Epoch, Shard));
      if (Of.Owner != Self)
        handOver(Shard, *Mine, Now, Out);
      Mine.reset();
      --OwnedCount;
    }
    if (Own && !Mine) {
      beginEpoch(Shard, Of.Epoch, Now);
      Began = true;
    }
  }
  ShardsOwned.set(static_cast<double>(OwnedCount));
  if (!Began)
    return;
  updateAccounts(Now, false);
  for (const auto &[Shard, HandOver] : std::exchange(EarlyHandOvers, {}))
    adopt(HandOver, Now);
}

/// Tells the successor what the buckets owe. It may then start at once: this
/// process has applied the take-over and grants nothing more in its epoch. An
/// epoch that was still waiting cannot be handed over, as the owner before it
/// may be granting.
void OwnerLimits::handOver(std::uint32_t Shard, const OwnedShard &Mine,
                           TimePoint Now, LimitActions &Out) const {
  if (Now < Mine.ActiveFrom)
    return;
  const LimitShardOwner &Of = View->Owners[Shard];
  wire::Envelope E;
  wire::LimitHandOver *Message = E.mutable_limit_hand_over();
  Message->set_shard(Shard);
  Message->set_ended_epoch(Mine.Epoch);
  Message->set_next_epoch(Of.Epoch);
  for (const BucketDebt &Debt : Mine.Ledger.debts(Now)) {
    wire::BucketDebt *To = Message->add_debts();
    To->set_account(Debt.Account);
    To->set_tokens(Debt.Tokens);
  }
  send(Of.Owner, std::move(E), Out);
}

/// Starts an epoch that waits for its predecessor's leases, from the debts of
/// the predecessor. Repeated and stale hand-overs name other epochs, or come
/// when the epoch has started.
void OwnerLimits::adopt(const wire::LimitHandOver &HandOver, TimePoint Now) {
  if (HandOver.shard() >= LimitShardCount)
    return;
  OwnedShard *Mine = Owned[HandOver.shard()].get();
  if (!Mine || Mine->Epoch < HandOver.next_epoch()) {
    EarlyHandOvers[HandOver.shard()] = HandOver;
    return;
  }
  if (Mine->Epoch != HandOver.next_epoch() ||
      Mine->Replaced != HandOver.ended_epoch() || Now >= Mine->ActiveFrom)
    return;
  std::vector<BucketDebt> Debts;
  for (const wire::BucketDebt &Debt : HandOver.debts())
    Debts.push_back({Debt.account(), Debt.tokens()});
  Mine->ActiveFrom = Now;
  Mine->Ledger.startWithDebts(Debts, Now);
  HandOvers.add();
}

/// The successor waits until every lease of its predecessor has ended and
/// starts with empty buckets. An owner without predecessor does neither.
void OwnerLimits::beginEpoch(std::uint32_t Shard, std::uint64_t Epoch,
                             TimePoint Now) {
  const bool First = Planner.isFirstOwner(Shard);
  const TimePoint ActiveFrom =
      First ? Now : Now + Options.driftSafeWait(Options.LeaseDuration);
  Owned[Shard] = std::make_unique<OwnedShard>(
      OwnedShard{.Epoch = Epoch,
                 .Replaced = Planner.replacedEpoch(Shard),
                 .ActiveFrom = ActiveFrom,
                 .Ledger = ShardLedger({.Start = ActiveFrom,
                                        .StartFull = First,
                                        .RateFactor = Options.rateFactor()},
                                       Dependencies.Checks)});
  ++OwnedCount;
  TakeOvers.add();
  Dependencies.Events.record(
      shardEvent(EventKind::OwnershipTaken, Epoch, Shard));
}

} // namespace hyssoprail
