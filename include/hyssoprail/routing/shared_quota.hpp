#ifndef HYSSOPRAIL_ROUTING_SHARED_QUOTA_HPP
#define HYSSOPRAIL_ROUTING_SHARED_QUOTA_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::routing {

/// How far grants may exceed the quota. Requests that use the tolerance run
/// only on capacity that no request within its quota waits for.
struct QuotaTolerance {
  double Share = 0;  ///< added to rate and burst, as a share of them
  double Tokens = 0; ///< added to the burst only
};

/// Result of SharedQuota::take().
struct QuotaDecision {
  bool Granted = false;
  bool BeyondQuota = false; ///< granted from the tolerance
  double Debt = 0;  ///< tokens granted and not yet refilled, over all entries
  double Burst = 0; ///< largest allowed debt, including the tolerance
  Duration RetryAfter{}; ///< time until the tokens could be granted
};

/// Token bucket of each account, shared by all entries. Every entry tracks the
/// total debt of an account: it adds its own grants at once, and those of other
/// entries when their usage reports arrive. While the reports of some entries
/// are missing, it refills only at the share of the rate that corresponds to
/// the reporting entries. Load pattern: one account sends several times its
/// quota through all entries.
///
/// Reports arrive some time after the grants. If each entry granted all free
/// tokens meanwhile, the account would get them once for each entry. While more
/// than half of the burst is used, an entry therefore keeps its own grants to
/// its part of the rate and the burst: its part of what all entries have
/// granted lately.
class SharedQuota {
public:
  explicit SharedQuota(QuotaTolerance Tolerance) : Tolerance(Tolerance) {}

  void configure(const FleetConfig &Config, TimePoint Now);

  void setTolerance(QuotaTolerance To) { Tolerance = To; }

  /// Sets the share of all entries whose usage reports arrive, including this
  /// entry: 0 to 1. To be repeated several times per second. While it stays
  /// below 1, the refill is reduced at once, and after some time the unused
  /// part of each burst as well.
  void setReportingShare(double Share, TimePoint Now);

  /// Grants \p Tokens to \p Account and adds them to its debt, or refuses.
  QuotaDecision take(std::string_view Account, double Tokens, TimePoint Now);

  /// Refunds the tokens of a request that did not run.
  void refund(std::string_view Account, double Tokens, TimePoint Now);

  /// Tokens by account.
  using AccountTotals = std::map<std::string, double, std::less<>>;

  /// Tokens that this entry has granted since its start, less refunds, by
  /// account. Accounts without any are left out.
  AccountTotals grantedTotals() const;

  /// Records the grantedTotals() of a peer. An account that \p Totals leaves
  /// out for the first time has been granted nothing by then. \p Incarnation
  /// tells a restart of the peer from a decrease by refunds. Returns true for
  /// its first report, of which nothing is charged, as it cannot be dated.
  bool recordPeerTotals(std::string_view Peer, std::uint64_t Incarnation,
                        const AccountTotals &Totals, TimePoint Now);

  /// The part of the tokens granted by this entry that is not refilled yet.
  double ownDebt(std::string_view Account, TimePoint Now);

  /// The same of all entries, as far as known, scaled to the whole burst.
  double fleetDebt(std::string_view Account, TimePoint Now);

  /// Charges the ownDebt() that a peer states in its first report. Returns the
  /// charged tokens: none while the burst is reduced, because the debt has then
  /// been scaled to include those of other parts of the fleet.
  double chargePeerDebt(std::string_view Account, double Tokens, TimePoint Now);

  /// Raises the debt to the fleetDebt() of the coordinator.
  void raiseDebt(std::string_view Account, double FleetDebt, TimePoint Now);

  /// Forgets what peers have reported; their next reports count as first ones.
  void forgetPeers() { Peers.clear(); }

private:
  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Debt = 0;      ///< refilled at the rate with tolerance
    double QuotaDebt = 0; ///< refilled at the rate of the quota alone
    double OwnDebt = 0;   ///< part of the debt granted by this entry
    double PartDebt = 0;  ///< the same, refilled at this entry's part of the
                          ///< rate
    double OwnRecent = 0; ///< granted lately by this entry
    double AllRecent = 0; ///< granted lately by all entries, as far as known
    double Granted = 0;
    TimePoint RefilledAt{};
  };

  struct PeerTotals {
    std::uint64_t Incarnation = 0;
    AccountTotals Totals;
  };

  Bucket *refilled(std::string_view Account, TimePoint Now);
  void refill(Bucket &B, TimePoint Now) const;
  void setBurstShare(double Share);
  static void charge(Bucket &B, double Tokens);
  static void chargeOwn(Bucket &B, double Tokens);
  double refillRate(const Bucket &B) const;
  double maxDebt(const Bucket &B) const;
  double maxPartDebt(const Bucket &B, double Tokens) const;
  Duration waitForTokens(const Bucket &B, double Tokens) const;

  QuotaTolerance Tolerance;
  double ReportingShare = 1;
  double BurstShare = 1;  ///< share of each burst that this entry may use
  TimePoint CompleteAt{}; ///< when all reports last arrived
  std::map<std::string, Bucket, std::less<>> Buckets;
  std::map<std::string, PeerTotals, std::less<>> Peers;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_SHARED_QUOTA_HPP
