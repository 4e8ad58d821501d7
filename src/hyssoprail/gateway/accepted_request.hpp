#ifndef HYSSOPRAIL_GATEWAY_ACCEPTED_REQUEST_HPP
#define HYSSOPRAIL_GATEWAY_ACCEPTED_REQUEST_HPP

#include <functional>
#include <utility>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/request_info.hpp"

namespace hyssoprail::gateway {

/// Tokens taken from a quota. They are given back when it is destroyed, unless
/// they are spent.
class QuotaGrant {
public:
  QuotaGrant() = default;
  QuotaGrant(double Tokens, std::function<void()> Refund)
      : Tokens(Tokens), Refund(std::move(Refund)) {}
  QuotaGrant(QuotaGrant &&Other) noexcept
      : Tokens(std::exchange(Other.Tokens, 0)),
        Refund(std::exchange(Other.Refund, nullptr)) {}
  QuotaGrant &operator=(QuotaGrant &&Other) noexcept {
    if (this == &Other)
      return *this;
    giveBack();
    Tokens = std::exchange(Other.Tokens, 0);
    Refund = std::exchange(Other.Refund, nullptr);
    return *this;
  }
  ~QuotaGrant() { giveBack(); }

  void giveBack() {
    if (const auto Call = std::exchange(Refund, nullptr))
      Call();
    Tokens = 0;
  }

  /// Returns the tokens, which the caller of this function accounts for.
  double spend() {
    Refund = nullptr;
    return std::exchange(Tokens, 0);
  }

private:
  double Tokens = 0;
  std::function<void()> Refund;
};

/// A request that was accepted by its head: what has been found out about it,
/// and what it holds until its body has arrived.
struct AcceptedRequest {
  routing::FleetConfigPtr Config; ///< by which it was accepted
  routing::RequestInfo Info;
  const routing::RoutePolicy *Route = nullptr;     ///< in Config
  const routing::AccountPolicy *Account = nullptr; ///< in Config
  QuotaGrant Quota;
  bool BeyondQuota = false;
  TimePoint HeadArrival{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ACCEPTED_REQUEST_HPP
