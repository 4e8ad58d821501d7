#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/process/settings.hpp"

DEFINE_string(settings, "", "settings file in JSON");
DEFINE_bool(check, false, "check the settings; exit with 0 if valid, 2 if not");
DEFINE_string(name, "", "overrides the field name");
DEFINE_string(vm, "", "overrides the field vm");
DEFINE_string(zone, "", "overrides the field zone");
DEFINE_string(address, "", "overrides the field address");
DEFINE_string(peer_address, "", "overrides the field peer_address");
DEFINE_int32(http_port, 0, "overrides the field http_port");
DEFINE_string(log_level, "", "overrides the field log.level");
DEFINE_string(log_format, "", "overrides the field log.format");
DEFINE_int64(timeline_events, 0, "overrides the field timeline_events");
DEFINE_int32(lease_ms, 0, "overrides the field lease_ms");
DEFINE_int32(admin_port, 0, "entry: overrides the field admin_port");
DEFINE_int32(threads, 0, "entry: overrides the field threads");
DEFINE_string(platform, "", "entry: overrides the field platform");
DEFINE_string(scheduling, "", "entry: overrides the field policy.scheduling");
DEFINE_string(limits, "", "entry: overrides the field policy.limits");
DEFINE_string(placement, "", "entry: overrides the field policy.placement");
DEFINE_int32(heartbeat_ms, 0, "entry: overrides the field heartbeat_ms");
DEFINE_int32(suspect_ms, 0, "entry: overrides the field suspect_ms");
DEFINE_int32(key_staleness_ms, 0, "entry: overrides key_staleness_ms");
DEFINE_int32(outage_grace_ms, 0, "entry: overrides outage_grace_ms");
DEFINE_string(endpoint, "", "agent: overrides the field endpoint");
DEFINE_string(engine, "", "agent: overrides the field engine");
DEFINE_string(kind, "", "agent: overrides the field kind");

namespace hyssoprail {
namespace {

constexpr int ExitInvalidSettings = 2;

struct FlagField {
  const char *Flag;
  const char *Path;
};

constexpr std::array<FlagField, 23> FlagFields{{
    {"name", "name"},
    {"vm", "vm"},
    {"zone", "zone"},
    {"address", "address"},
    {"peer_address", "peer_address"},
    {"http_port", "http_port"},
    {"log_level", "log.level"},
    {"log_format", "log.format"},
    {"timeline_events", "timeline_events"},
    {"lease_ms", "lease_ms"},
    {"admin_port", "admin_port"},
    {"threads", "threads"},
    {"platform", "platform"},
    {"scheduling", "policy.scheduling"},
    {"limits", "policy.limits"},
    {"placement", "policy.placement"},
    {"heartbeat_ms", "heartbeat_ms"},
    {"suspect_ms", "suspect_ms"},
    {"key_staleness_ms", "key_staleness_ms"},
    {"outage_grace_ms", "outage_grace_ms"},
    {"endpoint", "endpoint"},
    {"engine", "engine"},
    {"kind", "kind"},
}};

/// Returns an override for each flag given on the command line.
SettingOverrides overridesFromFlags() {
  SettingOverrides Out;
  for (const FlagField &Field : FlagFields) {
    const auto Info = gflags::GetCommandLineFlagInfoOrDie(Field.Flag);
    if (Info.is_default)
      continue;
    const bool IsString = Info.type == "string";
    Out.push_back({Field.Path, IsString
                                   ? nlohmann::json(Info.current_value).dump()
                                   : Info.current_value});
  }
  return Out;
}

int reportError(const Error &E) {
  fmt::print(stderr, "{}: {}: {}; {}\n", FLAGS_settings, E.Field, E.Message,
             E.Remedy);
  return ExitInvalidSettings;
}

Result<std::string> readFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (In.good() || (In.eof() && !Text.empty()))
    return Text;
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = fmt::format("the file \"{}\" cannot be read or is "
                                      "empty",
                                      Name),
               .Remedy = "pass a settings file with --settings FILE",
               .Field = "--settings"};
}

template <typename Settings>
std::variant<Settings, int> settingsOrExit(
    int &Argc, char **&Argv,
    Result<Settings> (*Parse)(std::string_view, const SettingOverrides &)) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const Result<std::string> Text = readFile(FLAGS_settings);
  if (const Error *E = errorOf(Text))
    return reportError(*E);
  Result<Settings> Out = Parse(valueOf(Text), overridesFromFlags());
  if (const Error *E = errorOf(Out))
    return reportError(*E);
  if (!FLAGS_check)
    return std::move(valueOf(Out));
  fmt::print("{}: the settings are valid\n", FLAGS_settings);
  return 0;
}

} // namespace

std::variant<EntrySettings, int> entrySettingsOrExit(int &Argc, char **&Argv) {
  return settingsOrExit<EntrySettings>(Argc, Argv, parseEntrySettings);
}

std::variant<AgentSettings, int> agentSettingsOrExit(int &Argc, char **&Argv) {
  return settingsOrExit<AgentSettings>(Argc, Argv, parseAgentSettings);
}

} // namespace hyssoprail
