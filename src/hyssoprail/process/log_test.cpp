#include "hyssoprail/process/log.hpp"

#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>

namespace hyssoprail {
namespace {

std::string formatLine(LogFormat Format, const std::string &Message) {
  std::ostringstream Out;
  auto Sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(Out);
  Sink->set_formatter(makeLogFormatter(Format));
  spdlog::logger Log("limits", Sink);
  Log.warn(Message);
  return Out.str();
}

} // namespace

// Guards against lines that log collectors cannot parse.
TEST_CASE("quotes and newlines are escaped in a JSON log line") {
  const std::string Line = formatLine(LogFormat::Json, "a \"b\"\nc");
  CHECK(Line.find('\n') == Line.size() - 1);
  const auto Object = nlohmann::json::parse(Line);
  CHECK(Object["part"] == "limits");
  CHECK(Object["level"] == "warning");
  CHECK(Object["message"] == "a \"b\"\nc");
}

// Guards against log lines forged by text that contains a line break.
TEST_CASE("a text log line names its logger and stays on one line") {
  const std::string Line = formatLine(LogFormat::Text, "first\nsecond");
  CHECK(Line.find(" warning [limits] first second\n") != std::string::npos);
}

// Guards against a level that silently stays at its default.
TEST_CASE(
    "an unknown level or format is rejected; a level applies to all loggers") {
  CHECK_FALSE(succeeded(logFormat("xml")));
  CHECK_FALSE(succeeded(setUpLog({.Level = "loud"})));
  auto Before = logger("log_test");
  CHECK(succeeded(setUpLog({.Level = "error"})));
  CHECK(Before->level() == spdlog::level::err);
  CHECK(logger("log_test_later")->level() == spdlog::level::err);
  CHECK(logger("log_test") == Before);
  CHECK(succeeded(setUpLog({})));
}

} // namespace hyssoprail
