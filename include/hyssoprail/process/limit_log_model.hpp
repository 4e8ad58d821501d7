#ifndef HYSSOPRAIL_PROCESS_LIMIT_LOG_MODEL_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_LOG_MODEL_HPP

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "hyssoprail/process/limit_view.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Change of one account's limit; a limit of nullopt removes the account.
struct AccountChange {
  std::string Account;
  std::optional<AccountLimit> Limit;
};

/// Model of the append-only log for tests and benchmarks of limits. Keeps the
/// state reduced from the log at every offset. Appends take effect at once;
/// LimitFleetModel adds delays, outages and lost replies.
class LimitLogModel {
public:
  using Record = std::variant<AccountChange, wire::Member, wire::TakeOver>;

  LimitLogModel() : Views{std::make_shared<LimitView>()} {}

  /// Appends a record and returns the new end of the log. A record with a
  /// repeated operation id does not change the state.
  std::uint64_t append(const std::string &OperationId, const Record &Body);

  std::uint64_t end() const { return Views.size() - 1; }
  const LimitViewPtr &view(std::uint64_t Offset) const { return Views[Offset]; }

private:
  std::vector<LimitViewPtr> Views;
  std::set<std::string> AppliedOperations;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_LOG_MODEL_HPP
