#ifndef HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
#define HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hyssoprail/core/hash.hpp"

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

/// Number of shards that accounts hash to; each shard has one owner.
constexpr std::uint32_t LimitShardCount = 64;

/// Returns the shard of \p Account, the same in every process.
inline std::uint32_t limitShard(std::string_view Account) {
  return static_cast<std::uint32_t>(stableHash(Account) % LimitShardCount);
}

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ACCOUNT_LIMITS_HPP
