#ifndef HYSSOPRAIL_PROCESS_LIMIT_AUDIT_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_AUDIT_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/account_limits.hpp"

namespace hyssoprail {

/// A window in which an account was granted more than its limit allows.
struct BoundViolation {
  std::string Account;
  TimePoint From; ///< first grant of the window
  TimePoint To;   ///< last grant of the window
  double Tokens = 0;
  double Allowed = 0;

  /// Text for test output and logs.
  std::string describe() const;
};

/// Checks all grants of a fleet, timed by one clock, against the bound: in
/// every window an account is granted at most burst + rate x length. A grant
/// counts at the time it was made, minus the tokens credited for it later. If
/// limits change within a window, the largest burst applies, and the rate is
/// integrated over the window.
///
/// \code
///   LimitAudit Audit;
///   Audit.setLimit("a", Start, {.Rate = 100, .Burst = 500});
///   Audit.granted("a", "debit-1", 400, Now);
///   if (auto V = Audit.firstViolation()) FAIL(V->describe());
/// \endcode
class LimitAudit {
public:
  /// Puts a limit into force at \p From. Calls for an account must be in order
  /// of time.
  void setLimit(const std::string &Account, TimePoint From, AccountLimit Limit);

  /// Adds a grant. Every call counts, also with a debit id used before.
  void granted(const std::string &Account, const std::string &DebitId,
               double Tokens, TimePoint At);

  /// Subtracts a credit from the newest grant of this debit.
  void credited(const std::string &Account, const std::string &DebitId,
                double Tokens);

  /// Checks every window; returns the first violation found.
  std::optional<BoundViolation> firstViolation() const;

  /// Tokens granted to \p Account minus credits.
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
