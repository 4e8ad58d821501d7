#ifndef HYSSOPRAIL_PROCESS_OWNER_LIMITS_HPP
#define HYSSOPRAIL_PROCESS_OWNER_LIMITS_HPP

#include <array>
#include <map>
#include <memory>

#include "hyssoprail/process/limit_service.hpp"
#include "hyssoprail/process/pending_debit_table.hpp"
#include "hyssoprail/process/promise_round.hpp"
#include "hyssoprail/process/promise_table.hpp"
#include "hyssoprail/process/read_lease.hpp"
#include "hyssoprail/process/shard_ledger.hpp"
#include "hyssoprail/process/take_over_planner.hpp"

namespace hyssoprail {

/// Limits with one owner per shard of accounts, whose token buckets decide the
/// debits of the whole fleet. An owner grants only while its lease is held; its
/// successor waits until that lease has ended, or starts earlier with the debts
/// that the owner hands over. See docs/limits.md.
class OwnerLimits : public LimitService {
public:
  OwnerLimits(LimitOptions Options, std::uint64_t Self,
              LimitDependencies Dependencies);

  void viewApplied(TimePoint Now, LimitViewPtr View,
                   LimitActions &Out) override;
  void setLivePeers(TimePoint Now, std::vector<LivePeer> Peers) override;
  void readFinished(TimePoint Now, std::uint64_t ReadId,
                    std::optional<std::uint64_t> End,
                    LimitActions &Out) override;
  void debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) override;
  void refund(TimePoint Now, const LimitRefund &Refund,
              LimitActions &Out) override;
  void handleMessage(TimePoint Now, std::uint64_t From,
                     const wire::Envelope &Message, LimitActions &Out) override;
  void tick(TimePoint Now, LimitActions &Out) override;
  LimitStatus status(TimePoint Now) const override;

private:
  struct OwnedShard {
    std::uint64_t Epoch;
    std::uint64_t PreviousEpoch; ///< 0: none
    TimePoint ActiveFrom;
    ShardLedger Ledger;
  };

  /// Result of a debit in this process.
  struct Decision {
    wire::DebitResult Result = wire::DEBIT_RESULT_NOT_OWNER;
    Duration RetryAfter{0};
    std::uint64_t Epoch = 0;
  };

  void updateOwnership(TimePoint Now, LimitActions &Out);
  void sendHandOver(std::uint32_t Shard, const OwnedShard &Owned, TimePoint Now,
                    LimitActions &Out) const;
  void applyHandOver(const wire::LimitHandOver &HandOver, TimePoint Now);
  void beginEpoch(std::uint32_t Shard, std::uint64_t Epoch, TimePoint Now);
  void updateAccounts(TimePoint Now, bool AllShards);
  Decision decideDebit(TimePoint Now, const std::string &DebitId,
                       const std::string &Account, std::uint64_t Tokens);
  void creditRefund(TimePoint Now, const LimitRefund &Refund);
  void sendRefund(std::uint64_t Owner, const LimitRefund &Refund,
                  LimitActions &Out) const;
  void sendPending(TimePoint Now, PendingDebit &Debit, LimitActions &Out);
  void answer(const std::string &DebitId, Decision D, LimitActions &Out);
  void answerExpired(const PendingDebit &Debit, LimitActions &Out);
  void handleDebitRequest(TimePoint Now, std::uint64_t From,
                          const wire::DebitRequest &Request, LimitActions &Out);
  void handleDebitReply(TimePoint Now, std::uint64_t From,
                        const wire::DebitReply &Reply, LimitActions &Out);
  void handlePromiseRequest(TimePoint Now, std::uint64_t From,
                            const wire::PromiseRequest &Request,
                            LimitActions &Out);
  void requestPromises(TimePoint Now, LimitActions &Out);
  void send(std::uint64_t To, wire::Envelope Message, LimitActions &Out) const;
  bool ownsAny() const { return OwnedCount != 0; }
  Duration waitUntilActive(const OwnedShard &Owned, TimePoint Now) const;

  const LimitOptions Options;
  const std::uint64_t Self;
  LimitDependencies Dependencies;
  LimitViewPtr View = std::make_shared<LimitView>();
  ReadLease Lease;
  PromiseTable Promises;
  PromiseRound Round;
  TakeOverPlanner Planner;
  PendingDebitTable PendingTable;
  std::array<std::unique_ptr<OwnedShard>, LimitShardCount> OwnedShards;
  std::size_t OwnedCount = 0;
  /// Hand-overs that arrived before this process applied its own take-over.
  std::map<std::uint32_t, wire::LimitHandOver> EarlyHandOvers;
  bool ExtendedByPromises = false;

  Counter &Granted;
  Counter &OverRate;
  Counter &NoOwner;
  Counter &Credited;
  Counter &RefundsIgnored;
  Counter &TakeOvers;
  Counter &HandOvers;
  Gauge &ShardsOwned;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_OWNER_LIMITS_HPP
