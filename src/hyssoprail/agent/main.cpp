#include "hyssoprail/agent/agent_runtime.hpp"
#include "hyssoprail/process/stored_agent_config.hpp"

int main(int Argc, char **Argv) {
  using namespace hyssoprail;
  const auto Parsed = agentSettingsOrExit(Argc, Argv);
  if (const int *ExitCode = std::get_if<int>(&Parsed))
    return *ExitCode;
  const auto &Settings = std::get<AgentSettings>(Parsed);
  if (errorOf(setUpLog({Settings.Process.LogLevel, Settings.Process.Format})))
    return 2;
  SteadyClock Time;
  StoredAgentConfig Config(Settings.Endpoint, Settings.Process.Zone);
  AgentRuntime Runtime(Settings, Time, Config);
  return Runtime.run();
}
