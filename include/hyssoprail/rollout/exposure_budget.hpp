#ifndef HYSSOPRAIL_ROLLOUT_EXPOSURE_BUDGET_HPP
#define HYSSOPRAIL_ROLLOUT_EXPOSURE_BUDGET_HPP

#include <cstdint>
#include <map>
#include <string>

namespace hyssoprail::rollout {

/// Bound on the requests that an unproven version gets: a share of all requests
/// to its service, and a number beyond that share.
struct ExposureBound {
  double Share = 0;
  double Slack = 0;
};

/// Lends the requests that entries may send to an unproven version. The sum of
/// all allowances stays within the bound, whichever entries restart, fall
/// silent or follow another coordinator: a coordinator lends only against
/// requests that were counted in its own term, and the slack is lent by the one
/// that began the rollout. Load pattern: hundreds of entries, each with a small
/// and changing part of a service's requests.
class ExposureBudget {
public:
  /// \p BeganHere: this term began the rollout, so nobody else has lent the
  /// slack.
  ExposureBudget(ExposureBound Bound, bool BeganHere)
      : Bound(Bound), BeganHere(BeganHere) {}

  /// Takes what an incarnation of an entry has counted, in totals.
  void report(const std::string &Entry, std::uint64_t Incarnation,
              std::uint64_t Requests, std::uint64_t Allowance);

  /// Lends what is free. The allowances in all stay within \p UsedShare, 0 to
  /// 1, of the bound.
  void lend(double UsedShare);

  /// Allowance of an incarnation of the entry; 0 if it has not reported yet. An
  /// allowance of its predecessor may have been used up.
  std::uint64_t allowance(const std::string &Entry,
                          std::uint64_t Incarnation) const;

  /// Requests counted in this term.
  std::uint64_t counted() const;

  /// Requests that this term may lend in all.
  double limit() const;

private:
  struct Account {
    std::uint64_t Incarnation = 0;
    std::uint64_t FirstRequests = 0; ///< when it was first heard in this term
    std::uint64_t Requests = 0;
    std::uint64_t Allowance = 0;
    std::uint64_t Lent = 0; ///< in this term
    double Demand = 0;      ///< requests since the last lending
  };

  ExposureBound Bound;
  bool BeganHere;
  std::map<std::string, Account> Accounts;
  std::uint64_t EndedRequests = 0; ///< of incarnations that have ended
  std::uint64_t LentInTerm = 0;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_EXPOSURE_BUDGET_HPP
