#include "hyssoprail/process/shard_ledger.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

/// A refund may come one to two minutes after its debit. Longer requests lose
/// their refund, which keeps the table small.
constexpr std::chrono::seconds GenerationLength{60};

} // namespace

ShardLedger::ShardLedger(Options Opts, Invariants &Checks)
    : Opts(Opts), Checks(Checks), Exchanged(Opts.Start) {}

void ShardLedger::removeMissing(const AccountLimits &Limits, TimePoint Now) {
  for (const auto &[Name, Of] : Buckets)
    if (!Of.Removed && !Limits.contains(Name))
      setAccount(Name, std::nullopt, Now);
}

void ShardLedger::setAccount(const std::string &Name,
                             std::optional<AccountLimit> Limit, TimePoint Now) {
  const auto It = Buckets.find(Name);
  if (It == Buckets.end()) {
    if (Limit)
      addAccount(Name, *Limit, Opts.StartFull ? 0 : Limit->Burst,
                 std::max(Now, Opts.Start));
    return;
  }
  Account &Of = It->second;
  Of.Removed = !Limit;
  const AccountLimit To = Limit.value_or(AccountLimit{});
  if (To == Of.Bucket.limit())
    return;
  Of.Bucket.setLimit(To, Now);
  Of.Check.setRate(Of.Bucket.refillRate(), Now);
}

ShardLedger::AccountMap::iterator
ShardLedger::addAccount(const std::string &Name, AccountLimit Limit,
                        double Debt, TimePoint Start) {
  Account Of{.Bucket = TokenBucket(Limit, Debt, Opts.RateFactor, Start),
             .Check = WindowCheck(Debt, Start)};
  Of.Check.setRate(Of.Bucket.refillRate(), Start);
  return Buckets.insert_or_assign(Name, std::move(Of)).first;
}

LedgerAnswer ShardLedger::debit(const std::string &Id,
                                std::string_view AccountName,
                                std::uint64_t Tokens, TimePoint Now) {
  using Kind = LedgerAnswer::Kind;
  if (Recent.contains(Id) || Older.contains(Id))
    return {.Result = Kind::Granted, .Repeated = true};
  const auto It = Buckets.find(AccountName);
  if (It == Buckets.end() || It->second.Removed)
    return {.Result = Kind::UnknownAccount};
  Account &Of = It->second;
  const auto Amount = static_cast<double>(Tokens);
  const auto Grant = Of.Bucket.take(Amount, Now);
  if (!Grant) {
    const auto Wait = Of.Bucket.timeUntilAvailable(Amount, Now);
    return {.Result = Wait ? Kind::OverRate : Kind::OverBurst,
            .RetryAfter = Wait.value_or(Duration::zero())};
  }
  const double Burst = Of.Bucket.limit().Burst;
  const bool Within = Of.Check.granted(*Grant, Amount, Burst, Now);
  // The text is made only for a violation: this is the hot path.
  if (!Within)
    Checks.check(Invariant::AccountBound, false,
                 fmt::format("account {}: a debit of {} tokens exceeds rate {} "
                             "and burst {}",
                             AccountName, Tokens, Of.Bucket.limit().Rate,
                             Burst),
                 Id);
  Recent.emplace(Id, OpenDebit{&Of, *Grant, Tokens});
  return {.Result = Kind::Granted};
}

std::optional<double> ShardLedger::refund(const std::string &Id,
                                          std::uint64_t Tokens, TimePoint Now) {
  DebitMap &In = Recent.contains(Id) ? Recent : Older;
  const auto It = In.find(Id);
  if (It == In.end())
    return std::nullopt;
  const OpenDebit Debit = It->second;
  In.erase(It);
  const auto Unused = static_cast<double>(std::min(Tokens, Debit.Tokens));
  const double Credit = Debit.Of->Bucket.returnUnused(Debit.Grant, Unused, Now);
  Debit.Of->Check.credited(Debit.Grant, Credit);
  return Credit;
}

void ShardLedger::tick(TimePoint Now) {
  if (Now - Exchanged < GenerationLength)
    return;
  Exchanged = Now;
  Older = std::move(Recent);
  Recent = {};
}

std::vector<BucketDebt> ShardLedger::debts(TimePoint Now) const {
  std::vector<BucketDebt> Out;
  Out.reserve(Buckets.size());
  for (const auto &[Name, Of] : Buckets)
    if (!Of.Removed)
      Out.push_back({Name, Of.Bucket.debt(Now)});
  return Out;
}

void ShardLedger::adopt(const std::vector<BucketDebt> &Debts, TimePoint Now) {
  Opts.Start = Now;
  Exchanged = Now;
  for (auto &[Name, Of] : Buckets) {
    const AccountLimit Limit = Of.Bucket.limit();
    Of.Bucket = TokenBucket(Limit, Limit.Burst, Opts.RateFactor, Now);
    Of.Check = WindowCheck(Limit.Burst, Now);
    Of.Check.setRate(Of.Bucket.refillRate(), Now);
  }
  for (const BucketDebt &Debt : Debts) {
    const auto It = Buckets.find(Debt.Account);
    if (It != Buckets.end() && !It->second.Removed)
      addAccount(Debt.Account, It->second.Bucket.limit(), Debt.Tokens, Now);
  }
}

} // namespace hyssoprail
