#include "hyssoprail/routing/shared_quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"
#include "hyssoprail/routing/usable_total.hpp"

namespace hyssoprail::routing {
namespace {

/// Missing reports reduce the usable bursts only after this time. A change of
/// the coordinator takes less, and what is granted meanwhile is within the
/// tolerance.
constexpr milliseconds BriefAbsence{2'000};

/// A request of more tokens than the burst is granted to an account without
/// debt, but only by a part of the fleet with a majority: the other parts could
/// each grant one.
constexpr double MajorityShare = 0.5;

/// An entry keeps to its part of the burst while more than this share of the
/// burst is used.
constexpr double SharedBurst = 0.5;

/// Share of the tokens below SharedBurst that each entry may grant beyond its
/// part before it hears of the others' grants.
constexpr double FreeTokenShare = 0.5;

/// Grants count as recent for about this time. It is longer than the time
/// without grants after an account has exceeded its quota.
constexpr double RecentSeconds = 4;

/// Longest time to return. Without a limit, the wait at a tiny rate exceeds the
/// range of Duration, and the conversion could make it negative.
constexpr double MaxWaitSeconds = 3'600;

/// This entry's part of the recent grants.
double part(double Own, double All) {
  return All > 0 ? std::min(1.0, Own / All) : 1;
}

} // namespace

double SharedQuota::refillRate(const Bucket &B) const {
  return B.Rate * (1 + Tolerance.Share) * ReportingShare;
}

double SharedQuota::maxDebt(const Bucket &B) const {
  return (B.Burst * (1 + Tolerance.Share) + Tolerance.Tokens) * BurstShare;
}

/// A new bucket starts with its tolerance in tokens used up, because what was
/// granted just before is unknown after all entries were lost.
void SharedQuota::configure(const FleetConfig &Config, TimePoint Now) {
  for (auto &[Name, B] : Buckets)
    refill(B, Now);
  for (const auto &[Name, Account] : Config.Accounts) {
    const auto [It, New] = Buckets.try_emplace(Name);
    Bucket &B = It->second;
    B.Rate = Account.RatePerSecond;
    B.Burst = Account.Burst;
    if (!New)
      continue;
    B.RefilledAt = Now;
    B.Debt = Tolerance.Tokens * BurstShare;
  }
}

void SharedQuota::setReportingShare(double Share, TimePoint Now) {
  if (Share != ReportingShare)
    for (auto &[Name, B] : Buckets)
      refill(B, Now);
  ReportingShare = Share;
  if (Share >= 1 || CompleteAt == TimePoint{})
    CompleteAt = Now;
  const bool Brief = Now - CompleteAt < BriefAbsence;
  setBurstShare(Brief ? std::max(Share, BurstShare) : Share);
}

/// Load pattern: the fleet is parted, and each part knows only what it has
/// granted itself. If each used the whole burst of an account, the account
/// would get it once for each part. The debt is scaled as well, as if the other
/// parts had granted their shares of it.
void SharedQuota::setBurstShare(double Share) {
  if (Share == BurstShare || Share <= 0)
    return;
  for (auto &[Name, B] : Buckets)
    B.Debt *= Share / BurstShare;
  BurstShare = Share;
}

void SharedQuota::refill(Bucket &B, TimePoint Now) const {
  if (Now <= B.RefilledAt)
    return;
  const double Elapsed = seconds(Now - B.RefilledAt);
  B.Debt = std::max(0.0, B.Debt - refillRate(B) * Elapsed);
  B.OwnDebt = std::max(0.0, B.OwnDebt - refillRate(B) * Elapsed);
  B.QuotaDebt = std::max(0.0, B.QuotaDebt - B.Rate * Elapsed);
  const double PartRate = refillRate(B) * part(B.OwnRecent, B.AllRecent);
  B.PartDebt = std::clamp(B.PartDebt - PartRate * Elapsed, 0.0, B.Debt);
  const double Kept = std::exp(-Elapsed / RecentSeconds);
  B.OwnRecent *= Kept;
  B.AllRecent *= Kept;
  B.RefilledAt = Now;
}

void SharedQuota::charge(Bucket &B, double Tokens) {
  B.Debt = std::max(0.0, B.Debt + Tokens);
  B.QuotaDebt = std::max(0.0, B.QuotaDebt + Tokens);
  B.AllRecent = std::max(0.0, B.AllRecent + Tokens);
}

void SharedQuota::chargeOwn(Bucket &B, double Tokens) {
  charge(B, Tokens);
  B.OwnDebt = std::max(0.0, B.OwnDebt + Tokens);
  B.PartDebt = std::max(0.0, B.PartDebt + Tokens);
  B.OwnRecent = std::max(0.0, B.OwnRecent + Tokens);
  B.Granted += Tokens;
}

/// Own tokens that may be granted and not yet refilled, if \p Tokens are
/// granted now.
double SharedQuota::maxPartDebt(const Bucket &B, double Tokens) const {
  const double Free = std::max(0.0, SharedBurst * maxDebt(B) - B.Debt);
  return maxDebt(B) * part(B.OwnRecent + Tokens, B.AllRecent + Tokens) +
         FreeTokenShare * Free;
}

/// Time until the bucket has room for the tokens. A request of more than this
/// entry's part is granted when the part is unused.
Duration SharedQuota::waitForTokens(const Bucket &B, double Tokens) const {
  const double Excess = std::max(0.0, B.Debt + Tokens - maxDebt(B));
  const double PartExcess =
      std::clamp(B.PartDebt + Tokens - maxPartDebt(B, Tokens), 0.0, B.PartDebt);
  const double PartRate = refillRate(B) * part(B.OwnRecent, B.AllRecent);
  double Wait = Excess / refillRate(B);
  if (PartExcess > 0)
    Wait =
        std::max(Wait, std::min(PartExcess / PartRate, B.Debt / refillRate(B)));
  return fromSeconds(std::min(Wait, MaxWaitSeconds));
}

QuotaDecision SharedQuota::take(std::string_view Account, double Tokens,
                                TimePoint Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end() || Found->second.Rate <= 0)
    return {true, false, 0, 0, {}};
  Bucket &B = Found->second;
  refill(B, Now);
  const bool MayExceedBurst = B.Debt <= 0 && BurstShare > MajorityShare;
  const Duration Wait = waitForTokens(B, Tokens);
  if (Wait > Duration{0} && !MayExceedBurst)
    return {false, false, B.Debt, maxDebt(B), Wait};
  const bool Beyond = B.QuotaDebt + Tokens > B.Burst;
  chargeOwn(B, Tokens);
  return {true, Beyond, B.Debt, maxDebt(B), {}};
}

void SharedQuota::refund(std::string_view Account, double Tokens,
                         TimePoint Now) {
  Bucket *B = refilled(Account, Now);
  if (!B)
    return;
  chargeOwn(*B, -Tokens);
}

SharedQuota::Bucket *SharedQuota::refilled(std::string_view Account,
                                           TimePoint Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return nullptr;
  refill(Found->second, Now);
  return &Found->second;
}

double SharedQuota::ownDebt(std::string_view Account, TimePoint Now) {
  const Bucket *B = refilled(Account, Now);
  return B ? B->OwnDebt : 0;
}

double SharedQuota::fleetDebt(std::string_view Account, TimePoint Now) {
  const Bucket *B = refilled(Account, Now);
  return B ? B->Debt / BurstShare : 0;
}

double SharedQuota::chargePeerDebt(std::string_view Account, double Tokens,
                                   TimePoint Now) {
  Bucket *B = refilled(Account, Now);
  if (!B || !isUsableTotal(Tokens) || Tokens <= 0 || BurstShare < 1)
    return 0;
  charge(*B, Tokens);
  return Tokens;
}

void SharedQuota::raiseDebt(std::string_view Account, double FleetDebt,
                            TimePoint Now) {
  Bucket *B = refilled(Account, Now);
  if (!B || !isUsableTotal(FleetDebt))
    return;
  const double Raise = std::max(0.0, FleetDebt * BurstShare - B->Debt);
  B->Debt += Raise;
  B->AllRecent += Raise;
}

SharedQuota::AccountTotals SharedQuota::grantedTotals() const {
  AccountTotals Out;
  for (const auto &[Name, B] : Buckets)
    if (B.Granted != 0)
      Out[Name] = B.Granted;
  return Out;
}

/// The incarnation may have been up before this entry, and when the tokens of
/// its first report were granted is unknown. Only later changes are charged. An
/// account that appears in a later report was granted all its tokens since the
/// first one.
bool SharedQuota::recordPeerTotals(std::string_view Peer,
                                   std::uint64_t Incarnation,
                                   const AccountTotals &Totals, TimePoint Now) {
  const auto [It, New] = Peers.try_emplace(std::string(Peer));
  PeerTotals &Known = It->second;
  const bool First = New || Known.Incarnation != Incarnation;
  if (First)
    Known = {Incarnation, {}};
  for (const auto &[Account, Total] : Totals) {
    if (!isUsableTotal(Total))
      continue;
    double &Last = Known.Totals[Account];
    const double Change = First ? 0 : Total - Last;
    Last = Total;
    const auto Found = Buckets.find(Account);
    if (Found == Buckets.end())
      continue;
    refill(Found->second, Now);
    charge(Found->second, Change);
  }
  return First;
}

} // namespace hyssoprail::routing
