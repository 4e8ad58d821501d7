#ifndef HYSSOPRAIL_ROUTING_CALL_GRANT_SERVER_HPP
#define HYSSOPRAIL_ROUTING_CALL_GRANT_SERVER_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// The coordinator's side of the grants of calls. It grants the calls of all
/// entries to endpoints that take only a limited number of requests from all of
/// them together, and tells the entries which limits are in force. A decision
/// is repeated until the entry no longer reports the request.
class CallGrantServer {
public:
  explicit CallGrantServer(EndpointTable &Table) : Table(Table) {}

  /// Discards the decisions; called when a term as coordinator begins or ends.
  void clear();

  /// Decides on the requests of an entry, which may be this one.
  void handleReport(const wire::EntryReport &Report, TimePoint Now);

  /// Entries with decisions that have not been sent to them.
  const std::set<std::string> &entriesDueUpdate() const { return Due; }

  /// Adds the decisions for \p Entry, and with the totals the limits in force.
  void fillUpdate(const std::string &Entry, wire::CoordinatorUpdate &Update,
                  TimePoint Now);

  /// Discards the decisions for entries that have stopped reporting.
  void expireSilentEntries(TimePoint Now);

private:
  struct Entry {
    std::uint64_t Incarnation = 0;
    TimePoint LastReportAt{};
    std::map<std::uint64_t, wire::CallGrant> Granted;
    std::map<std::uint64_t, wire::CallDenial> Denied;
  };

  void applyLimits(const wire::EntryReport &Report, TimePoint Now);
  void decide(Entry &E, const wire::CallWant &Want, const std::string &Zone,
              TimePoint Now);
  wire::CallDenial makeDenial(const wire::CallWant &Want, TimePoint Now);

  EndpointTable &Table;
  std::map<std::string, Entry> Entries;
  std::set<std::string> Due;
  /// When the last denied caller of a service may return.
  std::map<std::string, TimePoint, std::less<>> LastReturn;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_GRANT_SERVER_HPP
