#ifndef HYSSOPRAIL_PROCESS_SHARD_LEDGER_HPP
#define HYSSOPRAIL_PROCESS_SHARD_LEDGER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hyssoprail/process/account_limits.hpp"
#include "hyssoprail/process/invariants.hpp"
#include "hyssoprail/process/token_bucket.hpp"
#include "hyssoprail/process/window_check.hpp"

namespace hyssoprail {

/// Debt of one account's bucket, sent to the next owner at a hand-over.
struct BucketDebt {
  std::string Account;
  double Tokens = 0;
};

/// Outcome of one debit.
struct LedgerAnswer {
  enum class Kind { Granted, OverRate, OverBurst, UnknownAccount };
  Kind Result = Kind::UnknownAccount;
  bool Repeated = false;  ///< the debit had been granted before
  Duration RetryAfter{0}; ///< with OverRate
};

/// Token buckets of the accounts of one shard during one epoch, and the granted
/// debits that can still be refunded. Not thread-safe.
class ShardLedger {
public:
  struct Options {
    TimePoint Start;        ///< earliest time of a grant
    bool StartFull = false; ///< buckets start full; only safe if no owner
                            ///< granted tokens before Start
    double RateFactor = 1;
  };

  ShardLedger(Options Opts, Invariants &Checks);

  /// Removes the accounts that are not in \p Limits.
  void removeAbsentAccounts(const AccountLimits &Limits, TimePoint Now);

  /// Applies one account's limit; nullopt removes the account. The debt of a
  /// removed account is kept, so that an account which is removed and created
  /// again gets no second burst.
  void setAccount(const std::string &Name, std::optional<AccountLimit> Limit,
                  TimePoint Now);

  /// Grants or refuses a debit. The id of a granted debit is granted again
  /// without effect.
  LedgerAnswer debit(const std::string &Id, std::string_view Account,
                     std::uint64_t Tokens, TimePoint Now);

  /// Credits unused tokens of a debit, at most once per debit. Returns the
  /// credited tokens, or nullopt if the debit is unknown, already refunded or
  /// expired: it expires one to two minutes after the grant.
  std::optional<double> refund(const std::string &Id, std::uint64_t Tokens,
                               TimePoint Now);

  /// Drops expired debits.
  void tick(TimePoint Now);

  /// Debts of the accounts that are not removed, at \p Now.
  std::vector<BucketDebt> debts(TimePoint Now) const;

  /// Starts the epoch at \p Now with the debts handed over by the previous
  /// owner. Accounts that are not in \p Debts start with an empty bucket. Must
  /// not be called after the first grant.
  void startWithDebts(const std::vector<BucketDebt> &Debts, TimePoint Now);

  std::size_t accounts() const { return Accounts.size(); }
  std::size_t refundableDebits() const { return Recent.size() + Older.size(); }

private:
  struct AccountState {
    TokenBucket Bucket;
    WindowCheck Check;
    bool Removed = false;
  };
  struct RefundableDebit {
    AccountState *Account;
    std::uint64_t Grant;
    std::uint64_t Tokens;
  };
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Name) const {
      return std::hash<std::string_view>{}(Name);
    }
  };
  using AccountMap =
      std::unordered_map<std::string, AccountState, NameHash, std::equal_to<>>;
  using DebitMap = std::unordered_map<std::string, RefundableDebit>;

  AccountMap::iterator addAccount(const std::string &Name, AccountLimit Limit,
                                  double Debt, TimePoint Start);

  Options Opts;
  Invariants &Checks;
  AccountMap Accounts;
  // Refundable debits in two generations, which are rotated every minute.
  DebitMap Recent;
  DebitMap Older;
  TimePoint RotatedAt;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SHARD_LEDGER_HPP
