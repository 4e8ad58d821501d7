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
#include "hyssoprail/routing/health_signal_log.hpp"

namespace hyssoprail::gateway {

/// Beliefs of the entry that the coordination reads and changes.
struct CoordinationState {
  routing::EndpointTable &Table;
  routing::HealthSignalLog &Engines;
  routing::SharedQuota &Quota;
  FleetFeed &Feed;
};

/// Addresses of entries that serve changes of the fleet. Both are empty if
/// there is nothing to ask for.
struct FleetSources {
  std::string Reader; ///< reads the store
  std::string Nearby; ///< follows in this entry's zone; may be empty
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
  void wake();

  /// This entry stops: another one that does not is to coordinate.
  void stop();

  /// The process ends: it coordinates no more.
  void end();

  routing::StreamAdmission &admission() { return Client; }

  /// Queue of all entries, while this one coordinates.
  const routing::StreamScheduler &scheduler() const { return Scheduler; }

  /// Entries that share a bound of the whole fleet.
  std::size_t knownEntries() const;

  /// Part of the known entries that this entry hears, at least through the
  /// coordinator.
  double audibleShare() const;

  bool coordinates() const { return Election.coordinates(); }

  /// Entries to ask for changes of the fleet that this one does not know.
  FleetSources newerSources() const;

  std::size_t wanting() const { return Client.wanting(); }
  std::size_t queuedInFleet() const { return QueuedInFleet; }

private:
  struct Announced {
    std::string Address;
    double Weight = 0;
    TimePoint Since{};
  };

  void onMessage(const wire::CoordinationMessage &Message);
  void onUpdate(const wire::CoordinatorUpdate &Update);
  void introduce(const routing::CoordinatorClaim &Claim, bool Follows,
                 TimePoint Now);
  bool hearsUs(const wire::CoordinatorUpdate &Update, TimePoint Now) const;
  void takeUpdate(const wire::CoordinatorUpdate &Update, TimePoint Now);
  void beginCoordination(TimePoint Now);
  void handOverIfPossible(TimePoint Now); ///< while this entry stops
  void handOver(TimePoint Now);
  void coordinatorChanged(std::string_view Why);
  void deliver(const std::vector<routing::StreamDecision> &Decisions);
  std::size_t startRank() const;

  wire::EntryReport makeReport(TimePoint Now);
  void sendReport(const std::string &Address, TimePoint Now);
  bool reportDue(TimePoint Now) const;

  void exchange();
  void decide(TimePoint Now);
  void measureRooms(TimePoint Now);
  wire::FleetSource ownSource() const;
  void chooseSource(TimePoint Now);
  void takeSource(TimePoint Now);
  bool shouldRead(TimePoint Now);
  bool isBehindChanges() const;
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

  std::map<std::string, Announced> Entries; ///< all but this one, by name
  bool ElectionStarted = false;
  bool WakePending = false;
  bool Leaving = false;

  // As a follower.
  std::uint64_t ReportSequence = 0;
  TimePoint ReportedAt{};
  std::deque<std::pair<std::uint64_t, TimePoint>> SentReports;
  std::map<std::string, TimePoint> IntroducedAt; ///< to other claimants
  wire::FleetSource Source; ///< whom entries that do not read the store ask
  TimePoint SourceFresh{};  ///< when the knowledge became fresh again
  bool Reads = true;        ///< the store
  bool ReadsAlone = false;  ///< as no other entry's knowledge is fresh
  bool WasFresh = false;    ///< at any time since the start
  std::size_t QueuedInFleet = 0;

  // As the coordinator.
  std::uint64_t UpdateSequence = 0;
  TimePoint CoordinatesSince{};
  std::size_t KnownAtClaim = 1;
  std::map<std::string, TimePoint> UpdatedAt;
  std::map<std::string, TimePoint> TotalsAt;
  std::vector<wire::ServiceRoom> Rooms;
  TimePoint RoomsAt{};
  std::vector<std::string> Deputies;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_COORDINATION_HPP
