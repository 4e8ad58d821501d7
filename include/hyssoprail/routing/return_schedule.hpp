#ifndef HYSSOPRAIL_ROUTING_RETURN_SCHEDULE_HPP
#define HYSSOPRAIL_ROUTING_RETURN_SCHEDULE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// What a refused request needs when its caller returns.
struct ReturnNeed {
  std::string Account;
  std::uint32_t PromptTokens = 0; ///< the caller repeats the same prompt
  int Priority = 0;
  double Tokens = 0; ///< memory at a decode engine
};

/// Hands out the times at which the callers of refused requests return to one
/// service. The memory that becomes free is promised once, in the order of the
/// calls. Load pattern: a crowd that is refused together and would otherwise
/// return together.
class ReturnSchedule {
public:
  /// A caller that returns this much before or after its time is on time:
  /// callers round the time, and networks delay requests.
  static constexpr milliseconds Early{100};
  static constexpr milliseconds Late{400};

  /// Promises room between \p Earliest and \p Latest, or nothing if there is
  /// none. \p TokensPerSecond of memory become free for such requests.
  std::optional<TimePoint> promise(const ReturnNeed &Need,
                                   double TokensPerSecond, TimePoint Earliest,
                                   TimePoint Latest, TimePoint Now);

  /// Redeems the promise of a caller that returns at \p At; returns the
  /// priority of the promise, or nothing if there is none for this time.
  std::optional<int> redeem(std::string_view Account,
                            std::uint32_t PromptTokens, TimePoint At);

  /// Memory of promises whose callers may return now, in tokens, by
  /// priority and account.
  std::map<std::pair<int, std::string>, double> due(TimePoint Now) const;

  std::size_t size() const { return Promises.size(); }

private:
  struct Promise {
    ReturnNeed Need;
    TimePoint At{};
  };

  void forgetPast(TimePoint Now);

  std::multimap<TimePoint, Promise> Promises; ///< by their time
  std::map<std::int64_t, double> Used;        ///< tokens by step of time
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_RETURN_SCHEDULE_HPP
