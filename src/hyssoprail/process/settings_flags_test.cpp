#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/settings.hpp"

namespace hyssoprail {
namespace {

/// A settings file that is removed by the destructor.
class SettingsFile {
public:
  explicit SettingsFile(const std::string &Text)
      : Path(std::filesystem::temp_directory_path() /
             ("settings-" + hexId(systemSeed(), systemSeed()))) {
    std::ofstream(Path) << Text;
  }
  ~SettingsFile() { std::filesystem::remove(Path); }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;

  std::string name() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

std::variant<AgentSettings, int>
parseArguments(std::vector<std::string> Arguments) {
  const gflags::FlagSaver Saver; // restores the flags on return
  Arguments.insert(Arguments.begin(), "hyssoprail-agent");
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  int Argc = static_cast<int>(Arguments.size());
  char **Argv = Pointers.data();
  return agentSettingsOrExit(Argc, Argv);
}

constexpr const char *ValidSettings =
    R"({"name":"a1","vm":"v","zone":"z","address":"127.0.0.1","endpoint":"d",
        "engine":"127.0.0.1:1","kind":"engine","http_port":1})";

} // namespace

// Guards against flags that do not reach their field, including fields of
// nested objects.
TEST_CASE("flags override fields of the settings file") {
  const SettingsFile File(ValidSettings);
  const auto S = parseArguments({"--settings", File.name(), "--http_port=8080",
                                 "--kind=service", "--log_level=debug",
                                 "--timeline_events", "100"});
  REQUIRE(std::holds_alternative<AgentSettings>(S));
  const AgentSettings &A = std::get<AgentSettings>(S);
  CHECK(A.Process.HttpPort == 8080);
  CHECK(A.Kind == EndpointKind::Service);
  CHECK(A.Process.LogLevel == "debug");
  CHECK(A.Process.TimelineEvents == 100);
}

// Guards against --check starting the program, and against invalid settings
// that are accepted.
TEST_CASE("--check and invalid settings give exit codes") {
  const SettingsFile File(ValidSettings);
  CHECK(std::get<int>(parseArguments({"--settings", File.name(), "--check"})) ==
        0);
  CHECK(std::get<int>(
            parseArguments({"--settings", File.name(), "--kind=disk"})) == 2);
  CHECK(std::get<int>(
            parseArguments({"--settings", File.name(), "--threads=2"})) == 2);
  CHECK(std::get<int>(parseArguments({"--settings", "/no/such/file"})) == 2);
  CHECK(std::get<int>(parseArguments({})) == 2);
}

} // namespace hyssoprail
