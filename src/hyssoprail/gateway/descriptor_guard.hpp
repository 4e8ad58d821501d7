#ifndef HYSSOPRAIL_GATEWAY_DESCRIPTOR_GUARD_HPP
#define HYSSOPRAIL_GATEWAY_DESCRIPTOR_GUARD_HPP

#include <cstddef>
#include <cstdint>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/metrics.hpp"

namespace hyssoprail::gateway {

/// Keeps descriptors free for callers: idle connections to endpoints, to the
/// store and to other entries are closed while few are left.
class DescriptorGuard {
public:
  /// \p Limit is the number of descriptors that the process may open.
  DescriptorGuard(std::size_t Limit, UpstreamClient &Endpoints,
                  HttpClient &Http);

  /// Closes idle connections once a second if few descriptors are free.
  void tick(TimePoint Now);

  /// Closes idle connections because a descriptor is needed now. Returns false
  /// if there are none.
  bool makeRoom();

  void updateGauges(Metrics &Out) const;

private:
  std::size_t closeIdle(std::size_t Count);

  const std::size_t Limit;
  UpstreamClient &Endpoints;
  HttpClient &Http;
  TimePoint NextCheck{};
  std::uint64_t Shortages = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_DESCRIPTOR_GUARD_HPP
