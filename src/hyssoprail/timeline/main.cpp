#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <boost/algorithm/string.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/process/query.hpp"
#include "hyssoprail/timeline/fetch.hpp"
#include "hyssoprail/timeline/log_reader.hpp"

DEFINE_string(processes, "", "IP:PORT of several processes, comma-separated");
DEFINE_string(entry, "",
              "IP:PORT of an entry's admin port; its process list "
              "is used too");
DEFINE_string(logs, "",
              "files with decision logs, comma-separated; \"-\" is standard "
              "input");
DEFINE_string(token, "", "operator token; default: HYSSOPRAIL_TOKEN");
DEFINE_string(request, "", "request id");
DEFINE_string(account, "", "client account");
DEFINE_string(endpoint, "", "endpoint");
DEFINE_uint32(limit, 1'000, "newest events of each process");
DEFINE_string(output, "text", "text or json");
DEFINE_int32(timeout_ms, 5'000, "longest wait for a process");

namespace hyssoprail::timeline {
namespace {

constexpr const char *Usage =
    "merges the events of several processes for one request, account or "
    "endpoint.\n\n"
    "  hyssoprail-timeline --processes IP:PORT,IP:PORT --request ID\n"
    "  hyssoprail-timeline --entry IP:PORT --account NAME --output json\n"
    "  hyssoprail-timeline --logs FILE,FILE --request ID\n\n"
    "Exit codes: 0 all processes answered; 1 none answered; 2 wrong usage; "
    "3 some did not answer, and the time line is partial.";

enum ExitCode { Complete = 0, NoAnswer = 1, WrongUsage = 2, Partial = 3 };

std::string queryOf() {
  std::string Out = fmt::format("limit={}", FLAGS_limit);
  const std::array<std::pair<const char *, const std::string *>, 3> Filters{
      {{"request", &FLAGS_request},
       {"account", &FLAGS_account},
       {"endpoint", &FLAGS_endpoint}}};
  for (const auto &[Name, Value] : Filters)
    if (!Value->empty())
      Out += fmt::format("&{}={}", Name, escapeQuery(*Value));
  return Out;
}

std::string timeText(double UnixMicros) {
  const auto Micros = static_cast<std::int64_t>(UnixMicros);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(static_cast<std::time_t>(Micros / 1'000'000)),
                     Micros % 1'000'000);
}

void printText(const MergedTimeline &Merged, const Fetched &From) {
  for (const MergedEvent &E : Merged.Events)
    fmt::print("{} {:<16} {:<18} {} {} {} {} {}\n", timeText(E.UnixMicros),
               E.Process, E.Event.Kind, E.Event.RequestId, E.Event.Attempt,
               E.Event.Account, E.Event.Endpoint, E.Event.Detail);
  for (const ClockOffset &C : Merged.Clocks)
    fmt::print("clock of {}: {:+.3f} ms, within {:.3f} ms\n", C.Process,
               C.Micros / 1'000, C.ErrorMicros / 1'000);
  if (!Merged.Consistent)
    fmt::print("No clock offsets agree with all events; the order between "
               "processes may be wrong.\n");
  for (const MissingProcess &M : From.Missing)
    fmt::print("no answer from {}: {}\n", M.Process, M.Reason);
}

void printJson(const MergedTimeline &Merged, const Fetched &From) {
  using Json = nlohmann::json;
  Json Out{{"events", Json::array()},
           {"clocks", Json::array()},
           {"missing", Json::array()},
           {"consistent", Merged.Consistent}};
  for (const MergedEvent &E : Merged.Events)
    Out["events"].push_back({{"unix_us", E.UnixMicros},
                             {"process", E.Process},
                             {"kind", E.Event.Kind},
                             {"request_id", E.Event.RequestId},
                             {"attempt", E.Event.Attempt},
                             {"account", E.Event.Account},
                             {"endpoint", E.Event.Endpoint},
                             {"version", E.Event.Version},
                             {"detail", E.Event.Detail}});
  for (const ClockOffset &C : Merged.Clocks)
    Out["clocks"].push_back({{"process", C.Process},
                             {"offset_us", C.Micros},
                             {"error_us", C.ErrorMicros}});
  for (const MissingProcess &M : From.Missing)
    Out["missing"].push_back({{"process", M.Process}, {"reason", M.Reason}});
  std::cout << Out.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

/// Prints the lines of the decision logs that match.
int runLogs() {
  if (FLAGS_request.empty() && FLAGS_endpoint.empty()) {
    std::cerr << "give --request or --endpoint with --logs; see --help\n";
    return WrongUsage;
  }
  const LogFilter Filter{FLAGS_request, FLAGS_endpoint, ""};
  std::vector<std::string> Names;
  boost::split(Names, FLAGS_logs, boost::is_any_of(","));
  std::vector<LogLine> Lines;
  bool Missing = false;
  for (const std::string &Name : Names) {
    std::ifstream File(Name);
    if (Name != "-" && !File) {
      std::cerr << "cannot read " << Name << "\n";
      Missing = true;
      continue;
    }
    auto Found = readLog(Name == "-" ? std::cin : File, Filter);
    Lines.insert(Lines.end(), Found.begin(), Found.end());
  }
  sortLog(Lines);
  for (const LogLine &Line : Lines)
    std::cout << formatLine(Line) << "\n";
  if (Lines.empty())
    return NoAnswer;
  return Missing ? Partial : Complete;
}

int run() {
  if (!FLAGS_logs.empty())
    return runLogs();
  const bool NoFilter =
      FLAGS_request.empty() && FLAGS_account.empty() && FLAGS_endpoint.empty();
  const bool NoProcess = FLAGS_processes.empty() && FLAGS_entry.empty();
  if (NoFilter || NoProcess ||
      (FLAGS_output != "text" && FLAGS_output != "json")) {
    std::cerr << "give --processes or --entry, one of --request, --account and "
                 "--endpoint, and --output text or json; see --help\n";
    return WrongUsage;
  }
  const char *FromEnvironment = std::getenv("HYSSOPRAIL_TOKEN");
  FetchOptions Options;
  Options.Query = queryOf();
  Options.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  Options.Token = FLAGS_token;
  if (Options.Token.empty() && FromEnvironment != nullptr)
    Options.Token = FromEnvironment;
  if (!FLAGS_processes.empty())
    boost::split(Options.Addresses, FLAGS_processes, boost::is_any_of(","));
  std::vector<MissingProcess> Unlisted;
  if (!FLAGS_entry.empty()) {
    const ProcessList List =
        fetchProcessList(FLAGS_entry, Options.Token, Options.Timeout);
    Options.Addresses.insert(Options.Addresses.end(), List.Addresses.begin(),
                             List.Addresses.end());
    Unlisted = List.Missing;
  }
  Fetched From = fetchTimelines(Options);
  // A process whose address was given by hand is not missing.
  std::erase_if(Unlisted, [&](const MissingProcess &M) {
    return std::any_of(
        From.Timelines.begin(), From.Timelines.end(),
        [&](const FetchedTimeline &T) { return T.Of.Process == M.Process; });
  });
  From.Missing.insert(From.Missing.end(), Unlisted.begin(), Unlisted.end());
  const MergedTimeline Merged = mergeTimelines(From.Timelines);
  if (FLAGS_output == "json")
    printJson(Merged, From);
  else
    printText(Merged, From);
  if (From.Timelines.empty())
    return NoAnswer;
  return From.Missing.empty() ? Complete : Partial;
}

} // namespace
} // namespace hyssoprail::timeline

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(hyssoprail::timeline::Usage);
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout
        << "hyssoprail-timeline " << hyssoprail::timeline::Usage
        << "\n\nFlags: --processes --entry --logs --token --request --account "
           "--endpoint --limit --output --timeout_ms\n";
    return 0;
  }
  return hyssoprail::timeline::run();
}
