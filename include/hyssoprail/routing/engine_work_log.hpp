#ifndef HYSSOPRAIL_ROUTING_ENGINE_WORK_LOG_HPP
#define HYSSOPRAIL_ROUTING_ENGINE_WORK_LOG_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Totals of the work that this entry's flows have measured at engines. The
/// coordinator learns the speeds of engines from them.
class EngineWorkLog {
public:
  /// Records a prompt of \p Tokens that was prefilled in \p Time, with no other
  /// prompt ahead of it.
  void recordPrefill(std::string_view Engine, std::int64_t StartedAtMs,
                     std::uint64_t Tokens, Duration Time, TimePoint Now);

  /// Records events of one run with \p Tokens in all, the last of which came \p
  /// Time after the event before the first of them.
  void recordDecode(std::string_view Engine, std::int64_t StartedAtMs,
                    std::uint64_t Tokens, std::uint64_t Events, Duration Time,
                    TimePoint Now);

  /// Adds the totals of engines with recent work to \p Report, about ten times
  /// a second.
  void fillReport(wire::EntryReport &Report, TimePoint Now);

  std::size_t size() const { return Engines.size(); }

private:
  struct Totals {
    wire::EngineWork Work;
    TimePoint UpdatedAt{};
  };

  wire::EngineWork *totals(std::string_view Engine, std::int64_t StartedAtMs,
                           TimePoint Now);

  std::map<std::string, Totals, std::less<>> Engines;
  TimePoint ReportedAt{};
};

/// Measures the work that engines do for one generation.
class EngineWorkMeter {
public:
  /// \p Log may be null: nothing is recorded.
  explicit EngineWorkMeter(EngineWorkLog *Log) : Log(Log) {}

  /// A prompt of \p Tokens is sent to a prefill engine.
  void beginPrefill(const EndpointRecord &Engine, std::uint64_t Tokens,
                    bool NoBacklog, TimePoint Now);

  /// The prefill succeeded.
  void prefillEnded(TimePoint Now);

  /// The generation is sent to a decode engine.
  void beginDecode(const EndpointRecord &Engine);

  /// \p Events events with \p Tokens in all have arrived.
  void received(std::uint64_t Tokens, std::uint64_t Events, TimePoint Now);

  /// What arrives from now on is not measured.
  void stop() { Engine.clear(); }

private:
  EngineWorkLog *Log;
  std::string Engine; ///< empty: nothing is measured
  std::int64_t StartedAtMs = 0;
  std::uint64_t PromptTokens = 0;
  TimePoint PrefillSince{};
  std::optional<TimePoint> LastEventAt;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENGINE_WORK_LOG_HPP
