#include "hyssoprail/process/log.hpp"

#include <array>
#include <mutex>

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<LogFormat>, 2> LogFormatNames{{
    {LogFormat::Text, "text"},
    {LogFormat::Json, "json"},
}};

constexpr std::array<EnumName<spdlog::level::level_enum>, 6> LevelNames{{
    {spdlog::level::trace, "trace"},
    {spdlog::level::debug, "debug"},
    {spdlog::level::info, "info"},
    {spdlog::level::warn, "warning"},
    {spdlog::level::err, "error"},
    {spdlog::level::off, "off"},
}};

std::string formatUtc(spdlog::log_clock::time_point Time) {
  const auto Millis =
      std::chrono::floor<std::chrono::milliseconds>(Time).time_since_epoch();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(spdlog::log_clock::to_time_t(Time)),
                     Millis.count() % 1000);
}

std::string_view toStdView(spdlog::string_view_t Text) {
  return {Text.data(), Text.size()};
}

void append(spdlog::memory_buf_t &Out, std::string_view Text) {
  Out.append(Text.data(), Text.data() + Text.size());
}

class TextFormatter : public spdlog::formatter {
public:
  void format(const spdlog::details::log_msg &Line,
              spdlog::memory_buf_t &Out) override {
    append(Out, formatUtc(Line.time));
    append(Out, " ");
    append(Out, enumName(LevelNames, Line.level));
    append(Out, " ");
    if (Line.logger_name.size() != 0) {
      append(Out, "[");
      append(Out, toStdView(Line.logger_name));
      append(Out, "] ");
    }
    appendSanitized(Out, toStdView(Line.payload));
    append(Out, "\n");
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<TextFormatter>();
  }

private:
  /// Replaces control characters by spaces, so that text taken from a request
  /// cannot start a new log line.
  static void appendSanitized(spdlog::memory_buf_t &Out,
                              std::string_view Text) {
    for (const char C : Text)
      Out.push_back(static_cast<unsigned char>(C) < ' ' ? ' ' : C);
  }
};

class JsonFormatter : public spdlog::formatter {
public:
  void format(const spdlog::details::log_msg &Line,
              spdlog::memory_buf_t &Out) override {
    const nlohmann::ordered_json Object{
        {"time", formatUtc(Line.time)},
        {"level", enumName(LevelNames, Line.level)},
        {"part", toStdView(Line.logger_name)},
        {"message", toStdView(Line.payload)}};
    append(Out, Object.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace));
    append(Out, "\n");
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>();
  }
};

/// Sink shared by all loggers, so that setUpLog() also changes the format of
/// existing loggers.
const std::shared_ptr<spdlog::sinks::sink> &sharedSink() {
  static const std::shared_ptr<spdlog::sinks::sink> Sink = [] {
    auto Created = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    Created->set_formatter(makeLogFormatter(LogFormat::Text));
    return Created;
  }();
  return Sink;
}

} // namespace

Result<LogFormat> logFormat(std::string_view Name) {
  if (const auto Found = enumFromName(LogFormatNames, Name))
    return *Found;
  return Error{ErrorKind::InvalidSettings,
               fmt::format("unknown log format \"{}\"", Name),
               "use \"text\" or \"json\"", "log.format"};
}

Status setUpLog(const LogOptions &Options) {
  const auto Level = enumFromName(LevelNames, Options.Level);
  if (!Level)
    return Error{ErrorKind::InvalidSettings,
                 fmt::format("unknown log level \"{}\"", Options.Level),
                 "use trace, debug, info, warning, error or off", "log.level"};
  sharedSink()->set_formatter(makeLogFormatter(Options.Format));
  spdlog::set_default_logger(logger("process"));
  spdlog::set_level(*Level);
  spdlog::flush_on(spdlog::level::warn);
  return {};
}

std::shared_ptr<spdlog::logger> logger(const std::string &Name) {
  static std::mutex Mutex;
  std::lock_guard Lock(Mutex);
  if (auto Found = spdlog::get(Name))
    return Found;
  auto Created = std::make_shared<spdlog::logger>(Name, sharedSink());
  // Takes over the current level by hand: spdlog::initialize_logger would also
  // replace the formatter of the shared sink.
  Created->set_level(spdlog::get_level());
  Created->flush_on(spdlog::level::warn);
  spdlog::register_logger(Created);
  return Created;
}

std::unique_ptr<spdlog::formatter> makeLogFormatter(LogFormat Format) {
  if (Format == LogFormat::Json)
    return std::make_unique<JsonFormatter>();
  return std::make_unique<TextFormatter>();
}

} // namespace hyssoprail
