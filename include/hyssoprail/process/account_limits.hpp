#ifndef HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
#define HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP

#include <map>
#include <memory>
#include <string>

#include "hyssoprail/version/reducer.hpp"

namespace hyssoprail {

/// Fleet-wide rate and burst of a client account.
struct AccountLimit {
  double Rate = 0;  ///< tokens per second
  double Burst = 0; ///< tokens

  bool operator==(const AccountLimit &) const = default;
};

/// Limits by account name. Every change of a limit creates a new map, so two
/// states have the same limits if their AccountLimitsPtr are equal.
using AccountLimits = std::map<std::string, AccountLimit, std::less<>>;
using AccountLimitsPtr = std::shared_ptr<const AccountLimits>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
