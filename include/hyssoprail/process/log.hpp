#ifndef HYSSOPRAIL_PROCESS_LOG_HPP
#define HYSSOPRAIL_PROCESS_LOG_HPP

#include <memory>
#include <string>
#include <string_view>

#include <spdlog/spdlog.h>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Format of a log line.
enum class LogFormat {
  Text, ///< "2026-12-04T03:00:00.123Z info [limits] Message"
  Json, ///< {"time":..,"level":..,"part":..,"message":..}
};

/// Log settings of a process.
struct LogOptions {
  std::string Level = "info"; ///< trace, debug, info, warning, error or off
  LogFormat Format = LogFormat::Text;
};

/// Returns the format called \p Name ("text" or "json"). Fails with
/// InvalidSettings for another name.
Result<LogFormat> logFormat(std::string_view Name);

/// Applies \p Options to all existing and future loggers. Lines go to standard
/// error; standard output is reserved for the ready line. Fails with
/// InvalidSettings if the level is unknown.
Status setUpLog(const LogOptions &Options);

/// Returns the logger called \p Name, creating it if needed. Its lines carry
/// the name. The look-up takes a lock, so callers should keep the pointer.
///
/// \code
///   auto Log = logger("limits");
///   Log->info("Took over {} shards.", Count); // "... info [limits] Took ..."
/// \endcode
std::shared_ptr<spdlog::logger> logger(const std::string &Name);

/// Creates a formatter for \p Format, for sinks other than standard error.
std::unique_ptr<spdlog::formatter> makeLogFormatter(LogFormat Format);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LOG_HPP
