#ifndef HYSSOPRAIL_PROCESS_DECISION_LOG_HPP
#define HYSSOPRAIL_PROCESS_DECISION_LOG_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <spdlog/spdlog.h>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/log_field.hpp"

namespace hyssoprail {

/// Selects the rate budget of a line. Each category has its own, so that a
/// flood of routine lines does not suppress the lines about failures.
enum class LogCategory : std::size_t {
  Routine, ///< steps of a request that succeeds
  Outcome, ///< rejections, failures, changes in the view of the fleet
};

/// Writes one JSON line for each decision to a file descriptor. Never blocks: a
/// line that cannot be written at once is dropped and counted. The number of
/// lines per second is limited for each category. Dropped lines are reported by
/// a line "lines_left_out" with their number.
///
/// \code
///   Log.write(LogCategory::Outcome, "reject", RequestId,
///             {{"reason", "over_quota"}, {"debt", 1200.0}});
/// \endcode
class DecisionLog {
public:
  /// Does not close \p Descriptor. \p Process is the "process" field of every
  /// line.
  DecisionLog(int Descriptor, std::string Process, const Clock &Time);
  ~DecisionLog();

  /// Writes a line. \p Request is the request id, or empty if the decision
  /// concerns no request.
  void write(LogCategory Category, std::string_view Decision,
             std::string_view Request, LogFields Fields);

  /// Number of lines dropped because of the rate limit, because they were too
  /// long, or because the descriptor did not accept them.
  std::uint64_t dropped() const;

private:
  class Sink;

  struct RateBudget {
    double AvailableLines = 0;
    TimePoint RefilledAt{};
  };

  bool takeFromBudget(LogCategory Category, TimePoint Now);
  void reportDropped(TimePoint Now);
  void emit(std::string_view Decision, std::string_view Request,
            LogFields Fields);

  std::string Process;
  const Clock &Time;
  std::shared_ptr<Sink> Out;
  spdlog::logger Logger;
  std::array<RateBudget, 2> Budgets{};
  std::uint64_t RateLimited = 0;
  std::uint64_t ReportedDropped = 0; ///< dropped() at the last report
  TimePoint ReportedAt{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_DECISION_LOG_HPP
