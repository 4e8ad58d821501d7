#ifndef HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP
#define HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/fleet_config.hpp"

namespace hyssoprail::gateway {

/// An entry that has announced itself.
struct EntryAddress {
  std::string Name;
  std::string Address; ///< "IP:PORT" where it hears datagrams
  double Weight = 0;   ///< processor share of its VM
};

/// How far an entry has followed the store's records: the positions of the
/// newest changes it knows, the same for all entries.
struct FeedPosition {
  std::uint64_t Operator = 0;  ///< configuration and zones
  std::uint64_t Endpoints = 0; ///< registrations

  /// True if nothing is known at \p O that is not known here.
  bool covers(const FeedPosition &O) const {
    return Operator >= O.Operator && Endpoints >= O.Endpoints;
  }
};

/// What an entry that reads the store says of its knowledge.
struct PeerFeedStatus {
  FeedPosition NewestChange;       ///< it knows no changes after these
  std::uint64_t EndpointsRead = 0; ///< it has read registrations up to here
  TimePoint StoreAnsweredAt{};     ///< when the store last answered it
  /// Until then it takes no missing registration as gone.
  TimePoint SettledAt{};
};

/// Receives what the platform's store says of the fleet.
class FleetListener {
public:
  virtual ~FleetListener() = default;

  virtual void onConfig(routing::FleetConfigPtr Config) = 0;
  virtual void onZonesOut(std::set<std::string, std::less<>> Zones) = 0;
  virtual void onEndpoint(const routing::EndpointRecord &Record) = 0;
  virtual void onEndpointGone(std::string_view Id) = 0;

  /// The first whole list of endpoints has been delivered.
  virtual void onEndpointsComplete() = 0;

  /// Entries that have announced themselves; some may be gone.
  virtual void onEntries(const std::vector<EntryAddress> &Entries) = 0;

  /// A record was rejected; \p Field names what was wrong in it.
  virtual void onBadRecord(std::string_view Key, std::string_view Field) = 0;

  /// The store stopped or began to answer calls on \p Topic.
  virtual void onStoreLost(std::string_view Topic, std::string_view Why) = 0;
  virtual void onStoreRegained(std::string_view Topic) = 0;
};

/// Source of configuration, endpoints and addresses of entries.
class FleetFeed {
public:
  virtual ~FleetFeed() = default;

  /// Begins to follow the store, and announces \p Self there.
  virtual void start(FleetListener &Listener, const EntryAddress &Self) = 0;

  /// Chooses whether this entry reads the store itself. One that does not gets
  /// the changes from an entry that does. It begins by reading.
  virtual void setReadsStore(bool Reads) = 0;

  /// Time since the store last answered this entry; the largest Duration if it
  /// never did.
  virtual Duration storeAge() const = 0;

  /// Age of what this entry knows, from the store or from other entries.
  virtual Duration dataAge() const = 0;

  /// The newest changes that this entry knows.
  virtual FeedPosition newestChange() const = 0;

  /// How far this entry knows of all changes; it may have read on beyond the
  /// newest one.
  virtual FeedPosition syncedPosition() const = 0;

  /// The same for registrations, as far as it may be told to other entries.
  virtual std::uint64_t endpointsRead() const = 0;

  /// An entry that knows registrations up to here or further gets the changes
  /// from this one; any other gets the whole list.
  virtual std::uint64_t endpointDeltaStart() const = 0;

  /// The changes since \p From, for another entry.
  virtual std::string changesSince(FeedPosition From) const = 0;

  /// Takes changes from another entry.
  virtual void applyChanges(std::string_view Changes) = 0;

  /// Takes what another entry says of its knowledge.
  virtual void applyPeerStatus(const PeerFeedStatus &Peer) = 0;

  /// End of the time after an outage in which a missing registration may come
  /// back, if there was one.
  virtual TimePoint settledAt() const = 0;

  /// Asks for the lease on orders to engines, and calls \p Use with its fencing
  /// number if this entry holds it and no other entry can have given an order
  /// shortly before. To be repeated while the lease is wanted.
  virtual void withOrderLease(std::function<void(std::uint64_t Fence)> Use) = 0;

  /// Gives the lease back.
  virtual void releaseOrderLease() = 0;

  /// Store calls made since the start.
  virtual std::uint64_t storeCalls() const = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_FLEET_FEED_HPP
