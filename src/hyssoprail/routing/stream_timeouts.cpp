#include "hyssoprail/routing/stream_timeouts.hpp"

#include <array>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::routing {
namespace {

/// A prefill counts as hanging if it takes longer than this plus a multiple of
/// the time that the engine needs for its backlog.
constexpr milliseconds PrefillBaseTimeout{350};
constexpr int PrefillTimeoutFactor = 3;

/// Prompt tokens that a prefill engine processes in a millisecond.
constexpr std::int64_t PrefillTokensPerMs = 33;

/// If the first event takes longer than this, a resumable stream moves to
/// another engine.
constexpr milliseconds FirstEventTimeout{1'500};

/// If the gap between two events is longer than this, a resumable stream moves
/// to another engine. Callers disconnect after a gap of two seconds or more.
constexpr milliseconds EventTimeout{1'100};

constexpr std::array<EnumName<StreamPhase>, 7> PhaseNames{{
    {StreamPhase::FindingVersion, "finding_version"},
    {StreamPhase::Waiting, "waiting"},
    {StreamPhase::Prefilling, "prefilling"},
    {StreamPhase::RecordingVersion, "recording_version"},
    {StreamPhase::Starting, "starting"},
    {StreamPhase::Streaming, "streaming"},
    {StreamPhase::Done, "done"},
}};

} // namespace

std::string_view streamPhaseName(StreamPhase Phase) {
  return enumName(PhaseNames, Phase);
}

milliseconds prefillTimeout(std::int64_t Backlog) {
  return PrefillBaseTimeout +
         milliseconds(PrefillTimeoutFactor * Backlog / PrefillTokensPerMs);
}

std::optional<milliseconds> progressTimeout(StreamPhase Phase,
                                            bool GotNewEvent) {
  switch (Phase) {
  case StreamPhase::Starting:
    return FirstEventTimeout;
  case StreamPhase::Streaming:
    return GotNewEvent ? EventTimeout : FirstEventTimeout;
  case StreamPhase::FindingVersion:
  case StreamPhase::Waiting:
  case StreamPhase::Prefilling:
  case StreamPhase::RecordingVersion:
  case StreamPhase::Done:
    break;
  }
  return std::nullopt;
}

} // namespace hyssoprail::routing
