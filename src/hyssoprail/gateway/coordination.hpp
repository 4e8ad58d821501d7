#ifndef HYSSOPRAIL_GATEWAY_COORDINATION_HPP
#define HYSSOPRAIL_GATEWAY_COORDINATION_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "hyssoprail/gateway/peer_socket.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/admission_client.hpp"
#include "hyssoprail/routing/admission_server.hpp"
#include "hyssoprail/routing/coordinator_election.hpp"
#include "hyssoprail/routing/evidence_log.hpp"

namespace hyssoprail::gateway {

/// Beliefs of the entry that the coordination reads and changes.
struct CoordinationState {
  routing::EndpointTable &Table;
  routing::EvidenceLog &Evidence;
  routing::SharedQuota &Quota;
  FleetFeed &Feed;
};

/// Addresses of entries that serve changes of the fleet. Both are empty if
/// there is nothing to ask for.
struct FleetSources {
  std::string StoreReader; ///< reads the store
  std::string Nearby;      ///< follows in this entry's zone; may be empty
};

/// Connects this entry with the coordinator of all entries, or coordinates them
/// itself: sends and hears datagrams, and asks for decisions when something
/// that decides them has changed. Used on the thread of the event loop.
class Coordination {
public:
  using DecisionHandler =
      std::function<void(const std::vector<routing::StreamDecision> &)>;

  Coordination(boost::asio::io_context &Context,
               const GatewaySettings &Settings, std::uint64_t Incarnation,
               const Clock &Time, DecisionLog &Log, CoordinationState State,
               DecisionHandler OnDecisions);

  /// Binds the address of the settings. Fails with Unavailable.
  Status start();

  void configure(const routing::FleetConfigPtr &Next);

  /// Entries that have announced themselves, this one included.
  void setEntries(const std::vector<EntryAddress> &Entries);

  /// Periodic work, to be done some ten times a second.
  void tick();

  /// Something has changed that a decision may depend on.
  void notifyStateChanged();

  /// This entry stops: another one that does not is to coordinate.
  void beginStop();

  /// The process ends: it coordinates no more.
  void shutDown();

  routing::StreamAdmission &admission() { return Client; }

  /// Queue of all entries, while this one coordinates.
  const routing::StreamScheduler &scheduler() const { return Scheduler; }

  /// Entries that share a bound of the whole fleet.
  std::size_t knownEntries() const;

  /// Part of the known entries that this entry hears, at least through the
  /// coordinator.
  double reachableShare() const;

  bool isCoordinator() const { return Election.coordinates(); }

  /// Entries to ask for changes of the fleet that this one does not know.
  FleetSources changeSources() const;

  std::size_t waitingStreams() const { return Client.wanting(); }
  std::size_t fleetQueueLength() const { return FleetQueueLength; }

private:
  struct PeerEntry {
    std::string Address;
    double Weight = 0;
    TimePoint AddressSince{};
  };

  void onMessage(const wire::CoordinationMessage &Message);
  void onUpdate(const wire::CoordinatorUpdate &Update);
  void introduceSelf(const routing::CoordinatorClaim &Claim, bool Follows,
                     TimePoint Now);
  bool confirmsRecentReport(const wire::CoordinatorUpdate &Update,
                            TimePoint Now) const;
  void applyUpdate(const wire::CoordinatorUpdate &Update, TimePoint Now);
  void beginCoordination(TimePoint Now);
  void handOverIfPossible(TimePoint Now); ///< while this entry stops
  void handOver(TimePoint Now);
  void logCoordinatorChange(std::string_view Why);
  void deliver(const std::vector<routing::StreamDecision> &Decisions);
  std::size_t startRank() const;

  wire::EntryReport makeReport(TimePoint Now);
  void sendReport(const std::string &Address, TimePoint Now);
  bool reportDue(TimePoint Now) const;

  void reportOrDecide();
  void decide(TimePoint Now);
  void measureRooms(TimePoint Now);
  wire::FleetSource ownSource() const;
  void chooseSource(TimePoint Now);
  void applySource(TimePoint Now);
  bool shouldReadStore(TimePoint Now);
  bool needsFullEndpointList() const;
  wire::CoordinatorUpdate makeUpdate(const std::string &Entry);
  void sendUpdate(const std::string &Entry, const std::string &Address,
                  TimePoint Now);
  void sendHeartbeats(TimePoint Now);

  boost::asio::io_context &Context;
  const GatewaySettings &Settings;
  const std::uint64_t Incarnation;
  const Clock &Time;
  DecisionLog &Log;
  CoordinationState State;
  DecisionHandler OnDecisions;

  routing::FleetConfigPtr Config;
  routing::StreamScheduler Scheduler;
  routing::AdmissionClient Client;
  routing::AdmissionServer Server;
  routing::CoordinatorElection Election;
  PeerSocket Socket;

  std::map<std::string, PeerEntry> Entries; ///< all but this one, by name
  bool ElectionStarted = false;
  bool ReportPending = false;
  bool Leaving = false;

  // As a follower.
  std::uint64_t ReportSequence = 0;
  TimePoint ReportedAt{};
  std::deque<std::pair<std::uint64_t, TimePoint>> SentReports;
  std::map<std::string, TimePoint> IntroducedAt; ///< to other claimants
  wire::FleetSource Source;     ///< whom entries that do not read the store ask
  TimePoint LastStaleAt{};      ///< when the knowledge became fresh again
  bool ReadsStore = true;       ///< the store
  bool ReadsAsFallback = false; ///< as no other entry's knowledge is fresh
  bool EverFresh = false;       ///< at any time since the start
  std::size_t FleetQueueLength = 0;

  // As the coordinator.
  std::uint64_t UpdateSequence = 0;
  TimePoint CoordinatorSince{};
  std::size_t KnownAtClaim = 1;
  std::map<std::string, TimePoint> UpdateSentAt;
  std::map<std::string, TimePoint> TotalsSentAt;
  std::vector<wire::ServiceRoom> Rooms;
  TimePoint RoomsMeasuredAt{};
  std::vector<std::string> Deputies;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_COORDINATION_HPP
