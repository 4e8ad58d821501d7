#ifndef HYSSOPRAIL_TIMELINE_FETCH_HPP
#define HYSSOPRAIL_TIMELINE_FETCH_HPP

#include <chrono>
#include <string>
#include <vector>

#include "hyssoprail/timeline/merge.hpp"

namespace hyssoprail::timeline {

/// What to ask the processes for.
struct FetchOptions {
  std::vector<std::string> Addresses; ///< "IP:PORT"
  std::string Query;                  ///< "request=..&limit=.."
  std::string Token;
  std::chrono::milliseconds Timeout{5'000};
};

/// A process that gave no time line.
struct MissingProcess {
  std::string Process; ///< name or address
  std::string Reason;
};

struct Fetched {
  std::vector<FetchedTimeline> Timelines;
  std::vector<MissingProcess> Missing;
};

/// Asks all processes at once.
Fetched fetchTimelines(const FetchOptions &Options);

/// Process list of an entry's status: addresses where the status names one,
/// and the other processes as missing.
struct ProcessList {
  std::vector<std::string> Addresses;
  std::vector<MissingProcess> Missing;
};

/// Reads the process list from the entry at \p Entry, which is contained.
ProcessList fetchProcessList(const std::string &Entry, const std::string &Token,
                             std::chrono::milliseconds Timeout);

} // namespace hyssoprail::timeline

#endif // HYSSOPRAIL_TIMELINE_FETCH_HPP
