#include <cstdio>

#include <gflags/gflags.h>

#include "hyssoprail/agent/agent_runtime.hpp"
#include "hyssoprail/agent/fixed_agent_config.hpp"
#include "hyssoprail/process/log.hpp"

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings and exit with 0 or 2");

int main(int Argc, char **Argv) {
  using namespace hyssoprail;
  gflags::SetUsageMessage("hyssoprail-agent --settings FILE");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const Result<AgentSettings> Read = readAgentSettings(FLAGS_settings);
  if (const Error *E = errorOf(Read)) {
    std::fprintf(stderr, "%s; %s\n", E->Message.c_str(), E->Remedy.c_str());
    return 2;
  }
  if (FLAGS_check)
    return 0;
  const AgentSettings &Settings = valueOf(Read);
  const Status Logging = setUpLog({Settings.LogLevel, Settings.Format});
  if (const Error *E = errorOf(Logging)) {
    std::fprintf(stderr, "%s; %s\n", E->Message.c_str(), E->Remedy.c_str());
    return 2;
  }
  SteadyClock Time;
  FixedAgentConfig Config;
  AgentRuntime Runtime(Settings, Time, Config);
  return Runtime.run();
}
