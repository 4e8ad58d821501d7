#ifndef HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP
#define HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/request_info.hpp"

namespace hyssoprail::gateway {

/// Translates between HTTP messages of callers and endpoints and the types of
/// the routing library. Holds no state.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  /// Reads a caller's request. Fails with InvalidRequest.
  virtual Result<routing::RequestInfo>
  decode(const HttpRequest &Request) const = 0;

  /// Makes the request of \p Leg from the caller's. \p Account is empty if the
  /// caller has none.
  virtual HttpRequest encode(const HttpRequest &Caller,
                             const routing::LegRequest &Leg,
                             std::string_view Account) const = 0;

  /// True unless the head names another request.
  virtual bool answers(const HttpResponse &Head,
                       std::string_view RequestId) const = 0;

  /// True if the head begins a stream that the caller may see.
  virtual bool beginsStream(const HttpResponse &Head) const = 0;

  /// Classifies a whole answer.
  virtual routing::LegResult interpret(routing::LegKind Kind,
                                       HttpResponse Response) const = 0;

  /// Makes the request that frees a KV cache.
  virtual HttpRequest dropHandle(const routing::KvSource &Source) const = 0;

  /// Makes the order that an engine change its stage. \p Fence grows with each
  /// holder of the lease on orders.
  virtual HttpRequest stageOrder(std::string_view EndpointId,
                                 routing::EngineStage To,
                                 std::string_view Holder,
                                 std::uint64_t Fence) const = 0;

  /// Makes an answer of the entry itself.
  virtual HttpResponse rejection(routing::RejectReason Reason,
                                 milliseconds RetryAfter,
                                 std::string_view RequestId) const = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP
