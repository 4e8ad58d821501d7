#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_addresses.hpp"
#include "hyssoprail/routing/endpoint_availability.hpp"
#include "hyssoprail/routing/endpoint_health.hpp"
#include "hyssoprail/routing/endpoint_limit.hpp"
#include "hyssoprail/routing/endpoint_load.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/engine_filter.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/leaving_endpoints.hpp"
#include "hyssoprail/routing/start_rate_limiter.hpp"

namespace hyssoprail::routing {

/// What this entry knows of one endpoint.
struct Endpoint {
  EndpointRecord Record;
  EndpointHealth Health;
  StartRateLimiter StartLimiter;
  EndpointLimit Limit;
  EndpointAvailability Availability;
  EndpointLoad OwnLoad;  ///< placed by this entry
  EndpointLoad PeerLoad; ///< placed by the other entries, from their reports
  TimePoint CacheLossUntil{}; ///< KV caches that it keeps are lost before they
                              ///< are fetched
  TimePoint SuspectUntil{};   ///< another entry could not reach it
  std::string SuspectedBy;    ///< name of that entry
  /// Stage that the last order asked for.
  EngineStage TargetStage = EngineStage::None;
  TimePoint StageChangeDeadline{};
  /// Speed of an engine relative to the median of its service. Exactly 1 while
  /// it is unknown, or the engines of the service count as equally fast.
  double SpeedFactor = 1;
  /// When this entry first saw the incarnation; not set if that was at its own
  /// start or is unknown.
  TimePoint SeenAt{};
  /// Gets no work before: the order for its version may still be on its way.
  TimePoint HeldUntil{};
  /// False after the registration was removed; work may still run.
  bool Registered = true;

  EndpointLoad totalLoad() const;
  bool isSuspect(TimePoint Now) const { return Now < SuspectUntil; }

  /// True while the endpoint carries out an order to change its stage.
  bool isChangingStage(TimePoint Now) const {
    return Now < StageChangeDeadline && Record.Stage != TargetStage;
  }
};

/// Who would send the work in question. What an endpoint states to this entry
/// alone does not count for work of other entries, which a coordinator places.
enum class Sender {
  ThisEntry,
  AnyEntry,
};

/// Limit on the requests that this entry may start per second on an endpoint.
struct StartRateLimit {
  std::size_t PerSecond = 0;
  /// The limit is too low to be divided among the entries: the coordinator
  /// grants the requests of all of them one by one.
  bool ByGrant = false;
};

/// When the endpoints of a service whose requests are granted one by one can
/// take more.
struct GrantForecast {
  double PerSecond = 0; ///< requests that this entry can grant per second
  Duration Wait = Duration::max(); ///< until the next one
};

/// The endpoints of the fleet with their load and health. An endpoint whose
/// registration was removed is kept until the work that this entry placed on it
/// has ended.
class EndpointTable {
public:
  /// Applies a registration; one that is older than the known one is ignored.
  /// Of several endpoints at an address, only those that started last get new
  /// work; the others stay out until they register with a newer start time or
  /// another address. Endpoints of unknown start time are not compared.
  /// Returns true if the endpoint is new or listed again, or if its
  /// incarnation, draining flag, stage, address or cold state changed.
  bool apply(const EndpointRecord &Record);

  /// Records that the present incarnation of the endpoint was first seen at \p
  /// SeenAt and gets no work before \p HeldUntil.
  void noteSeen(std::string_view Id, TimePoint SeenAt, TimePoint HeldUntil);

  /// Handles the removal of a registration.
  void remove(std::string_view Id);

  /// Sets the zones whose endpoints must receive no work.
  void setExcludedZones(std::set<std::string, std::less<>> Zones);

  /// Replaces the loads that \p Peer reported earlier.
  void setPeerLoad(const std::string &Peer, LoadMap Loads);

  /// Records how a request of this entry ended at the endpoint.
  void record(std::string_view Id, HealthSignal What, TimePoint Now);

  /// Records how a request of the entry \p Peer ended. If a single entry cannot
  /// reach an endpoint, the cause may be that entry's own network: the endpoint
  /// becomes a suspect, which is used only if no other one is available.
  void recordFromPeer(const std::string &Peer, std::string_view Id,
                      HealthSignal What, TimePoint Now);

  /// Sets how many requests this entry may start per second on one endpoint of
  /// \p Service.
  void setStartRateLimit(std::string_view Service, StartRateLimit Limit);

  /// Records what a response of the endpoint that arrived at \p At states: a
  /// limit in requests per second, or none.
  void recordLimit(std::string_view Id, std::optional<double> PerSecond,
                   TimePoint At);

  /// Records that the incarnation of the endpoint that started at \p
  /// StartedAtMs leaves: it gets no new work until a later incarnation
  /// registers. Returns true if this was not known.
  bool recordLeaving(std::string_view Id, std::int64_t StartedAtMs);

  /// Records that the incarnation of the endpoint that started at \p
  /// StartedAtMs wants no request from this entry before \p Until. Returns true
  /// if that is later than what was known.
  bool recordPause(std::string_view Id, std::int64_t StartedAtMs,
                   TimePoint Until);

  /// Time until an endpoint of \p Service can receive work of this entry, if
  /// all that could are paused for it; else nullopt.
  std::optional<milliseconds> pauseWait(std::string_view Service,
                                        TimePoint Now) const;

