#ifndef HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
#define HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP

#include <map>
#include <memory>
#include <string>

#include "hyssoprail/version/reducer.hpp"

namespace hyssoprail {

/// Rate and burst of a client account over the whole fleet.
struct AccountLimit {
  double Rate = 0;  ///< tokens per second
  double Burst = 0; ///< tokens

  bool operator==(const AccountLimit &) const = default;
};

/// Limits by account name. The pointer changes when any limit changes.
using AccountLimits = std::map<std::string, AccountLimit, std::less<>>;
using AccountLimitsPtr = std::shared_ptr<const AccountLimits>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
