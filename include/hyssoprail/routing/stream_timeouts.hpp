#ifndef HYSSOPRAIL_ROUTING_STREAM_TIMEOUTS_HPP
#define HYSSOPRAIL_ROUTING_STREAM_TIMEOUTS_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Phases of a generation at the entry that serves its caller.
enum class StreamPhase {
  FindingVersion, ///< of a stream that its caller resumes
  Waiting,
  Prefilling,
  RecordingVersion, ///< of the chosen decode engine
  Starting,
  Streaming,
  Done,
};

std::string_view streamPhaseName(StreamPhase Phase);

/// Time after which a prefill counts as hanging if \p Backlog prompt tokens,
/// its own included, are queued at its engine.
milliseconds prefillTimeout(std::int64_t Backlog);

/// Time without progress after which a resumable stream moves to another
/// engine; nullopt if it does not in this phase.
std::optional<milliseconds> progressTimeout(StreamPhase Phase,
                                            bool GotNewEvent);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_TIMEOUTS_HPP
