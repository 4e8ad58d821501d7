#include "hyssoprail/routing/engine_work_log.hpp"

#include <chrono>

namespace hyssoprail::routing {
namespace {

/// Reports go out at each change of a run. Totals of hundreds of engines in
/// every one of them would be most of what entries send.
constexpr milliseconds ReportInterval{80};

/// Totals are reported for this time after their last growth, so that the last
/// ones arrive although some reports are lost.
constexpr milliseconds ReportTime{1'000};

/// Longer than the coordinator remembers totals, as those of an engine that is
/// used again begin at 0 and must not be compared with older ones.
constexpr milliseconds RetentionTime{60'000};

/// An engine that sends nothing for longer is silent and not slow: its health
/// shows it.
constexpr milliseconds MaxEventGap{2'000};

std::uint64_t micros(Duration D) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(D).count());
}

} // namespace

/// Null if a later incarnation of the engine is known.
wire::EngineWork *EngineWorkLog::totals(std::string_view Engine,
                                        std::int64_t StartedAtMs,
                                        TimePoint Now) {
  Totals &T = Engines[std::string(Engine)];
  if (StartedAtMs < T.Work.started_at_ms())
    return nullptr;
  if (T.Work.started_at_ms() != StartedAtMs)
    T = {};
  T.Work.set_endpoint(std::string(Engine));
  T.Work.set_started_at_ms(StartedAtMs);
  T.UpdatedAt = Now;
  return &T.Work;
}

void EngineWorkLog::recordPrefill(std::string_view Engine,
                                  std::int64_t StartedAtMs,
                                  std::uint64_t Tokens, Duration Time,
                                  TimePoint Now) {
  if (Tokens == 0 || Time <= Duration::zero())
    return;
  wire::EngineWork *Work = totals(Engine, StartedAtMs, Now);
  if (!Work)
    return;
  Work->set_prefill_tokens(Work->prefill_tokens() + Tokens);
  Work->set_prefill_us(Work->prefill_us() + micros(Time));
  Work->set_samples(Work->samples() + 1);
}

void EngineWorkLog::recordDecode(std::string_view Engine,
                                 std::int64_t StartedAtMs, std::uint64_t Tokens,
                                 std::uint64_t Events, Duration Time,
                                 TimePoint Now) {
  if (Tokens == 0 || Time < Duration::zero() || Time > MaxEventGap)
    return;
  wire::EngineWork *Work = totals(Engine, StartedAtMs, Now);
  if (!Work)
    return;
  Work->set_decode_tokens(Work->decode_tokens() + Tokens);
  Work->set_decode_us(Work->decode_us() + micros(Time));
  Work->set_samples(Work->samples() + Events);
}

void EngineWorkLog::fillReport(wire::EntryReport &Report, TimePoint Now) {
  if (Now - ReportedAt < ReportInterval)
    return;
  ReportedAt = Now;
  std::erase_if(Engines, [&](const auto &Item) {
    return Now - Item.second.UpdatedAt > RetentionTime;
  });
  for (const auto &[Id, T] : Engines)
    if (Now - T.UpdatedAt <= ReportTime)
      *Report.add_engine_work() = T.Work;
}

void EngineWorkMeter::beginPrefill(const EndpointRecord &E,
                                   std::uint64_t Tokens, bool NoBacklog,
                                   TimePoint Now) {
  Engine = NoBacklog ? E.Id : "";
  StartedAtMs = E.StartedAtMs;
  PromptTokens = Tokens;
  PrefillSince = Now;
}

void EngineWorkMeter::prefillEnded(TimePoint Now) {
  if (Log && !Engine.empty())
    Log->recordPrefill(Engine, StartedAtMs, PromptTokens, Now - PrefillSince,
                       Now);
  stop();
}

void EngineWorkMeter::beginDecode(const EndpointRecord &E) {
  Engine = E.Id;
  StartedAtMs = E.StartedAtMs;
  LastEventAt.reset();
}

void EngineWorkMeter::received(std::uint64_t Tokens, std::uint64_t Events,
                               TimePoint Now) {
  if (Engine.empty())
    return;
  // The time before the first event includes the transfer of the KV cache.
  if (Log && LastEventAt)
    Log->recordDecode(Engine, StartedAtMs, Tokens, Events, Now - *LastEventAt,
                      Now);
  LastEventAt = Now;
}

} // namespace hyssoprail::routing
