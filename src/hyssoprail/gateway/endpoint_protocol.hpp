#ifndef HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP
#define HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/request_info.hpp"

namespace hyssoprail::gateway {

/// What an endpoint states about the requests that it takes from all entries
/// together.
struct LimitStatement {
  std::optional<double> PerSecond; ///< nullopt: there is no limit
};

/// What a response of an endpoint states about the work that it takes from now
/// on.
struct AvailabilityStatement {
  bool Leaving = false;              ///< it takes no new work from any entry
  std::optional<milliseconds> Pause; ///< it takes nothing from this entry

  bool empty() const { return !Leaving && !Pause; }
};

/// Which incarnation of an endpoint has answered, as it states itself.
struct EndpointIdentity {
  std::string Id;
  std::int64_t StartedAtMs = 0; ///< 0: it does not say
};

/// Converts between the HTTP messages of callers and endpoints and the types of
/// the routing library. Stateless.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  /// Parses a caller's request. Fails with InvalidRequest.
  virtual Result<routing::RequestInfo>
  decode(const HttpRequest &Request) const = 0;

  /// The id that a caller's request names; empty if it has none.
  virtual std::string_view requestId(const HttpRequest &Request) const = 0;

  /// Makes the request that \p Leg sends to an endpoint from the caller's
  /// request, without the body, which is passed on as it is. \p Account is
  /// empty if the caller has none.
  virtual HttpRequest encode(const HttpRequest &Caller,
                             const routing::LegRequest &Leg,
                             std::string_view Account) const = 0;

  /// Tells whether the head belongs to a response to the request \p RequestId.
  /// False if it names another request, or refuses one without naming it: it
  /// may be a late copy of the refusal of an earlier request.
  virtual bool isResponseTo(const HttpResponse &Head,
                            std::string_view RequestId) const = 0;

  /// True if the head names the request that it belongs to, whichever that is.
  virtual bool namesRequest(const HttpResponse &Head) const = 0;

  /// True if the head begins a stream that may be passed on to the caller.
  virtual bool beginsStream(const HttpResponse &Head) const = 0;

  /// True if the head, for which beginsStream() holds, begins the rest of the
  /// stream whose first head the caller has received.
  virtual bool continuesStream(const HttpResponse &Head,
                               const HttpResponse &First) const = 0;

  /// What the head of a response to a leg of kind \p Kind states about the
  /// endpoint's limit; nullopt if nothing can be concluded from it.
  virtual std::optional<LimitStatement>
  limitStatement(routing::LegKind Kind, const HttpResponse &Head) const = 0;

  /// What the head of a response states about the work that the endpoint takes.
  virtual AvailabilityStatement
  availabilityStatement(const HttpResponse &Head) const = 0;

  /// Classifies a complete response.
  virtual routing::LegResult interpret(routing::LegKind Kind,
                                       HttpResponse Response) const = 0;

  /// Makes the request that tells an engine to free a KV cache.
  virtual HttpRequest
  dropHandleRequest(const routing::KvSource &Source) const = 0;

  /// Makes the request that asks who has the address \p Authority. No endpoint
  /// runs anything for it; \p EndpointId answers it at once, with identity().
  /// \p RequestId is its own id, \p Deadline the time for the answer.
  virtual HttpRequest identityRequest(std::string_view EndpointId,
                                      std::string_view Authority,
                                      std::string_view RequestId,
                                      milliseconds Deadline) const = 0;

  /// Who gave the answer to the identityRequest() \p RequestId. nullopt if it
  /// does not say, or names another request; it may name none.
  virtual std::optional<EndpointIdentity>
  identity(const HttpResponse &Response, std::string_view RequestId) const = 0;

  /// Makes the request that orders an engine to change its stage. \p Fence is
  /// the fencing token of the order lease; it grows with each holder.
  virtual HttpRequest stageOrderRequest(std::string_view EndpointId,
                                        routing::EngineStage To,
                                        std::string_view Holder,
                                        std::uint64_t Fence) const = 0;

  /// Makes the response by which the entry itself rejects a request.
  virtual HttpResponse rejection(routing::RejectReason Reason,
                                 milliseconds RetryAfter,
                                 std::string_view RequestId) const = 0;

  /// Makes the response to a request whose handling failed with an exception.
  virtual HttpResponse failure(unsigned Status,
                               std::string_view RequestId) const = 0;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ENDPOINT_PROTOCOL_HPP
