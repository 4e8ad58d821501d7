#ifndef HYSSOPRAIL_LOAD_OVERHEAD_HPP
#define HYSSOPRAIL_LOAD_OVERHEAD_HPP

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail::load {

/// Shape of the overhead measurement.
struct OverheadOptions {
  std::string BinaryDirectory;
  std::string RunDirectory;
  unsigned Samples = 200;   ///< streams through the entry and direct
  unsigned Streams = 2000;  ///< open streams for the memory figure
  unsigned CallSeconds = 5; ///< length of the throughput run
  unsigned CallConnections = 32;
  unsigned Changes = 100; ///< configuration changes timed
};

/// Figures of one way to reach the engines.
struct PathFigures {
  double FirstTokenP50Ms = 0;
  double FirstTokenP99Ms = 0;
  double BetweenTokensP50Ms = 0;
  double BetweenTokensP99Ms = 0;
};

/// Added latency, throughput and memory of an entry, and the time until a
/// configuration change is in force.
struct OverheadReport {
  PathFigures Direct;
  PathFigures Routed;
  double CallsPerSecond = 0;     ///< plain calls through one entry
  double EntryCoresUsed = 0;     ///< processor time of the entry per second
  double BytesPerOpenStream = 0; ///< growth of the entry's resident memory
  std::uint64_t OpenStreams = 0;
  double InForceP50Ms = 0; ///< change sent until all processes report it
  double InForceP99Ms = 0;
};

/// Starts a small fleet and measures, in the same run, streams sent straight
/// to the stand-in engines and streams through an entry.
Result<OverheadReport> measureOverhead(const OverheadOptions &Options);

std::string overheadText(const OverheadReport &Report);
nlohmann::json overheadJson(const OverheadReport &Report);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_OVERHEAD_HPP
