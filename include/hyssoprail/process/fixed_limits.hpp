#ifndef HYSSOPRAIL_PROCESS_FIXED_LIMITS_HPP
#define HYSSOPRAIL_PROCESS_FIXED_LIMITS_HPP

#include "hyssoprail/process/limit_service.hpp"
#include "hyssoprail/process/shard_ledger.hpp"

namespace hyssoprail {

/// Baseline that divides each account's rate and burst equally among the
/// members. It needs no messages and no log reads, but refuses requests below
/// the account's rate if its load is uneven over the entries, and exceeds the
/// bound while members join or leave.
class FixedLimits : public LimitService {
public:
  FixedLimits(LimitOptions Options, std::uint64_t Self,
              LimitDependencies Dependencies);

  void viewApplied(TimePoint Now, LimitViewPtr View,
                   LimitActions &Out) override;
  void setLivePeers(TimePoint, std::vector<LivePeer>) override {}
  void readFinished(TimePoint, std::uint64_t, std::optional<std::uint64_t>,
                    LimitActions &) override {}
  void debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) override;
  void refund(TimePoint Now, const LimitRefund &Refund,
              LimitActions &Out) override;
  void handleMessage(TimePoint, std::uint64_t, const wire::Envelope &,
                     LimitActions &) override {}
  void tick(TimePoint Now, LimitActions &Out) override;
  LimitStatus status(TimePoint Now) const override;

private:
  const LimitOptions Options;
  const std::uint64_t Self;
  LimitDependencies Dependencies;
  LimitViewPtr View = std::make_shared<LimitView>();
  ShardLedger Ledger;
  Counter &Granted;
  Counter &OverRate;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_FIXED_LIMITS_HPP
