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
  double Ratio = 0.2; ///< further sends over requests, in any window
  double Slack = 0;   ///< further sends allowed besides, over all entries
  milliseconds Window{10'000};
};

/// Limits the sends beyond the first of a request, for each service, in a
/// sliding window. Each entry uses its own requests and an equal part of the
/// slack, so no entry needs to hear the others. Load pattern: endpoints that
/// refuse or break many requests at once, when retries would add to the load.
class RetryLimiter {
public:
  explicit RetryLimiter(RetryLimiterOptions Options) : Options(Options) {}

  /// Replaces the budget; the length of the window stays.
  void setBudget(double Ratio, double Slack) {
    Options.Ratio = Ratio;
    Options.Slack = Slack;
  }

  /// Number of entries that share the slack, this one included.
  void setEntries(unsigned Count) { Entries = Count; }

  /// Counts a request for \p Service.
  void recordRequest(std::string_view Service, TimePoint Now);

  /// True if take() would succeed.
  bool available(std::string_view Service, TimePoint Now);

  /// Takes one further send, or returns false.
  bool take(std::string_view Service, TimePoint Now);

  /// Counts a further send that has already arrived, whatever the budget.
  void charge(std::string_view Service, TimePoint Now);

  /// Returns a send that did not reach an endpoint.
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

#endif // HYSSOPRAIL_ROUTING_RETRY_WINDOW_HPP
