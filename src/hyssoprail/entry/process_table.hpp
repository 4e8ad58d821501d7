#ifndef HYSSOPRAIL_ENTRY_PROCESS_TABLE_HPP
#define HYSSOPRAIL_ENTRY_PROCESS_TABLE_HPP

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/admin_api.hpp"

namespace hyssoprail::entry {

/// Processes that this entry hears of, from heartbeats and gossip.
class ProcessTable {
public:
  explicit ProcessTable(const Clock &Time) : Time(Time) {}

  /// A heartbeat or an ack of the process arrived. \p Load is set for agents.
  void heard(const wire::MemberStatus &Status,
             const wire::LoadReport *Load = nullptr);

  /// Another process passed on what it knows.
  void gossip(const wire::MemberStatus &Status);

  /// Processes heard of within \p MaxAge, with their ages.
  std::vector<ProcessStatus> list(milliseconds MaxAge) const;

  /// Time since the incarnation was heard of; a very long time if it was not.
  milliseconds silence(std::uint64_t Incarnation) const;

private:
  struct Row {
    ProcessStatus Status;
    TimePoint HeardAt;
  };

  void store(const wire::MemberStatus &Status, const wire::LoadReport *Load,
             TimePoint HeardAt);

  const Clock &Time;
  mutable std::mutex Mutex;
  std::map<std::string, Row> Rows; ///< by process name
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_PROCESS_TABLE_HPP
