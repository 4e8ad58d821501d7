#ifndef HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP
#define HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/routing/engine_speeds.hpp"
#include "hyssoprail/routing/overload_mode.hpp"
#include "hyssoprail/routing/shared_quota.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// The coordinator's side of admission: the state that the entries report and
/// the decisions on their requests, with one queue and one account of engine
/// memory for the whole fleet. Load pattern: in bursts, entries that decided
/// separately, each on the reports of the others, filled the same engines;
/// these then refused generations whose prompts had already been prefilled.
class AdmissionServer {
public:
  AdmissionServer(std::string OwnName, StreamScheduler &Scheduler,
                  EndpointTable &Table, SharedQuota &Quota)
      : OwnName(std::move(OwnName)), Scheduler(Scheduler), Table(Table),
        Quota(Quota), Speeds(Table) {}

  /// Sets the policy under overload, which decides whether the speeds of
  /// engines are used.
  void setOverload(OverloadMode Mode) { Overload = Mode; }

  /// Starts a term of this entry as coordinator of \p Expected entries, itself
  /// included.
  void startTerm(std::size_t Expected, TimePoint Now);

  /// Ends the term and discards the state of the entries.
  void endTerm(TimePoint Now);

  /// Applies the report of an entry, which may be this one. Returns false if it
  /// is out of date.
  bool handleReport(const wire::EntryReport &Report, TimePoint Now);

  /// Decides on the queued requests. A new coordinator first waits until the
  /// entries have reported what its predecessor granted.
  void decide(TimePoint Now);

  /// Applies what the reports tell of the speeds of engines. Returns the
  /// engines that have become fast, slow or usual. Must be called several times
  /// per second.
  std::vector<EngineSpeedChange> updateSpeeds(TimePoint Now);

  /// Releases the reservations of entries that have stopped reporting. Must be
  /// called several times per second.
  void releaseSilentEntries(TimePoint Now);

  /// Forgets entries that have not reported for long: they count as ended.
  void forgetSilentEntries(TimePoint Now);

  /// Entries with decisions that have not been sent to them, or requests whose
  /// receipt has not been confirmed to them.
  std::vector<std::string> entriesDueUpdate() const;

  /// Fills the update for \p Entry and marks it as sent. \p WithTotals adds the
  /// totals of accounts and calls.
  void fillUpdate(const std::string &Entry, wire::CoordinatorUpdate &Update,
                  bool WithTotals, TimePoint Now);

  /// Addresses by name of all reporting entries except this one.
  std::map<std::string, std::string> addresses() const;

  /// Number of entries that report at present, including this one.
  std::size_t liveEntryCount(TimePoint Now) const;

  /// Number of entries that report at present or did until recently, including
  /// this one.
  std::size_t knownEntryCount() const {
    return Entries.size() + (hasOwnEntry() ? 0 : 1);
  }

  /// Names of up to \p Count live entries that may take over as coordinator,
  /// the one on the largest VM first.
  std::vector<std::string> deputies(std::size_t Count, TimePoint Now) const;

  /// The live entry other than this one whose answer from the store is the most
  /// recent.
  std::optional<wire::FleetSource> freshestSource(TimePoint Now) const;

  /// The live entry other than this one with the newest configuration.
  std::optional<wire::FleetSource> newestConfigSource(TimePoint Now) const;

  /// Chooses the entry on the largest VM of each zone with many entries as the
  /// zone's source of fleet changes: the other entries of the zone fetch the
  /// changes from it. Must be called several times per second.
  void chooseNearbySources(TimePoint Now);

  /// Address of the entry in its own zone from which \p Entry fetches fleet
  /// changes; empty if it asks the fleet-wide source.
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
    TimePoint LastReportAt{};
    std::uint64_t LastSignalSerial = 0;
    /// Keys of the requests that are queued or hold engines.
    std::set<std::uint64_t> ActiveKeys;
    Grants Granted; ///< not yet seen as running in a report
    Denials Denied; ///< still pending in the latest report
    std::map<std::string, unsigned, std::less<>> Calls;
    /// Tokens granted since the start of the entry, by account.
    std::map<std::string, double, std::less<>> ReportedTotals;
    /// Tokens granted in this term, by account.
    std::map<std::string, double, std::less<>> GrantedInTerm;
    bool UpdateDue = false;
  };

  bool isSource(const std::string &Name, const Entry &E, TimePoint Now) const;
  bool hasOwnEntry() const { return Entries.contains(OwnName); }
  void applyWants(const std::string &Name, Entry &E,
                  const wire::EntryReport &Report, TimePoint Now);
  void applyRuns(const std::string &Name, Entry &E,
                 const wire::EntryReport &Report, TimePoint Now);
  void applyHealthSignals(const std::string &Name, Entry &E,
                          const wire::EntryReport &Report, TimePoint Now);
  void applyEngineWork(const wire::EntryReport &Report, TimePoint Now);
  void applyCalls(const std::string &Name, Entry &E,
                  const wire::EntryReport &Report);
  void applyAccounts(const std::string &Name, Entry &E, bool NewIncarnation,
                     const wire::EntryReport &Report, TimePoint Now);
  void fillTotals(const Entry &E, wire::CoordinatorUpdate &Update,
                  TimePoint Now);
  void releaseAll(const std::string &Name, Entry &E, TimePoint Now);
  bool reportsComplete(TimePoint Now) const;
  void record(const StreamPlacement &Placement);
  void record(const StreamRefusal &Refusal);
  void removeRequest(const std::string &Name, Entry &E, std::uint64_t Key,
                     TimePoint Now);

  std::string OwnName;
  StreamScheduler &Scheduler;
  EndpointTable &Table;
  SharedQuota &Quota;
  EngineSpeeds Speeds;
  OverloadMode Overload = OverloadMode::Arrival;
  TimePoint TermStart{};
  std::size_t Expected = 1;
  std::map<std::string, Entry> Entries;
  /// Name of the chosen entry, by zone.
  std::map<std::string, std::string> NearbySources;
  /// Tokens granted in this term by all entries, by account.
  std::map<std::string, double, std::less<>> TotalGrantedInTerm;
  /// Entry and key of each request that is queued or holds engines.
  std::map<std::string, std::pair<std::string, std::uint64_t>> Requests;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ADMISSION_SERVER_HPP
