#ifndef HYSSOPRAIL_TIMELINE_LOG_READER_HPP
#define HYSSOPRAIL_TIMELINE_LOG_READER_HPP

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace hyssoprail::timeline {

/// One line of a decision log.
struct LogLine {
  std::int64_t UnixMicros = 0;
  std::string Process;
  std::string What;
  std::string Request; ///< empty: touches no request
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// Which lines are wanted; empty members match everything.
struct LogFilter {
  std::string Request{};
  std::string Endpoint{}; ///< value of any field
  std::string What{};
};

/// Reads the lines of \p In that match, in their order. Text before the first
/// brace of a line, as log collectors put it there, and lines that are no
/// decision are skipped.
std::vector<LogLine> readLog(std::istream &In, const LogFilter &Filter);

/// Sorts lines of several processes by time; equal times keep their order.
void sortLog(std::vector<LogLine> &Lines);

/// Formats a line as "TIME PROCESS WHAT name=value ...".
std::string formatLine(const LogLine &Line);

} // namespace hyssoprail::timeline

#endif // HYSSOPRAIL_TIMELINE_LOG_READER_HPP
