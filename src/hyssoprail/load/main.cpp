#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "hyssoprail/load/experiment.hpp"
#include "hyssoprail/load/overhead.hpp"
#include "hyssoprail/load/report.hpp"
#include "hyssoprail/load/soak.hpp"

DEFINE_string(profile, "tayyara", "workload: tayyara or randstein");
DEFINE_string(policies, "baseline,early",
              "policy sets to compare: baseline, none, early, predicted");
DEFINE_double(rate, 100, "requests per second of all accounts together");
DEFINE_uint32(seconds, 20, "length of each run");
DEFINE_uint32(entries, 3, "number of entries");
DEFINE_uint32(streams, 1000, "open streams for the memory figure of overhead");
DEFINE_double(headroom, 1.05, "account rate over its share of the load");
DEFINE_double(skew, 0, "share of the requests kept on the first entry");
DEFINE_bool(zone_change, false, "one availability zone leaves and returns");
DEFINE_bool(overload, true, "one account sends several times its rate");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_string(faults, "", "faults of soak, separated by commas; all if empty");
DEFINE_string(binaries, "build", "folder of the programs");
DEFINE_string(run_directory, "run/load", "folder for settings and logs");
DEFINE_string(output, "text", "text or json");
DEFINE_string(json_file, "", "also write the figures as JSON to this file");
DEFINE_string(svg_file, "", "also write a plot to this file");

namespace {

using namespace hyssoprail;
using namespace hyssoprail::load;

/// Exit codes, as --help states them.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "Usage: hyssoprail-load COMMAND [flags]\n\n"
    "  compare   runs a workload on a fresh fleet for each policy set and\n"
    "            reports the measures side by side\n"
    "  overhead  compares calls through an entry with direct calls\n"
    "  soak      sends requests while random faults come and go\n\n"
    "Exit codes: 0 done, 1 a fleet, a call or a check failed, 2 wrong usage.\n"
    "--help lists the flags.";

std::vector<std::string> splitList(const std::string &List) {
  std::vector<std::string> Parts;
  std::istringstream Stream(List);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

void writeFile(const std::string &Path, const std::string &Text) {
  if (!Path.empty())
    std::ofstream(Path) << Text;
}

int fail(const Error &E) {
  fmt::print(stderr, "hyssoprail-load: {}; {}\n", E.Message, E.Remedy);
  return ExitFailed;
}

int compare() {
  const Profile *P = profile(FLAGS_profile);
  if (P == nullptr) {
    fmt::print(stderr,
               "hyssoprail-load: no profile is called {}; use tayyara "
               "or randstein\n",
               FLAGS_profile);
    return ExitUsage;
  }
  ExperimentOptions Options;
  Options.BinaryDirectory = FLAGS_binaries;
  Options.RunDirectory = FLAGS_run_directory;
  Options.Policies = splitList(FLAGS_policies);
  Options.RequestsPerSecond = FLAGS_rate;
  Options.Length = std::chrono::seconds(FLAGS_seconds);
  Options.Entries = FLAGS_entries;
  Options.Headroom = FLAGS_headroom;
  Options.Skew = FLAGS_skew;
  Options.ZoneChange = FLAGS_zone_change;
  Options.Overload = FLAGS_overload;
  Options.Seed = FLAGS_seed;
  auto Runs = runExperiment(*P, Options);
  if (const Error *E = errorOf(Runs))
    return fail(*E);
  const std::string Json = jsonReport(valueOf(Runs)).dump(2);
  fmt::print("{}\n", FLAGS_output == "json" ? Json : textReport(valueOf(Runs)));
  writeFile(FLAGS_json_file, Json);
  writeFile(
      FLAGS_svg_file,
      svgReport(valueOf(Runs), fmt::format("{}, {} requests/s, seed {}",
                                           P->Name, FLAGS_rate, FLAGS_seed)));
  return ExitOk;
}

int overhead() {
  OverheadOptions Options;
  Options.BinaryDirectory = FLAGS_binaries;
  Options.RunDirectory = FLAGS_run_directory + "/overhead";
  Options.Streams = FLAGS_streams;
  auto Report = measureOverhead(Options);
  if (const Error *E = errorOf(Report))
    return fail(*E);
  const std::string Json = overheadJson(valueOf(Report)).dump(2);
  fmt::print("{}\n",
             FLAGS_output == "json" ? Json : overheadText(valueOf(Report)));
  writeFile(FLAGS_json_file, Json);
  return ExitOk;
}

int soak() {
  SoakOptions Options;
  Options.BinaryDirectory = FLAGS_binaries;
  Options.RunDirectory = FLAGS_run_directory + "/soak";
  Options.Length = std::chrono::seconds(FLAGS_seconds);
  Options.RequestsPerSecond = FLAGS_rate;
  Options.Seed = FLAGS_seed;
  Options.Faults = splitList(FLAGS_faults);
  auto Report = runSoak(Options);
  if (const Error *E = errorOf(Report))
    return fail(*E);
  const SoakReport &R = valueOf(Report);
  fmt::print("seed {}, {} s, faults: {}\n", FLAGS_seed, FLAGS_seconds,
             fmt::join(R.Injected, ", "));
  for (const auto &[Name, Count] : R.Outcomes)
    fmt::print("  {} {}\n", Name, Count);
  fmt::print("recovery: {}\n", fmt::join(R.Recoveries, ", "));
  fmt::print("worst recovery {:.2f} s\n", R.WorstRecoverySeconds);
  for (const std::string &Failure : R.Failures)
    fmt::print("FAILED: {}\n", Failure);
  return R.Failures.empty() ? ExitOk : ExitFailed;
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  const std::string Command = ArgCount > 1 ? Args[1] : "";
  if (Command == "compare")
    return compare();
  if (Command == "overhead")
    return overhead();
  if (Command == "soak")
    return soak();
  fmt::print(stderr, "{}\n", Usage);
  return ExitUsage;
}
