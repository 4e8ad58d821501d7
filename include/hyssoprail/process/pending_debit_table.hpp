#ifndef HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP
#define HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// A debit of a request in this process that has no final answer yet.
struct PendingDebit {
  std::string Id;
  std::string Account;
  std::uint64_t Tokens = 0;
  TimePoint Deadline;
  TimePoint NextSend;
  std::uint64_t SentTo = 0;    ///< owner it was last sent to; 0: not sent yet
  std::uint64_t SentEpoch = 0; ///< epoch it was last sent under
  /// Last transient refusal; UNSPECIFIED if there was none.
  wire::DebitResult LastResult = wire::DEBIT_RESULT_UNSPECIFIED;
};

/// Debits that wait for the owner of their shard, by id.
class PendingDebitTable {
public:
  /// Adds a debit. Does nothing if its id is already pending.
  void add(PendingDebit Debit);

  /// Pending debit with this id; null if there is none.
  PendingDebit *find(const std::string &Id);

  void erase(const std::string &Id) { Pending.erase(Id); }

  /// Removes and returns the debits whose deadline is reached.
  std::vector<PendingDebit> takeExpired(TimePoint Now);

  /// Debits that are due to be sent again.
  std::vector<PendingDebit *> due(TimePoint Now);

  std::size_t size() const { return Pending.size(); }

private:
  std::unordered_map<std::string, PendingDebit> Pending;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_PENDING_DEBIT_TABLE_HPP
