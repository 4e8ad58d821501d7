#include "hyssoprail/routing/shared_quota.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::routing {
namespace {

double seconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

} // namespace

void SharedQuota::configure(const FleetConfig &Config, TimePoint Now) {
  for (auto &[Name, B] : Buckets)
    settle(B, Now);
  for (const auto &[Name, Account] : Config.Accounts) {
    Bucket &B = Buckets[Name];
    if (B.Settled == TimePoint{})
      B.Settled = Now;
    B.Rate = Account.RatePerSecond;
    B.Burst = Account.Burst;
  }
}

void SharedQuota::setAudibleShare(double Share, TimePoint Now) {
  if (Share == AudibleShare)
    return;
  for (auto &[Name, B] : Buckets)
    settle(B, Now);
  AudibleShare = Share;
}

void SharedQuota::settle(Bucket &B, TimePoint Now) const {
  if (Now <= B.Settled)
    return;
  const double Refill = B.Rate * AudibleShare * seconds(Now - B.Settled);
  B.Debt = std::max(0.0, B.Debt - Refill);
  B.Settled = Now;
}

QuotaDecision SharedQuota::take(std::string_view Account, double Tokens,
                                TimePoint Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end() || Found->second.Rate <= 0)
    return {true, 0, 0, {}};
  Bucket &B = Found->second;
  settle(B, Now);
  const double Room = B.Burst + Slack - B.Debt;
  if (Tokens > Room && B.Debt > 0) {
    const double Wait = (Tokens - Room) / (B.Rate * AudibleShare);
    return {false, B.Debt, B.Burst,
            std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(Wait))};
  }
  B.Debt += Tokens;
  B.Granted += Tokens;
  return {true, B.Debt, B.Burst, {}};
}

void SharedQuota::giveBack(std::string_view Account, double Tokens,
                           TimePoint Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return;
  settle(Found->second, Now);
  Found->second.Debt = std::max(0.0, Found->second.Debt - Tokens);
  Found->second.Granted -= Tokens;
}

std::map<std::string, double, std::less<>> SharedQuota::granted() const {
  std::map<std::string, double, std::less<>> Out;
  for (const auto &[Name, B] : Buckets)
    if (B.Granted != 0)
      Out[Name] = B.Granted;
  return Out;
}

void SharedQuota::peerGranted(std::string_view Peer, std::uint64_t Incarnation,
                              std::string_view Account, double Total,
                              TimePoint Now) {
  PeerTotal &Last = PeerTotals[{std::string(Peer), std::string(Account)}];
  // A first report of an incarnation that was up before this entry cannot be
  // dated; only its growth from now on counts.
  const bool Known = Last.Incarnation == Incarnation;
  const double Change = Known ? Total - Last.Total : 0;
  Last = {Incarnation, Total};
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return;
  settle(Found->second, Now);
  Found->second.Debt = std::max(0.0, Found->second.Debt + Change);
}

} // namespace hyssoprail::routing
