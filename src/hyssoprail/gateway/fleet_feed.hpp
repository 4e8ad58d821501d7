#ifndef HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP
#define HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/rollout/rollout_controller.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/stream_versions.hpp"

namespace hyssoprail::gateway {

/// Address of an entry (one gateway process) as it announces it in the store.
struct EntryAddress {
  std::string Name;
  std::string Address; ///< "IP:PORT" where it receives datagrams
  double Weight = 0;   ///< share of a processor that its VM has
  /// Entries that follow this one as their coordinator, while it misses others;
  /// 0: not announced.
  std::size_t GroupSize = 0;
  /// When the announcement reached the store; not set if this is unknown.
  TimePoint AnnouncedAt{};
};

/// Positions in the two logs of the store that describe the fleet. A position
/// means the same change for all entries, within one era of the store: a store
/// that comes back from a copy gives out offsets again. Then it may have lost a
/// configuration that is in force, so the version is part of the position.
struct FeedPosition {
  std::uint64_t Operator = 0;  ///< log of the configuration and zones
  std::uint64_t Endpoints = 0; ///< log of the endpoint registrations
  std::uint64_t Era = 0;       ///< how often the store has been restored
  std::uint64_t ConfigVersion = 0;

  /// True if this position is not before \p O in anything.
  bool covers(const FeedPosition &O) const {
    if (ConfigVersion < O.ConfigVersion)
      return false;
    if (Era != O.Era)
      return Era > O.Era;
    return Operator >= O.Operator && Endpoints >= O.Endpoints;
  }
};

/// How current the data of another entry that reads the store is.
struct PeerFeedStatus {
  FeedPosition NewestChange;       ///< it knows of no later change
  std::uint64_t EndpointsRead = 0; ///< it has read the registrations up to here
  TimePoint StoreAnsweredAt{};     ///< when the store last answered that entry
  TimePoint KnownAt{};             ///< the entry knew this then or later
  /// Until then it treats no missing registration as removed, as the endpoint
  /// may register again after an outage of the store.
  TimePoint RemovalGraceEnd{};
};

/// Software versions at which streams began, by the id of the request that
/// began the stream.
using StreamVersionMap = std::map<std::string, std::string>;

/// One write of records, as it was read from the store.
struct StreamVersionRecord {
  routing::RecordPosition Position;
  StreamVersionMap Versions;
};

/// What a missing record means for a service, as the store has it. A state
/// that was written in an earlier era of the store says nothing.
struct VersionStateRecord {
  std::string Service;
  std::uint64_t Era = 0; ///< in which it was written
  routing::VersionState State;
};

/// What became of a write to the store.
enum class WriteOutcome {
  Written,
  NotWritten,
  Unknown, ///< the response was lost: it may have been written, or will be
};

std::string_view writeOutcomeName(WriteOutcome Outcome);

/// How an entry sends a configuration to another one.
enum class ConfigEncoding {
  Plain,   ///< to entries that ask for nothing else
  Deflate, ///< compressed, once for all that ask
};

/// What it took to decode a configuration.
struct ConfigDecoding {
  std::size_t Bytes = 0; ///< size of the record
  Duration Time{};
};

/// Receives the changes of the fleet that a FleetFeed reads.
class FleetListener {
public:
  virtual ~FleetListener() = default;

  virtual void onConfig(routing::FleetConfigPtr Config,
                        const ConfigDecoding &Decoding) = 0;

  /// Sets the zones that are out of service.
  virtual void onZonesOut(std::set<std::string, std::less<>> Zones) = 0;

  virtual void onEndpoint(const routing::EndpointRecord &Record) = 0;
  virtual void onEndpointRemoved(std::string_view Id) = 0;

  /// The first complete list of endpoints has been delivered.
  virtual void onEndpointsComplete() = 0;

  /// Sets the entries that have announced themselves; some may have ended.
  virtual void onEntries(const std::vector<EntryAddress> &Entries) = 0;

  /// A record was rejected; \p Field names its first invalid field.
  virtual void onBadRecord(std::string_view Key, std::string_view Field) = 0;

  /// A coordinator has published what it knows of crashes of engines.
  virtual void onCrashRecord(std::string_view Record) = 0;

  /// The operator ordered a rollout, first known to this entry or to the one
  /// that it follows \p Age ago. A newer order for a service has a greater id.
  virtual void onRolloutOrder(const rollout::RolloutOrder &Order,
                              Duration Age) = 0;

  /// The operator removed the order for \p Service.
  virtual void onRolloutWithdrawn(std::string_view Service) = 0;

  /// The store has \p State of an order, or a state of a newer order for the
  /// same service in its place.
  virtual void onRolloutState(const rollout::StatusRecord &State) = 0;

  /// An entry has recorded the versions at which streams began.
  virtual void onStreamVersions(const StreamVersionRecord &Record) = 0;

  /// The store has this state of a service.
  virtual void onVersionState(const VersionStateRecord &Record) = 0;

  /// The store stopped answering calls on \p Topic, or answers them again.
  virtual void onStoreLost(std::string_view Topic, std::string_view Why) = 0;
  virtual void onStoreRegained(std::string_view Topic) = 0;

