#include <csignal>
#include <cstdio>

#include <spdlog/spdlog.h>

#include "hyssoprail/entry/entry_runtime.hpp"
#include "hyssoprail/process/log.hpp"

namespace {

/// Waits for SIGTERM or SIGINT, which all threads block.
int waitForStop(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Signal;
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace hyssoprail;
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  auto Settings = entrySettingsOrExit(Argc, Argv);
  if (const int *Code = std::get_if<int>(&Settings))
    return *Code;
  const auto &Given = std::get<EntrySettings>(Settings);
  setUpLog({Given.Process.LogLevel, Given.Process.Format});

  SteadyClock Time;
  entry::EntryRuntime Entry(Given, Time);
  const Status Started = Entry.start();
  if (const Error *E = errorOf(Started)) {
    spdlog::error("[entry] {}; {}.", E->Message, E->Remedy);
    return 1;
  }
  std::printf("%s\n", Entry.readyLine().c_str());
  std::fflush(stdout);
  waitForStop(Signals);
  spdlog::info("[entry] Draining.");
  Entry.drain();
  Entry.stop();
  return 0;
}
