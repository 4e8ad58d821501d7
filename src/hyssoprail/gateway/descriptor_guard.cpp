#include "hyssoprail/gateway/descriptor_guard.hpp"

#include <algorithm>

#include "hyssoprail/connection/descriptors.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds CheckInterval{1'000};

/// Idle connections to endpoints take up a quarter of the descriptors at most.
/// With more than 4,096, finding the oldest costs more than a new connection.
constexpr std::size_t IdleDivisor = 4;
constexpr std::size_t MaxIdle = 4'096;
constexpr std::size_t MaxIdlePerEndpoint = 24;

/// An eighth of the descriptors is kept free, for callers that come at once.
constexpr std::size_t ReserveDivisor = 8;

/// Connections that are closed if a descriptor is needed now: enough for the
/// callers that the kernel has queued in a few milliseconds.
constexpr std::size_t ShortageBatch = 32;

IdleBounds boundsFor(std::size_t Limit) {
  const std::size_t Total = std::min(MaxIdle, Limit / IdleDivisor);
  return {std::min(MaxIdlePerEndpoint, Total), Total};
}

} // namespace

DescriptorGuard::DescriptorGuard(std::size_t Limit, UpstreamClient &Endpoints,
                                 HttpClient &Http)
    : Limit(Limit), Endpoints(Endpoints), Http(Http) {
  Endpoints.setIdleBounds(boundsFor(Limit));
}

void DescriptorGuard::tick(TimePoint Now) {
  if (Now < NextCheck)
    return;
  NextCheck = Now + CheckInterval;
  const std::size_t Wanted = Limit - Limit / ReserveDivisor;
  const std::size_t Open = openDescriptors();
  if (Open > Wanted)
    closeIdle(Open - Wanted);
}

bool DescriptorGuard::makeRoom() {
  ++Shortages;
  return closeIdle(ShortageBatch) > 0;
}

/// Connections to endpoints go first: there are more of them.
std::size_t DescriptorGuard::closeIdle(std::size_t Count) {
  const std::size_t Closed = Endpoints.closeOldestIdle(Count);
  return Closed < Count ? Closed + Http.closeOldestIdle(Count - Closed)
                        : Closed;
}

void DescriptorGuard::updateGauges(Metrics &Out) const {
  Out.gauge("descriptors_open").set(double(openDescriptors()));
  Out.gauge("descriptors_limit").set(double(Limit));
  Out.gauge("descriptor_shortages").set(double(Shortages));
  Out.gauge("endpoint_idle_connections")
      .set(double(Endpoints.idleConnections()));
  Out.gauge("other_idle_connections").set(double(Http.idleConnections()));
}

} // namespace hyssoprail::gateway
