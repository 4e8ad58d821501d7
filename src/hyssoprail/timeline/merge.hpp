#ifndef HYSSOPRAIL_TIMELINE_MERGE_HPP
#define HYSSOPRAIL_TIMELINE_MERGE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "hyssoprail/process/timeline_json.hpp"

namespace hyssoprail::timeline {

/// A process's events with the times of this program's clock between which the
/// process made its answer.
struct FetchedTimeline {
  ProcessTimeline Of;
  std::int64_t AskedUnixMicros = 0;
  std::int64_t AnsweredUnixMicros = 0;
};

/// How far a process's clock is ahead of this program's.
struct ClockOffset {
  std::string Process;
  double Micros = 0;
  double ErrorMicros = 0; ///< the true offset is within this of Micros
};

/// One event of the merged time line.
struct MergedEvent {
  std::string Process;
  double UnixMicros = 0; ///< by this program's clock
  ReceivedEvent Event;
};

struct MergedTimeline {
  std::vector<ClockOffset> Clocks;
  std::vector<MergedEvent> Events; ///< in time order
  /// False if no offsets agree with all pairs of events, for example after a
  /// clock was set; then only the times of the answers are used.
  bool Consistent = true;
};

/// Estimates the clock offsets and merges. Each answer bounds its process's
/// offset by the time of asking and answering, and each pair of events of which
/// one is sent before the other is received bounds the offset between two
/// processes. The estimate is the middle of the tightest bounds, which puts
/// every such pair in order.
MergedTimeline mergeTimelines(const std::vector<FetchedTimeline> &From);

} // namespace hyssoprail::timeline

#endif // HYSSOPRAIL_TIMELINE_MERGE_HPP
