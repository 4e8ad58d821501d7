#ifndef HYSSOPRAIL_GATEWAY_COORDINATION_HPP
#define HYSSOPRAIL_GATEWAY_COORDINATION_HPP

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "hyssoprail/gateway/peer_transport.hpp"
#include "hyssoprail/gateway/rollout_exchange.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/admission_client.hpp"
#include "hyssoprail/routing/admission_server.hpp"
#include "hyssoprail/routing/call_grant_client.hpp"
#include "hyssoprail/routing/call_grant_server.hpp"
#include "hyssoprail/routing/call_share_server.hpp"
#include "hyssoprail/routing/call_slots.hpp"
#include "hyssoprail/routing/coordinator_election.hpp"
#include "hyssoprail/routing/crash_ledgers.hpp"
#include "hyssoprail/routing/engine_work_log.hpp"
#include "hyssoprail/routing/health_signal_log.hpp"
#include "hyssoprail/routing/leaving_exchange.hpp"

namespace hyssoprail::gateway {

/// State of the entry that Coordination reads and updates.
struct CoordinationState {
  routing::EndpointTable &Table;
  routing::HealthSignalLog &EngineSignals;
  routing::CrashLedgers &Crashes;
  routing::SharedQuota &Quota;
  FleetFeed &Feed;
  routing::EngineWorkLog *EngineWork = nullptr; ///< null: none is reported
};

/// Addresses of entries from which this one can fetch changes of the fleet.
/// Both are empty if this entry has no reason to fetch any.
struct FleetSources {
  std::string StoreReader; ///< an entry that reads the store
  std::string Nearby;      ///< relays changes within this zone; may be empty
};

/// Exchanges reports and updates between this entry (one gateway process) and
/// the elected coordinator, which places all generations of the fleet; acts as
/// the coordinator if this entry is elected. Requests new decisions whenever
/// their inputs have changed. Used on the event loop thread only.
class Coordination {
public:
  /// Receives the decisions on generations and calls of this entry.
  struct DecisionHandlers {
    std::function<void(const std::vector<routing::StreamDecision> &)> OnStreams;
    std::function<void(const std::vector<routing::CallDecision> &)> OnCalls;
    /// Decisions on calls that wait for slots of plain services.
    std::function<void(const std::vector<routing::CallQueueDecision> &)>
        OnCallQueue = [](const auto &) {};
  };

  Coordination(boost::asio::io_context &Context,
               const GatewaySettings &Settings, std::uint64_t Incarnation,
               const Clock &Time, DecisionLog &Log, PeerTransport &Peers,
               CoordinationState State, DecisionHandlers Handlers);

  /// Binds the peer address of the settings. Fails with Unavailable.
  Status start();

  void configure(const routing::FleetConfigPtr &Next);

  /// Sets the entries that have announced themselves, this one included.
  void setEntries(const std::vector<EntryAddress> &Entries);

  /// Does the periodic work; to be called about ten times a second or more.
  void tick();

  /// Schedules a report or, on the coordinator, a decision after an input of
  /// the decisions has changed. Calls before it runs are combined into one.
  void notifyStateChanged();

  /// Begins a planned stop: this entry hands coordination over to an entry that
  /// is not stopping, as soon as there is one.
  void beginStop();

  /// Gives up coordination for good, just before the process ends.
  void shutDown();

  /// The store may have lost what this entry has published.
  void storeRestored() {
    CrashesPublished = 0;
    Rollouts.storeRestored();
  }

  RolloutExchange &rollouts() { return Rollouts; }

  routing::StreamAdmission &admission() { return Client; }
  routing::CallGrantClient &calls() { return Calls; }
  routing::CallSlots &slots() { return Slots; }

  /// Queue of the whole fleet; in use only while this entry is the coordinator.
  const routing::StreamScheduler &scheduler() const { return Scheduler; }

  /// Number of entries, this one included, that share the fleet-wide limits.
  std::size_t knownEntries() const;

  /// Share of the known entries whose reports reach the coordinator, which may
  /// be this entry. Without a coordinator it is the share of this entry alone.
  double reportingShare() const;

  /// Share of the limits that endpoints state which this entry may grant.
  double limitShare() const;

  bool isCoordinator() const { return Election.isCoordinator(); }

  /// Entries to ask for changes of the fleet that this one does not have yet.
  FleetSources changeSources() const;

  /// Generations of this entry, and of the whole fleet, that wait for engines.
  std::size_t waitingStreams() const { return Client.pendingCount(); }
  std::size_t fleetQueueLength() const { return FleetQueueLength; }

  /// Adds this entry's waiting generations, by service and priority.
  void
  countWaiting(std::map<std::pair<std::string, int>, std::size_t> &Out) const {
    Client.countPending(Out);
  }

private:
  struct PeerEntry {
    std::string Address;
    double Weight = 0;
    TimePoint AddressSince{};
    std::size_t GroupSize =
        0; ///< entries that followed it when it announced so
    TimePoint GroupAnnouncedAt{};
  };

  struct SentReport {
    std::uint64_t Sequence = 0;
    TimePoint At{};
    TimePoint AttentiveAt{}; ///< without the delay of this entry until then
  };

