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

/// How far grants may go beyond the quota. Requests that use the tolerance run
/// only on capacity that nobody within a quota waits for.
struct QuotaTolerance {
  double Share = 0;  ///< of rate and burst
  double Tokens = 0; ///< besides, once
};

/// Result of a debit.
struct QuotaDecision {
  bool Granted = false;
  bool BeyondQuota = false; ///< granted from the tolerance
  double Debt = 0;  ///< tokens granted and not yet refilled, over all entries
  double Burst = 0; ///< largest debt that is allowed
  Duration RetryAfter{}; ///< time until the tokens could be granted
};

/// Token quota of each account over all entries. Every entry keeps the whole
/// debt of an account: its own grants at once, those of other entries when
/// their usage reports arrive. An entry that does not hear some of its peers
/// refills at its share of the rate only. Load pattern: one account sends
/// several times its quota through all entries.
class SharedQuota {
public:
  explicit SharedQuota(QuotaTolerance Tolerance) : Tolerance(Tolerance) {}

  void configure(const FleetConfig &Config, TimePoint Now);

  void setTolerance(QuotaTolerance To) { Tolerance = To; }

  /// Share of the fleet that this entry hears, itself included: 0 to 1.
  void setReportingShare(double Share, TimePoint Now);

  /// Takes \p Tokens of \p Account, or refuses.
  QuotaDecision take(std::string_view Account, double Tokens, TimePoint Now);

  /// Returns the tokens of a request that did not run.
  void refund(std::string_view Account, double Tokens, TimePoint Now);

  /// Tokens this entry has granted since its start, less those given back.
  std::map<std::string, double, std::less<>> grantedTotals() const;

  /// A peer's granted(); \p Incarnation tells a restart from a decrease.
  void recordPeerTotal(std::string_view Peer, std::uint64_t Incarnation,
                       std::string_view Account, double Total, TimePoint Now);

private:
  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Debt = 0;      ///< against the quota with its tolerance
    double QuotaDebt = 0; ///< against the quota alone
    double Granted = 0;
    TimePoint RefilledAt{};
  };

  struct PeerTotal {
    std::uint64_t Incarnation = 0;
    double Total = 0;
  };

  void refill(Bucket &B, TimePoint Now) const;
  static void charge(Bucket &B, double Tokens);
  double refillRate(const Bucket &B) const;
  double maxDebt(const Bucket &B) const;

  QuotaTolerance Tolerance;
  double ReportingShare = 1;
  std::map<std::string, Bucket, std::less<>> Buckets;
  std::map<std::pair<std::string, std::string>, PeerTotal> PeerTotals;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_SHARED_QUOTA_HPP
