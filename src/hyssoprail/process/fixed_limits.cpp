#include "hyssoprail/process/fixed_limits.hpp"

#include <algorithm>

namespace hyssoprail {

FixedLimits::FixedLimits(LimitOptions Options, std::uint64_t Self,
                         LimitDependencies Dependencies)
    : Options(Options), Self(Self), Dependencies(Dependencies),
      Ledger({.Start = TimePoint(),
              .StartFull = true,
              .RateFactor = Options.rateFactor()},
             Dependencies.Checks),
      Granted(Dependencies.Registry.counter("hyssoprail_limit_debits",
                                            {{"result", "granted"}})),
      OverRate(Dependencies.Registry.counter("hyssoprail_limit_debits",
                                             {{"result", "over_rate"}})) {}

void FixedLimits::viewApplied(TimePoint Now, LimitViewPtr Newer,
                              LimitActions &) {
  if (Newer->Version <= View->Version)
    return;
  const bool Changed = Newer->Accounts != View->Accounts ||
                       Newer->Members.size() != View->Members.size();
  View = std::move(Newer);
  if (!Changed)
    return;
  const auto Members =
      static_cast<double>(std::max<std::size_t>(1, View->Members.size()));
  for (const auto &[Name, Limit] : *View->Accounts)
    Ledger.setAccount(Name,
                      AccountLimit{.Rate = Limit.Rate / Members,
                                   .Burst = Limit.Burst / Members},
                      Now);
  Ledger.removeAbsentAccounts(*View->Accounts, Now);
}

void FixedLimits::debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) {
  const LedgerAnswer Answer =
      Ledger.debit(Debit.DebitId, Debit.Account, Debit.Tokens, Now);
  AnswerDebit Reply{.DebitId = Debit.DebitId,
                    .Result = wire::DEBIT_RESULT_OVER_RATE,
                    .RetryAfter = Answer.RetryAfter};
  if (Answer.Result == LedgerAnswer::Kind::Granted)
    Reply.Result = wire::DEBIT_RESULT_GRANTED;
  else if (Answer.Result == LedgerAnswer::Kind::UnknownAccount)
    Reply.Result = wire::DEBIT_RESULT_UNKNOWN_ACCOUNT;
  const bool IsGrant = Reply.Result == wire::DEBIT_RESULT_GRANTED;
  (IsGrant ? Granted : OverRate).add();
  if (IsGrant && !Answer.Repeated && Dependencies.Observer)
    Dependencies.Observer->granted(Debit.DebitId, Debit.Account, Debit.Tokens);
  Out.push_back(std::move(Reply));
}

void FixedLimits::refund(TimePoint Now, const LimitRefund &Refund,
                         LimitActions &) {
  const auto Tokens = Ledger.refund(Refund.DebitId, Refund.Tokens, Now);
  if (Tokens && Dependencies.Observer)
    Dependencies.Observer->credited(Refund.DebitId, Refund.Account, *Tokens);
}

void FixedLimits::tick(TimePoint Now, LimitActions &) { Ledger.tick(Now); }

LimitStatus FixedLimits::status(TimePoint) const { return {}; }

std::unique_ptr<LimitService> makeFixedLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies) {
  return std::make_unique<FixedLimits>(Options, Self, Dependencies);
}

} // namespace hyssoprail
