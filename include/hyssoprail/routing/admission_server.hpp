#ifndef HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP
#define HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/routing/shared_quota.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// What the coordinator knows of the entries and grants them: one queue and one
/// account of engine memory for all. Load pattern: bursts, when entries that
/// decide by themselves on reports of each other fill the same engines, which
/// then refuse prompts that were read in vain.
class AdmissionServer {
public:
  AdmissionServer(std::string OwnName, StreamScheduler &Scheduler,
                  EndpointTable &Table, SharedQuota &Quota)
      : OwnName(std::move(OwnName)), Scheduler(Scheduler), Table(Table),
        Quota(Quota) {}

  /// This entry begins to coordinate \p Expected entries, itself included.
  void startTerm(std::size_t Expected, TimePoint Now);

  /// It ends: forgets the entries.
  void endTerm(TimePoint Now);

  /// Takes a report, of this entry itself, too.
  void handleReport(const wire::EntryReport &Report, TimePoint Now);

  /// Decides on what waits. A new coordinator decides only after the entries
  /// have reported what its predecessor granted.
  void decide(TimePoint Now);

  /// Drops what silent entries held. To be called some times a second.
  void expireSilentEntries(TimePoint Now);

  /// Entries with decisions that they have not been sent, or wants that have
  /// not been confirmed.
  std::vector<std::string> entriesDueUpdate() const;

  /// Writes what \p Entry is to know into the update, which is then due no
  /// more. \p WithTotals: with those of accounts and calls.
  void fillUpdate(const std::string &Entry, wire::CoordinatorUpdate &Update,
            bool WithTotals);

  /// Addresses of all entries that report, but for this one, by name.
  std::map<std::string, std::string> addresses() const;

  /// Entries that are heard, with this one.
  std::size_t liveEntryCount(TimePoint Now) const;

  /// Entries that are heard or were not long ago, with this one.
  std::size_t knownEntryCount() const { return Entries.size() + (knowsItself() ? 0 : 1); }

  /// Names of the entries that are heard and may coordinate, the one with the
  /// largest VM first.
  std::vector<std::string> deputies(std::size_t Count, TimePoint Now) const;

  /// The other entry that is heard and that the store answered last.
  std::optional<wire::FleetSource> freshestSource(TimePoint Now) const;

  /// Chooses the largest entry of each zone with many entries. The others of
  /// its zone get the changes of the fleet from it. To be called some times a
  /// second.
  void chooseNearbySources(TimePoint Now);

  /// Address of the entry that \p Entry gets the changes from; empty if that is
  /// the source of all.
  std::string nearbySource(const std::string &Entry) const;

private:
  using Grants = std::map<std::uint64_t, wire::StreamGrant>;
  using Denials = std::map<std::uint64_t, wire::StreamDenial>;

  struct Entry {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    std::string Address;
    std::string Zone;
    wire::FleetSource State;
    double Weight = 0;
    bool Leaving = false;
    TimePoint Heard{};
    std::uint64_t LastEvidence = 0;
    std::set<std::uint64_t> Keys; ///< that wait or hold engines
    Grants Granted;               ///< not seen in a report yet
    Denials Denied;               ///< still wanted in the newest report
    std::map<std::string, unsigned, std::less<>> Calls;
    std::map<std::string, double, std::less<>> Reported; ///< account totals
    std::map<std::string, double, std::less<>> Granting; ///< in this term
    bool Due = false;
  };

  bool knowsItself() const { return Entries.contains(OwnName); }
  void takeWants(const std::string &Name, Entry &E,
                 const wire::EntryReport &Report, TimePoint Now);
  void takeRuns(const std::string &Name, Entry &E,
                const wire::EntryReport &Report, TimePoint Now);
  void takeEvidence(const std::string &Name, Entry &E,
                    const wire::EntryReport &Report, TimePoint Now);
  void takeCalls(const std::string &Name, Entry &E,
                 const wire::EntryReport &Report);
  void takeAccounts(const std::string &Name, Entry &E, bool New,
                    const wire::EntryReport &Report, TimePoint Now);
  void fillTotals(const Entry &E, wire::CoordinatorUpdate &Update);
  void drop(const std::string &Name, Entry &E, TimePoint Now);
  bool complete(TimePoint Now) const;
  void record(const StreamPlacement &Place);
  void record(const StreamRefusal &Refusal);
  void forget(const std::string &Name, Entry &E, std::uint64_t Key,
              TimePoint Now);

  std::string OwnName;
  StreamScheduler &Scheduler;
  EndpointTable &Table;
  SharedQuota &Quota;
  TimePoint Began{};
  std::size_t Expected = 1;
  std::map<std::string, Entry> Entries;
  std::map<std::string, std::string> NearbySources; ///< entries, by zone
  std::map<std::string, double, std::less<>> GrantingOfAll; ///< by account
  /// Entry and key of each request that waits or holds engines.
  std::map<std::string, std::pair<std::string, std::uint64_t>> Requests;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP
