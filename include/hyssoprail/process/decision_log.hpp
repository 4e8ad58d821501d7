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

/// Which lines go first when a process would write too many.
enum class LogCategory : std::size_t {
  Routine, ///< the course of a request that goes well
  Outcome, ///< rejections, failures and changes of belief
};

/// One structured line for each decision, as JSON, on a file descriptor. Never
/// blocks: a line that the reader does not take at once is dropped and
/// counted. The lines a second are bounded for each urgency, and a line states
/// how many were left out.
///
/// \code
///   Log.write(LogUrgency::Outcome, "reject", RequestId,
///             {{"reason", "over_quota"}, {"debt", 1200.0}});
/// \endcode
class DecisionLog {
public:
  /// \p Descriptor stays open; \p Process names the writer in every line.
  DecisionLog(int Descriptor, std::string Process, const Clock &Time);
  ~DecisionLog();

  /// Writes a line. \p Request is empty for decisions that touch none.
  void write(LogCategory Urgency, std::string_view What,
             std::string_view Request, LogFields Fields);

  /// Lines that were left out or not taken by the reader.
  std::uint64_t dropped() const;

private:
  class Sink;

  struct Allowance {
    double Lines = 0;
    TimePoint Since{};
  };

  bool allowed(LogCategory Urgency, TimePoint Now);
  void reportLeftOut(TimePoint Now);
  void emit(std::string_view What, std::string_view Request, LogFields Fields);

  std::string Process;
  const Clock &Time;
  std::shared_ptr<Sink> Out;
  spdlog::logger Lines;
  std::array<Allowance, 2> Allowances{};
  std::uint64_t LeftOut = 0;
  std::uint64_t Reported = 0; ///< of dropped(), stated in a line
  TimePoint ReportedAt{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_DECISION_LOG_HPP
