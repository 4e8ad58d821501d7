#ifndef HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP
#define HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/process/timeline.hpp"

namespace hyssoprail {

/// Event received from another process. The kind is kept as a string, so that
/// kinds that only a newer version knows are preserved.
struct ReceivedEvent {
  std::int64_t UnixMicros = 0; ///< on the clock of the sending process
  std::string Kind;
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Account;
  std::string Endpoint;
  std::uint64_t Version = 0;
  std::string Detail;
};

/// Response of one process to GET /admin/v1/timeline.
struct ProcessTimeline {
  std::string Process;
  std::int64_t NowUnixMicros = 0; ///< clock of that process when it responded
  std::vector<ReceivedEvent> Events;
};

/// Returns the response body: {"process":..,"now_unix_us":n,"events":[..]}.
std::string encodeTimeline(std::string_view Process, std::int64_t NowUnixMicros,
                           const std::vector<Event> &Events);

/// Parses a body written by encodeTimeline(). Fails with UpstreamFailed if it
/// is malformed.
Result<ProcessTimeline> decodeTimeline(std::string_view Body);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP
