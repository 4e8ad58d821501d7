#ifndef HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP
#define HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// A debit asked by this process that has no answer yet.
struct PendingDebit {
  std::string Id;
  std::string Account;
  std::uint64_t Tokens = 0;
  TimePoint Deadline;
  TimePoint NextSend;
  std::uint64_t SentTo = 0;    ///< owner it was last sent to; 0: not sent
  std::uint64_t SentEpoch = 0; ///< epoch it was last sent under
  /// Why it has no answer: the last refusal, or UNSPECIFIED without any.
  wire::DebitResult LastResult = wire::DEBIT_RESULT_UNSPECIFIED;
};

/// Debits that wait for the owner of their shard.
class PendingDebitTable {
public:
  /// Adds a debit; an id that is already pending is ignored.
  void add(PendingDebit Debit);

  /// Pending debit with this id; null if there is none.
  PendingDebit *find(const std::string &Id);

  void erase(const std::string &Id) { Pending.erase(Id); }

  /// Removes and returns the debits whose deadline has come.
  std::vector<PendingDebit> takeExpired(TimePoint Now);

  /// Debits whose next send is due.
  std::vector<PendingDebit *> due(TimePoint Now);

  std::size_t size() const { return Pending.size(); }

private:
  std::unordered_map<std::string, PendingDebit> Pending;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP
