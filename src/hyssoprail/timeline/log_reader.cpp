#include "hyssoprail/timeline/log_reader.hpp"

#include <algorithm>
#include <optional>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssoprail::timeline {
namespace {

using Json = nlohmann::ordered_json;

std::string textOf(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::optional<LogLine> parseLine(const std::string &Text) {
  const std::size_t Brace = Text.find('{');
  if (Brace == std::string::npos)
    return std::nullopt;
  const Json In = Json::parse(Text.substr(Brace), nullptr, false);
  if (!In.is_object() || !In.contains("what") || !In["what"].is_string() ||
      !In.contains("time_us") || !In["time_us"].is_number_integer())
    return std::nullopt;
  LogLine Out;
  for (const auto &[Name, Value] : In.items()) {
    if (Name == "time_us")
      Out.UnixMicros = Value.get<std::int64_t>();
    else if (Name == "process")
      Out.Process = textOf(Value);
    else if (Name == "what")
      Out.What = textOf(Value);
    else if (Name == "request")
      Out.Request = textOf(Value);
    else
      Out.Fields.emplace_back(Name, textOf(Value));
  }
  return Out;
}

bool matches(const LogLine &Line, const LogFilter &Filter) {
  if (!Filter.Request.empty() && Line.Request != Filter.Request)
    return false;
  if (!Filter.What.empty() && Line.What != Filter.What)
    return false;
  return Filter.Endpoint.empty() ||
         std::any_of(
             Line.Fields.begin(), Line.Fields.end(),
             [&](const auto &F) { return F.second == Filter.Endpoint; });
}

} // namespace

std::vector<LogLine> readLog(std::istream &In, const LogFilter &Filter) {
  std::vector<LogLine> Out;
  for (std::string Text; std::getline(In, Text);)
    if (auto Line = parseLine(Text); Line && matches(*Line, Filter))
      Out.push_back(std::move(*Line));
  return Out;
}

void sortLog(std::vector<LogLine> &Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &A, const LogLine &B) {
                     return A.UnixMicros < B.UnixMicros;
                   });
}

std::string formatLine(const LogLine &Line) {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  std::string Out = fmt::format(
      "{:%H:%M:%S}.{:06} {} {}",
      fmt::gmtime(static_cast<std::time_t>(Line.UnixMicros / MicrosPerSecond)),
      Line.UnixMicros % MicrosPerSecond, Line.Process, Line.What);
  for (const auto &[Name, Value] : Line.Fields)
    Out += fmt::format(" {}={}", Name, Value);
  return Out;
}

} // namespace hyssoprail::timeline
