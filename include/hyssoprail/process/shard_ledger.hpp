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

/// Debt of one account's bucket, passed on at a hand-over.
struct BucketDebt {
  std::string Account;
  double Tokens = 0;
};

/// Decision about one debit.
struct LedgerAnswer {
  enum class Kind { Granted, OverRate, OverBurst, UnknownAccount };
  Kind Result = Kind::UnknownAccount;
  bool Repeated = false;  ///< the debit was granted before
  Duration RetryAfter{0}; ///< with OverRate
};

/// Buckets of the accounts of one shard during one epoch, and the debits whose
/// refund may still come. Not thread-safe.
class ShardLedger {
public:
  struct Options {
    TimePoint Start;        ///< time of the first possible grant
    bool StartFull = false; ///< no token was ever granted before Start
    double RateFactor = 1;
  };

  ShardLedger(Options Opts, Invariants &Checks);

  /// Removes the accounts that \p Limits does not contain.
  void removeAbsentAccounts(const AccountLimits &Limits, TimePoint Now);

  /// Applies one account's limit; nullopt removes it. The debt of a removed
  /// account is kept, so that removing and creating it again grants nothing.
  void setAccount(const std::string &Name, std::optional<AccountLimit> Limit,
                  TimePoint Now);

  /// Decides a debit. A repeated id gets its first answer again.
  LedgerAnswer debit(const std::string &Id, std::string_view Account,
                     std::uint64_t Tokens, TimePoint Now);

  /// Credits unused tokens of a debit once. Returns the tokens credited, or
  /// nullopt if the debit is unknown, was refunded, or is older than two
  /// minutes.
  std::optional<double> refund(const std::string &Id, std::uint64_t Tokens,
                               TimePoint Now);

  /// Forgets old debits.
  void tick(TimePoint Now);

  /// Debts of all buckets at \p Now.
  std::vector<BucketDebt> debts(TimePoint Now) const;

  /// Replaces the starting debt of the accounts in \p Debts and lets the epoch
  /// begin at \p Now. Nothing may have been granted before.
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
  // Debits in two generations, exchanged every minute.
  DebitMap Recent;
  DebitMap Older;
  TimePoint RotatedAt;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SHARD_LEDGER_HPP
