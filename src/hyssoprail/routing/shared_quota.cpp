#include "hyssoprail/routing/shared_quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

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

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

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
  B.RefilledAt = Now;
}

void SharedQuota::charge(Bucket &B, double Tokens) {
  B.Debt = std::max(0.0, B.Debt + Tokens);
  B.QuotaDebt = std::max(0.0, B.QuotaDebt + Tokens);
}

QuotaDecision SharedQuota::take(std::string_view Account, double Tokens,
                                TimePoint Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end() || Found->second.Rate <= 0)
    return {true, false, 0, 0, {}};
  Bucket &B = Found->second;
  refill(B, Now);
  const double Excess = B.Debt + Tokens - maxDebt(B);
  const bool MayExceedBurst = B.Debt <= 0 && BurstShare > MajorityShare;
  if (Excess > 0 && !MayExceedBurst) {
    const std::chrono::duration<double> Wait(Excess / refillRate(B));
    return {false, false, B.Debt, maxDebt(B),
            std::chrono::duration_cast<Duration>(Wait)};
  }
  const bool Beyond = B.QuotaDebt + Tokens > B.Burst;
  charge(B, Tokens);
  B.OwnDebt += Tokens;
  B.Granted += Tokens;
  return {true, Beyond, B.Debt, maxDebt(B), {}};
}

void SharedQuota::refund(std::string_view Account, double Tokens,
                         TimePoint Now) {
  Bucket *B = refilled(Account, Now);
  if (!B)
    return;
  charge(*B, -Tokens);
  B->OwnDebt = std::max(0.0, B->OwnDebt - Tokens);
  B->Granted -= Tokens;
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
  if (!B || !std::isfinite(Tokens) || Tokens <= 0 || BurstShare < 1)
    return 0;
  charge(*B, Tokens);
  return Tokens;
}

void SharedQuota::raiseDebt(std::string_view Account, double FleetDebt,
                            TimePoint Now) {
  Bucket *B = refilled(Account, Now);
  if (B && std::isfinite(FleetDebt))
    B->Debt = std::max(B->Debt, FleetDebt * BurstShare);
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
    if (!std::isfinite(Total))
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