  /// The store has come back from a copy: it has lost what was written there
  /// lately, and gives out the offsets of that again. \p Era counts how often.
  virtual void onStoreRestored(std::uint64_t Era) = 0;

  /// An exception ended the handling of a record or a response of the store; \p
  /// Where names its key or topic.
  virtual void onUnexpectedError(std::string_view Where,
                                 std::string_view Why) = 0;
};

/// Source of the configuration, the endpoints and the addresses of entries: the
/// platform's store or another entry that reads it.
class FleetFeed {
public:
  virtual ~FleetFeed() = default;

  /// Begins to read the store, and announces \p Self there.
  virtual void start(FleetListener &Listener, const EntryAddress &Self) = 0;

  /// Sets whether this entry reads the store itself, as it does initially. An
  /// entry that does not gets the changes from one that does.
  virtual void setReadsStore(bool Reads) = 0;

  /// Time since the store last answered this entry; Duration::max() if it never
  /// did.
  virtual Duration storeAge() const = 0;

  /// Age of the data of this entry, whether from the store or from other
  /// entries.
  virtual Duration dataAge() const = 0;

  /// Time since this entry certainly knew all that the fleet knew of the store,
  /// also if the store has answered nobody since: a bound on how far it may be
  /// behind the other entries. Duration::max() if it never did.
  virtual Duration stepAge() const = 0;

  /// This entry knew all that the fleet knew at \p At.
  virtual void noteInStep(TimePoint At) = 0;

  /// Positions of the newest changes that this entry knows.
  virtual FeedPosition newestChange() const = 0;

  /// Positions up to which this entry knows all changes. They can be beyond
  /// newestChange(), as not every record is a change.
  virtual FeedPosition syncedPosition() const = 0;

  /// Position up to which other entries may take the registrations known here
  /// as complete. It is behind syncedPosition() while a missing registration
  /// may still have to be reported as removed.
  virtual std::uint64_t endpointsRead() const = 0;

  /// First position of the registrations from which this entry can send the
  /// changes only. Entries that are behind it get the full list.
  virtual std::uint64_t endpointDeltaStart() const = 0;

  /// Encodes the changes since \p From for another entry.
  virtual std::string changesSince(FeedPosition From,
                                   ConfigEncoding Encoding) const = 0;

  /// Applies the changes that another entry has encoded.
  virtual void applyChanges(std::string_view Changes) = 0;

  /// Takes note of how current the data of \p Peer is. If this entry has all
  /// changes that \p Peer knows, its own data counts as equally current.
  virtual void applyPeerStatus(const PeerFeedStatus &Peer) = 0;

  /// End of the time after an outage of the store in which a missing
  /// registration is not yet treated as removed; in the past if there is none.
  virtual TimePoint removalGraceEnd() const = 0;

  /// Announces in the store that \p Size entries, this one included, follow
  /// this one as their coordinator while others cannot be reached.
  virtual void announceGroup(std::size_t Size) = 0;

  /// Sets whether this entry reads what coordinators publish about crashes.
  virtual void setReadsCrashRecords(bool Reads) = 0;

  /// Publishes what this entry knows of crashes of engines, in place of what it
  /// published before; \p OnDone tells whether the store has accepted it.
  virtual void publishCrashRecord(const std::string &Record,
                                  std::function<void(bool Written)> OnDone) = 0;

  /// Sets whether this entry reads the stored states of rollouts.
  virtual void setReadsRolloutStates(bool Reads) = 0;

  /// Writes a state of a rollout. Does not overwrite a final state of the same
  /// order, nor a state of a newer one. The listener is told what the store has
  /// then. \p OnDone tells whether that is known; if not, the state may or may
  /// not have been written, and the call is to be repeated.
  virtual void writeRolloutState(const rollout::StatusRecord &State,
                                 std::function<void(bool Known)> OnDone) = 0;

  /// Records at which versions streams are to begin. A later record of a stream
  /// replaces an earlier one. The store keeps records for \p Lifetime or
  /// longer.
  virtual void
  writeStreamVersions(const StreamVersionMap &Versions, Duration Lifetime,
                      std::function<void(WriteOutcome)> OnDone) = 0;

  /// Writes the state of a service, unless any state was written since the
  /// last readStreamVersions().
  virtual void writeVersionState(const VersionStateRecord &Record,
                                 std::function<void(WriteOutcome)> OnDone) = 0;

  /// Reads the streams recorded since the last call, at the first call all of
  /// them, and the states of services. The listener is told, then \p OnDone
  /// whether all was read that had been recorded before this call.
  virtual void readStreamVersions(std::function<void(bool Read)> OnDone) = 0;

  /// Requests or renews the lease on sending orders to engines. Calls \p Use
  /// with its fencing token if this entry holds it and no other entry can have
  /// sent an order shortly before. To be repeated while the lease is needed.
  virtual void withOrderLease(std::function<void(std::uint64_t Fence)> Use) = 0;

  /// Releases the lease on orders.
  virtual void releaseOrderLease() = 0;

  /// Number of calls to the store since the start.
  virtual std::uint64_t storeCalls() const = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP
