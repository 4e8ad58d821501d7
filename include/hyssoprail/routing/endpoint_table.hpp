#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_health.hpp"
#include "hyssoprail/routing/endpoint_load.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/start_rate_limiter.hpp"

namespace hyssoprail::routing {

/// What this entry believes of one endpoint.
struct Endpoint {
  EndpointRecord Record;
  EndpointHealth Health;
  StartRateLimiter Starts;
  EndpointLoad Own;   ///< work that this entry placed
  EndpointLoad Peers; ///< work of the other entries, from their reports
  TimePoint HandlesLostUntil{}; ///< its KV caches vanish before they are used
  TimePoint SuspectUntil{};     ///< an entry could not reach it
  std::string SuspectedBy;      ///< that entry
  EngineStage ChangingTo = EngineStage::None; ///< as it was ordered
  TimePoint ChangingUntil{};
  bool Listed = true; ///< false: registration gone, work may still run

  EndpointLoad total() const;
  bool isSuspect(TimePoint Now) const { return Now < SuspectUntil; }

  /// True while an order to change its stage is carried out.
  bool isChanging(TimePoint Now) const {
    return Now < ChangingUntil && Record.Stage != ChangingTo;
  }
};

/// Endpoints of the fleet with their load and health. Keeps an endpoint whose
/// registration is gone until its own work has ended.
class EndpointTable {
public:
  /// Takes a registration. Older reports than the known one are ignored; the
  /// result tells whether anything but the sequence changed.
  bool apply(const EndpointRecord &Record);

  /// The registration was removed.
  void remove(std::string_view Id);

  /// Zones that must receive nothing.
  void setZonesOut(std::set<std::string, std::less<>> Zones);

  /// Replaces the loads that \p Peer reported.
  void setPeerLoad(const std::string &Peer, LoadMap Loads);

  /// A request of this entry ended at the endpoint.
  void record(std::string_view Id, HealthSignal What, TimePoint Now);

  /// A request of another entry did. That one entry cannot reach an endpoint
  /// may be its own fault: the endpoint is then used only if no other will do.
  void recordOfPeer(const std::string &Peer, std::string_view Id,
                    HealthSignal What, TimePoint Now);

  /// Requests this entry may start on one endpoint in a second, by service.
  void setStartsPerSecond(std::string_view Service, std::size_t Starts);

  Endpoint *find(std::string_view Id);

  /// Endpoints of \p Service that may receive new work now.
  std::vector<Endpoint *> usable(std::string_view Service, TimePoint Now);

  /// Endpoints of \p Service that are avoided for what they did and might still
  /// answer, for work that has no better place.
  std::vector<Endpoint *> avoided(std::string_view Service, TimePoint Now);

  /// True if \p E may receive new work now.
  bool mayStart(Endpoint &E, TimePoint Now) const;

  /// True if work that was placed on \p E may be sent to it now.
  bool mayReceive(const Endpoint &E, TimePoint Now) const {
    return inService(E) && E.Health.usable(Now);
  }

  /// True unless the endpoint leaves, is gone, or its zone is out.
  bool inService(const Endpoint &E) const;

  /// Calls \p Visit for every endpoint.
  void forEach(const std::function<void(Endpoint &)> &Visit);

  /// Adds work of this entry to an endpoint's load.
  void reserve(std::string_view Id, const EndpointLoad &Load);

  /// Removes it.
  void release(std::string_view Id, const EndpointLoad &Load);

  /// A request is sent to the endpoint now.
  void sent(std::string_view Id, TimePoint Now);

  /// This entry's load by endpoint.
  LoadMap ownLoads() const;

  /// Number of this entry's calls by endpoint of a plain service.
  std::map<std::string, unsigned> ownCalls() const;

  std::size_t size() const { return ById.size(); }

private:
  bool withinStarts(Endpoint &E, TimePoint Now) const;
  void forgetIfIdle(const std::string &Id);

  std::map<std::string, Endpoint, std::less<>> ById;
  std::map<std::string, LoadMap, std::less<>> PeerLoads;
  std::set<std::string, std::less<>> ZonesOut;
  std::map<std::string, std::size_t, std::less<>> StartsPerSecond;
};

/// Chooses an endpoint for a plain call: the least loaded one for its slots,
/// with preference for the own zone and against endpoints that fail. Returns
/// null if none may be used. \p Tried are not chosen.
Endpoint *chooseForCall(EndpointTable &Table, std::string_view Service,
                        std::string_view Zone,
                        const std::set<std::string, std::less<>> &Tried,
                        TimePoint Now);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP
