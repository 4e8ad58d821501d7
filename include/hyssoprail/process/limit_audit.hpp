#ifndef HYSSOPRAIL_PROCESS_LIMIT_AUDIT_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_AUDIT_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/account_limits.hpp"

namespace hyssoprail {

/// A window in which an account received more than its limit allows.
struct BoundViolation {
  std::string Account;
  TimePoint From; ///< first grant of the window
  TimePoint To;   ///< last grant of the window
  double Tokens = 0;
  double Allowed = 0;

  /// Text for test output and logs.
  std::string describe() const;
};

/// Checks the grants of a whole fleet, on one clock, against the bound: in
/// every window an account receives at most burst + rate x length. A grant
/// counts at its time, less what was credited for it later. While limits
/// change, the burst is the largest in force in the window, and the rate is
/// summed over the window.
///
/// \code
///   LimitAudit Audit;
///   Audit.setLimit("a", Start, {.Rate = 100, .Burst = 500});
///   Audit.granted("a", "debit-1", 400, Now);
///   if (auto V = Audit.firstViolation()) FAIL(V->describe());
/// \endcode
class LimitAudit {
public:
  /// Puts a limit in force from \p From on; times must not fall.
  void setLimit(const std::string &Account, TimePoint From, AccountLimit Limit);

  /// Adds a grant; repeated ids are separate grants.
  void granted(const std::string &Account, const std::string &DebitId,
               double Tokens, TimePoint At);

  /// Subtracts a credit from the newest grant with this id.
  void credited(const std::string &Account, const std::string &DebitId,
                double Tokens);

  /// Checks every window; returns the first violation found.
  std::optional<BoundViolation> firstViolation() const;

  /// Tokens granted to \p Account, less credits.
  double total(const std::string &Account) const;

private:
  struct LimitPeriod {
    TimePoint From;
    AccountLimit Limit;
  };
  struct Grant {
    TimePoint At;
    double Tokens;
  };
  struct AccountHistory {
    std::vector<LimitPeriod> Periods;
    std::vector<Grant> Grants;
    std::map<std::string, std::size_t> ByDebit;
  };

  static double maxBurstAt(const std::vector<LimitPeriod> &Periods,
                           std::size_t Index, TimePoint At);
  static std::optional<BoundViolation> check(const std::string &Account,
                                             const AccountHistory &History);

  std::map<std::string, AccountHistory> Accounts;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_AUDIT_HPP
