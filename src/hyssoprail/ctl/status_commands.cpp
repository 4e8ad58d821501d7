#include <charconv>
#include <ostream>

#include <fmt/format.h>

#include "hyssoprail/ctl/ctl.hpp"

namespace hyssoprail::ctl {
namespace {

constexpr std::chrono::milliseconds PollInterval{100};

std::string loadText(const Json &Process) {
  if (!Process.contains("load"))
    return "";
  const Json &Load = Process["load"];
  return fmt::format(" slots {}/{} pieces {}/{}{}", Load.value("slots_used", 0),
                     Load.value("slots", 0), Load.value("pieces_used", 0),
                     Load.value("pieces", 0),
                     Load.value("cold", false) ? " cold" : "");
}

std::string processText(const Json &Process) {
  return fmt::format("{:<6} {:<20} zone {:<10} version {:<8} age {} ms{}{}\n",
                     Process.value("role", ""), Process.value("name", ""),
                     Process.value("zone", ""), Process.value("version", 0U),
                     Process.value("age_ms", 0U),
                     Process.value("leaving", false) ? " leaving" : "",
                     loadText(Process));
}

std::string statusText(const Json &Status) {
  std::string Out = fmt::format(
      "version {}, log read {} ms ago, {} violations\n",
      Status.value("version", std::uint64_t{0}), Status.value("log_age_ms", 0),
      Status.value("violations", std::uint64_t{0}));
  for (const Json &Process : Status.value("processes", Json::array()))
    Out += processText(Process);
  return Out;
}

/// Names of the live processes that have not reported \p Version.
std::vector<std::string> behind(const Json &Status, std::uint64_t Version) {
  std::vector<std::string> Out;
  for (const Json &Process : Status.value("processes", Json::array()))
    if (Process.value("version", std::uint64_t{0}) < Version)
      Out.push_back(fmt::format("{} (version {})", Process.value("name", "?"),
                                Process.value("version", std::uint64_t{0})));
  if (Status.value("version", std::uint64_t{0}) < Version)
    Out.emplace_back("the entry that was asked");
  return Out;
}

} // namespace

ExitCode showStatus(Ctl &C, const Words &) {
  const Result<Json> Status = C.Admin.status();
  if (const Error *E = errorOf(Status))
    return report(C, *E);
  print(C, valueOf(Status), statusText(valueOf(Status)));
  return ExitCode::Success;
}

ExitCode waitVersion(Ctl &C, const Words &Line) {
  std::uint64_t Version = 0;
  const char *End = Line[1].data() + Line[1].size();
  if (std::from_chars(Line[1].data(), End, Version).ptr != End)
    return usageError(C, fmt::format("\"{}\" is no version", Line[1]),
                      "use the number that a change printed");
  const ExitCode Code = waitUntilInEffect(C, Version);
  if (Code == ExitCode::Success)
    print(C, Json{{"version", Version}}, "");
  return Code;
}

ExitCode waitUntilInEffect(Ctl &C, std::uint64_t Version) {
  std::chrono::milliseconds Waited{0};
  while (true) {
    const Result<Json> Status = C.Admin.status();
    if (const Error *E = errorOf(Status))
      return report(C, *E);
    const std::vector<std::string> Behind = behind(valueOf(Status), Version);
    if (Behind.empty()) {
      if (!C.Options.JsonOutput)
        C.Out << fmt::format("version {} is in effect everywhere\n", Version);
      return ExitCode::Success;
    }
    if (Waited >= C.Options.Timeout)
      return report(C,
                    {.Kind = ErrorKind::DeadlineExceeded,
                     .Message = fmt::format("version {} is not reported by: {}",
                                            Version, fmt::join(Behind, ", ")),
                     .Remedy = "wait longer with --timeout_ms, or check "
                               "these processes with status",
                     .Field = {}});
    C.Admin.pause(PollInterval);
    Waited += PollInterval;
  }
}

} // namespace hyssoprail::ctl
