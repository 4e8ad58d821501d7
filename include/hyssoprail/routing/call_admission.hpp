#ifndef HYSSOPRAIL_ROUTING_CALL_ADMISSION_HPP
#define HYSSOPRAIL_ROUTING_CALL_ADMISSION_HPP

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// A call that asks for an endpoint whose requests are granted one by one.
struct CallRequest {
  std::string Id;
  std::string Service;
  /// The call has tried these, or they refuse all requests of the entry.
  std::vector<std::string> ExcludedEndpoints;
};

/// The call may be sent to the endpoint, once and at once.
struct CallGrant {
  std::string Id;
  std::string EndpointId;
};

struct CallDenial {
  std::string Id;
  milliseconds RetryAfter{0}; ///< for the caller
};

using CallDecision = std::variant<CallGrant, CallDenial>;

/// Grants calls to endpoints that take only a limited number of requests from
/// all entries together. Decisions are delivered later, as grants and denials.
class CallAdmission {
public:
  virtual ~CallAdmission() = default;

  virtual void submit(CallRequest Request) = 0;

  /// Withdraws a request that has not been decided.
  virtual void cancel(std::string_view Id) = 0;

  /// Time to return to send to a caller if a request for \p Service would be
  /// denied now; nullopt if it may be granted.
  virtual std::optional<milliseconds> deniedFor(std::string_view Service,
                                                TimePoint Now) const = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_ADMISSION_HPP