  void onMessage(const wire::CoordinationMessage &Message);
  void onUpdate(const wire::CoordinatorUpdate &Update);
  void introduceSelf(const routing::CoordinatorClaim &Claim, bool Follows,
                     TimePoint Now);
  const SentReport *
  confirmedReport(const wire::CoordinatorUpdate &Update) const;
  void applyUpdate(const wire::CoordinatorUpdate &Update, TimePoint MadeAt,
                   TimePoint Now);
  void updateSpeeds(TimePoint Now);
  void beginCoordination(TimePoint Now);
  void handOverIfPossible(TimePoint Now);
  void handOver(TimePoint Now);
  void logCoordinatorChange(std::string_view Why, Duration MaxAge = {});
  void deliver(const std::vector<routing::StreamDecision> &Decisions);
  void applyDecisions(const wire::CoordinatorUpdate &Update, TimePoint Now);
  bool hasUnreportedChange() const {
    return Client.hasUnreportedChange() || Calls.hasUnreportedChange() ||
           Leavers.hasUnreportedChange() || Slots.hasUnreportedChange();
  }
  void deliverCallQueue(TimePoint Now);
  void applyOwnShares(TimePoint Now);
  void endTerm(TimePoint Now);
  void takeReport(const wire::EntryReport &Report, TimePoint Now);
  std::size_t claimRank() const;

  wire::EntryReport makeReport(const std::string &To, TimePoint Now);
  void sendReport(const routing::CoordinatorClaim &To, TimePoint Now);
  bool reportDue(TimePoint Now) const;

  void handleStateChange();
  void reportOrDecide();
  void decide(TimePoint Now);
  void decideRollouts(TimePoint Now);
  void measureRooms(TimePoint Now);
  wire::FleetSource ownSource() const;
  FeedPosition sourcePosition() const;
  void chooseSource(TimePoint Now);
  void applySource(TimePoint KnownAt, TimePoint Now);
  bool hasAllOf(const wire::FleetSource &Other) const;
  bool shouldReadStore(TimePoint Now);
  bool needsFullEndpointList() const;
  wire::CoordinatorUpdate makeUpdate(const std::string &Entry);
  void sendUpdate(const std::string &Entry, const std::string &Address,
                  TimePoint Now);
  void sendHeartbeats(TimePoint Now);
  bool storeAnswers() const;
  void forgetSilentEntries(TimePoint Now);
  void announceGroup(TimePoint Now);
  template <typename Message>
  void takeCrashes(const Message &From, TimePoint Now);
  void forgetCrashPeers();
  template <typename Message> void takeLeaving(const Message &From);
  void publishCrashes(TimePoint Now);
  std::size_t partedEntries(TimePoint Now) const;

  boost::asio::io_context &Context;
  const GatewaySettings &Settings;
  const std::uint64_t Incarnation;
  const Clock &Time;
  DecisionLog &Log;
  CoordinationState State;
  DecisionHandlers Handlers;

  routing::FleetConfigPtr Config;
  routing::StreamScheduler Scheduler;
  routing::AdmissionClient Client;
  routing::AdmissionServer Server;
  routing::CallGrantClient Calls;
  routing::CallGrantServer Grants;
  routing::CallSlots Slots;
  routing::CallShareServer Shares;
  routing::LeavingExchange Leavers;
  routing::CoordinatorElection Election;
  PeerTransport &Peers;
  RolloutExchange Rollouts;
  boost::asio::steady_timer DecisionPause;
  TimePoint DecideAgainAt{}; ///< not sooner, unless a tick does it

  std::map<std::string, PeerEntry> Entries; ///< by name, without this one
  bool ElectionStarted = false;
  bool ReportPending = false;
  bool Leaving = false;

  // As a follower.
  std::uint64_t ReportSequence = 0;
  TimePoint ReportedAt{};
  std::deque<SentReport> SentReports;
  std::map<std::string, TimePoint> IntroducedAt; ///< by name of claimant
  wire::FleetSource Source;     ///< serves entries that do not read the store
  TimePoint LastStaleAt{};      ///< when the fleet data was last too old
  bool ReadsStore = true;       ///< this entry reads the store
  bool ReadsAsFallback = false; ///< since other entries sent nothing fresh
  bool EverFresh = false;       ///< the data was fresh at least once
  std::size_t FleetQueueLength = 0;

  // As the coordinator.
  std::uint64_t UpdateSequence = 0;
  TimePoint CoordinatorSince{};
  std::size_t KnownAtClaim = 1; ///< 1 after a time, as entries have reported
  TimePoint CompleteAt{};       ///< when all known entries last reported
  TimePoint GroupAnnouncedAt{}; ///< by this entry
  std::uint64_t CrashesPublished = 0; ///< revision of the ledger in the store
  TimePoint CrashesPublishedAt{};
  bool PublishingCrashes = false;
  std::map<std::string, TimePoint> UpdateSentAt;
  std::map<std::string, TimePoint> TotalsSentAt;
  std::vector<wire::ServiceRoom> Rooms;
  TimePoint RoomsMeasuredAt{};
  std::vector<std::string> Deputies; ///< in the order in which they claim
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_COORDINATION_HPP
