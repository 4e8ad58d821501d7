#ifndef HYSSOPRAIL_ROUTING_RETRY_LIMITER_HPP
#define HYSSOPRAIL_ROUTING_RETRY_LIMITER_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

struct RetryLimiterOptions {
  double Ratio = 0.2; ///< retries per request, in any window
  double Slack = 0;   ///< retries allowed in addition, by all entries together
  milliseconds Window{10'000};
};

/// Limits retries, that is, the legs of a request after its first, for each
/// service in a sliding window. The budget of an entry depends on its own
/// requests and an equal part of the slack, so entries need not exchange their
/// counts. Load pattern: endpoints that refuse many requests or break off many
/// answers at once, when retries would add to the load.
class RetryLimiter {
public:
  explicit RetryLimiter(RetryLimiterOptions Options) : Options(Options) {}

  /// Replaces the budget. The length of the window does not change.
  void setBudget(double Ratio, double Slack) {
    Options.Ratio = Ratio;
    Options.Slack = Slack;
  }

  /// Sets the number of entries that share the slack, including this one.
  void setEntries(unsigned Count) { Entries = Count; }

  /// Counts a request for \p Service.
  void recordRequest(std::string_view Service, TimePoint Now);

  /// True if take() would succeed.
  bool available(std::string_view Service, TimePoint Now);

  /// Charges one retry; returns false if the budget does not allow it.
  bool take(std::string_view Service, TimePoint Now);

  /// Charges a retry that has already reached an endpoint, even if this exceeds
  /// the budget.
  void charge(std::string_view Service, TimePoint Now);

  /// Refunds a retry that did not reach an endpoint.
  void refund(std::string_view Service, TimePoint Now);

private:
  static constexpr std::size_t SlotCount = 20;

  struct Slot {
    std::int64_t Index = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };

  using Slots = std::array<Slot, SlotCount>;

  Slot &slot(std::string_view Service, TimePoint Now);
  std::int64_t slotIndex(TimePoint Now) const;

  RetryLimiterOptions Options;
  unsigned Entries = 1;
  std::map<std::string, Slots, std::less<>> Services;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_RETRY_LIMITER_HPP
