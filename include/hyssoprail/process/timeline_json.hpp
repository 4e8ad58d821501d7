#ifndef HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP
#define HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/process/timeline.hpp"

namespace hyssoprail {

/// Event as read from another process. The kind stays a text, so that a newer
/// process's kinds are kept.
struct ReceivedEvent {
  std::int64_t UnixMicros = 0; ///< by the clock of its process
  std::string Kind;
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Account;
  std::string Endpoint;
  std::uint64_t Version = 0;
  std::string Detail;
};

/// Answer of one process to GET /admin/v1/timeline.
struct ProcessTimeline {
  std::string Process;
  std::int64_t NowUnixMicros = 0; ///< its clock when it answered
  std::vector<ReceivedEvent> Events;
};

/// Body of the answer: {"process":..,"now_unix_us":n,"events":[..]}.
std::string encodeTimeline(std::string_view Process, std::int64_t NowUnixMicros,
                           const std::vector<Event> &Events);

/// Reads such a body; fails with UpstreamFailed if it is not one.
Result<ProcessTimeline> decodeTimeline(std::string_view Body);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TIMELINE_JSON_HPP