  /// True if an engine of \p Service that may decode, for which \p MayUse
  /// returns true, takes work of this entry.
  bool hasDecodeEngine(std::string_view Service, const EngineFilter &MayUse,
                       TimePoint Now) const;

  /// Endpoints of \p Service that the coordinator may choose although they take
  /// no work of this entry: those that are paused for it, and those that leave.
  std::vector<std::string> refusing(std::string_view Service,
                                    TimePoint Now) const;

  /// Registered endpoints that leave.
  const LeavingEndpoints &leaving() const { return Leaving; }

  /// Sets the share of the endpoints' stated limits that this entry may grant.
  void setLimitShare(double Share, TimePoint Now);

  Endpoint *find(std::string_view Id);

  /// Endpoints of \p Service that can receive new work now.
  std::vector<Endpoint *> usable(std::string_view Service, TimePoint Now,
                                 Sender From = Sender::ThisEntry);

  /// Endpoints of \p Service that are avoided because of failures but may still
  /// answer: a last resort for work that no usable endpoint can take.
  std::vector<Endpoint *> avoided(std::string_view Service, TimePoint Now);

  /// Endpoints of \p Service that can receive new work as soon as it is
  /// granted: they have stated a limit, or their start rate is subject to
  /// grants.
  std::vector<Endpoint *> grantable(std::string_view Service, TimePoint Now,
                                    Sender From = Sender::ThisEntry);

  /// Counts a request of any entry that this one has granted.
  void recordGrant(std::string_view Id, TimePoint Now);

  /// When this entry can grant requests to endpoints of \p Service.
  GrantForecast grantForecast(std::string_view Service, TimePoint Now);

  /// True if \p E can receive new work now.
  bool mayStart(Endpoint &E, TimePoint Now,
                Sender From = Sender::ThisEntry) const;

  /// True if \p E takes new work, as far as is known without its health.
  bool takesWork(const Endpoint &E, TimePoint Now,
                 Sender From = Sender::ThisEntry) const {
    return inService(E) && Now >= E.HeldUntil &&
           (From == Sender::AnyEntry || !E.Availability.paused(Now));
  }

  /// True if work that has been placed on \p E can be sent to it now.
  bool mayReceive(const Endpoint &E, TimePoint Now,
                  Sender From = Sender::ThisEntry) const {
    return takesWork(E, Now, From) && E.Health.usable(Now);
  }

  /// True unless the endpoint is draining or has stated that it leaves, its
  /// registration was removed, another process has its address, or its zone is
  /// excluded.
  bool inService(const Endpoint &E) const;

  void forEach(const std::function<void(Endpoint &)> &Visit);

  /// True if an endpoint of \p Service is registered with another version than
  /// \p Version.
  bool hasOtherVersion(std::string_view Service,
                       std::string_view Version) const;

  /// Adds \p Load to this entry's load on an endpoint.
  void reserve(std::string_view Id, const EndpointLoad &Load);

  /// Subtracts \p Load from this entry's load on an endpoint.
  void release(std::string_view Id, const EndpointLoad &Load);

  /// Counts a request sent to the endpoint now against its start rate.
  void recordSend(std::string_view Id, TimePoint Now);

  /// This entry's load by endpoint.
  LoadMap ownLoads() const;

  /// Number of this entry's running calls by endpoint; plain services only.
  std::map<std::string, unsigned> ownCalls() const;

  std::size_t size() const { return ById.size(); }

  /// Addresses of registered endpoints with known start times.
  std::size_t addressCount() const { return Addresses.size(); }

  /// Endpoints that are not in the table and of which a statement, a limit or a
  /// replacement is known.
  std::size_t unregisteredCount() const { return Unregistered.size(); }

private:
  bool isWithinStartRate(Endpoint &E, TimePoint Now) const;
  bool startsByGrant(std::string_view Service) const;
  void eraseIfIdle(const std::string &Id);
  /// What is known of an endpoint that is not in the table.
  struct UnregisteredEndpoint {
    EndpointAvailability Availability;
    EndpointLimit Limit;
    std::int64_t LimitedIncarnation = 0; ///< start time of that one
  };

  UnregisteredEndpoint &unregistered(const std::string &Id);
  void restoreUnregistered(Endpoint &E);
  void forgetUnregistered(const std::string &Id);
  void listLeaving(const Endpoint &E);
  void takeAddress(Endpoint &E);

  std::map<std::string, Endpoint, std::less<>> ById;
  std::map<std::string, LoadMap, std::less<>> PeerLoads;
  std::set<std::string, std::less<>> ExcludedZones;
  std::map<std::string, StartRateLimit, std::less<>> StartRateLimits;
  double LimitShare = 0;
  LeavingEndpoints Leaving;
  TimePoint LastPauseEnd{}; ///< no endpoint is paused after this time
  EndpointAddresses Addresses;
  /// Registrations may return, and other entries tell of endpoints that are not
  /// known yet.
  std::map<std::string, UnregisteredEndpoint, std::less<>> Unregistered;
  std::deque<std::string> UnregisteredOrder; ///< oldest first
  /// Services of which an endpoint may have stated a limit.
  std::set<std::string, std::less<>> LimitedServices;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_TABLE_HPP
