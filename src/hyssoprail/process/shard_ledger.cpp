#include "hyssoprail/process/shard_ledger.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

/// A debit can be refunded for one to two generations. Requests that take
/// longer get no refund; this limits the size of the table.
constexpr std::chrono::seconds GenerationLength{60};

} // namespace

ShardLedger::ShardLedger(Options Opts, Invariants &Checks)
    : Opts(Opts), Checks(Checks), RotatedAt(Opts.Start) {}

void ShardLedger::removeAbsentAccounts(const AccountLimits &Limits,
                                       TimePoint Now) {
  for (const auto &[Name, State] : Accounts)
    if (!State.Removed && !Limits.contains(Name))
      setAccount(Name, std::nullopt, Now);
}

void ShardLedger::setAccount(const std::string &Name,
                             std::optional<AccountLimit> Limit, TimePoint Now) {
  const auto It = Accounts.find(Name);
  if (It == Accounts.end()) {
    if (Limit)
      addAccount(Name, *Limit, Opts.StartFull ? 0 : Limit->Burst,
                 std::max(Now, Opts.Start));
    return;
  }
  AccountState &State = It->second;
  State.Removed = !Limit;
  const AccountLimit NewLimit = Limit.value_or(AccountLimit{});
  if (NewLimit == State.Bucket.limit())
    return;
  State.Bucket.setLimit(NewLimit, Now);
  State.Check.setRate(State.Bucket.refillRate(), Now);
}

ShardLedger::AccountMap::iterator
ShardLedger::addAccount(const std::string &Name, AccountLimit Limit,
                        double Debt, TimePoint Start) {
  AccountState State{.Bucket = TokenBucket(Limit, Debt, Opts.RateFactor, Start),
                     .Check = WindowCheck(Debt, Start)};
  State.Check.setRate(State.Bucket.refillRate(), Start);
  return Accounts.insert_or_assign(Name, std::move(State)).first;
}

LedgerAnswer ShardLedger::debit(const std::string &Id,
                                std::string_view AccountName,
                                std::uint64_t Tokens, TimePoint Now) {
  using Kind = LedgerAnswer::Kind;
  if (Recent.contains(Id) || Older.contains(Id))
    return {.Result = Kind::Granted, .Repeated = true};
  const auto It = Accounts.find(AccountName);
  if (It == Accounts.end() || It->second.Removed)
    return {.Result = Kind::UnknownAccount};
  AccountState &State = It->second;
  const auto Amount = static_cast<double>(Tokens);
  const auto Grant = State.Bucket.take(Amount, Now);
  if (!Grant) {
    const auto Wait = State.Bucket.timeUntilAvailable(Amount, Now);
    return {.Result = Wait ? Kind::OverRate : Kind::OverBurst,
            .RetryAfter = Wait.value_or(Duration::zero())};
  }
  const double Burst = State.Bucket.limit().Burst;
  const bool Within = State.Check.granted(*Grant, Amount, Burst, Now);
  // The text is formatted only for a violation, as this is the hot path.
  if (!Within)
    Checks.check(Invariant::AccountBound, false,
                 fmt::format("account {}: a debit of {} tokens exceeds rate {} "
                             "and burst {}",
                             AccountName, Tokens, State.Bucket.limit().Rate,
                             Burst),
                 Id);
  Recent.emplace(Id, RefundableDebit{&State, *Grant, Tokens});
  return {.Result = Kind::Granted};
}

std::optional<double> ShardLedger::refund(const std::string &Id,
                                          std::uint64_t Tokens, TimePoint Now) {
  DebitMap &Generation = Recent.contains(Id) ? Recent : Older;
  const auto It = Generation.find(Id);
  if (It == Generation.end())
    return std::nullopt;
  const RefundableDebit Debit = It->second;
  Generation.erase(It);
  const auto Unused = static_cast<double>(std::min(Tokens, Debit.Tokens));
  const double Credit =
      Debit.Account->Bucket.returnUnused(Debit.Grant, Unused, Now);
  Debit.Account->Check.credited(Debit.Grant, Credit);
  return Credit;
}

void ShardLedger::tick(TimePoint Now) {
  if (Now - RotatedAt < GenerationLength)
    return;
  RotatedAt = Now;
  Older = std::move(Recent);
  Recent = {};
}

std::vector<BucketDebt> ShardLedger::debts(TimePoint Now) const {
  std::vector<BucketDebt> Out;
  Out.reserve(Accounts.size());
  for (const auto &[Name, State] : Accounts)
    if (!State.Removed)
      Out.push_back({Name, State.Bucket.debt(Now)});
  return Out;
}

void ShardLedger::startWithDebts(const std::vector<BucketDebt> &Debts,
                                 TimePoint Now) {
  Opts.Start = Now;
  RotatedAt = Now;
  for (auto &[Name, State] : Accounts) {
    const AccountLimit Limit = State.Bucket.limit();
    State.Bucket = TokenBucket(Limit, Limit.Burst, Opts.RateFactor, Now);
    State.Check = WindowCheck(Limit.Burst, Now);
    State.Check.setRate(State.Bucket.refillRate(), Now);
  }
  for (const BucketDebt &Debt : Debts) {
    const auto It = Accounts.find(Debt.Account);
    if (It != Accounts.end() && !It->second.Removed)
      addAccount(Debt.Account, It->second.Bucket.limit(), Debt.Tokens, Now);
  }
}

} // namespace hyssoprail
