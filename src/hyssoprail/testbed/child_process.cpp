#include "hyssoprail/testbed/child_process.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssoprail::testbed {
namespace {

/// Time a program has to print its ready line.
constexpr std::chrono::seconds ReadyTimeout{20};

/// Pause between two looks at a child that should end.
constexpr std::chrono::milliseconds ReapInterval{5};

Error startError(const std::string &Program, const std::string &Reason) {
  return {ErrorKind::Unavailable,
          Program + " did not start: " + Reason,
          "read its log file and check its settings",
          "",
          {}};
}

/// Replaces the forked child with the program; only async-signal-safe calls.
[[noreturn]] void execute(const char *Program, char *const *Arguments,
                          int Output, int Log, pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(127);
  dup2(Output, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // An inherited connection would stay open when the parent closes it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Program, Arguments);
  _exit(127);
}

std::map<std::string, std::string> parseReadyLine(const std::string &Line) {
  std::map<std::string, std::string> Fields;
  std::istringstream Words(Line);
  for (std::string Word; Words >> Word;)
    if (auto Equals = Word.find('='); Equals != std::string::npos)
      Fields[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  return Fields;
}

} // namespace

ChildProcess::ChildProcess(std::string Program,
                           std::vector<std::string> Arguments,
                           std::string LogFile)
    : Program(std::move(Program)), Arguments(std::move(Arguments)),
      LogFile(std::move(LogFile)) {}

ChildProcess::~ChildProcess() {
  kill();
  if (OutputPipe >= 0)
    close(OutputPipe);
}

Status ChildProcess::start() {
  if (running())
    return Error{ErrorKind::Conflict,
                 Program + " was not started: it runs already",
                 "end it first",
                 "",
                 {}};
  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    return startError(Program, "no pipe");
  const int Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::vector<char *> Argv{Program.data()};
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  const pid_t Parent = getpid();
  EndStatus.reset();
  Pid = fork();
  if (Pid == 0)
    execute(Program.c_str(), Argv.data(), Pipe[1], Log, Parent);
  close(Pipe[1]);
  close(Log);
  if (OutputPipe >= 0)
    close(OutputPipe);
  OutputPipe = Pipe[0];
  if (Pid < 0)
    return startError(Program, "fork failed");
  return readReadyLine();
}

Status ChildProcess::readReadyLine() {
  const auto Deadline = std::chrono::steady_clock::now() + ReadyTimeout;
  std::string Text;
  while (Text.find('\n') == std::string::npos) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    pollfd Poll{OutputPipe, POLLIN, 0};
    std::array<char, 512> Data{};
    if (Left.count() <= 0 ||
        poll(&Poll, 1, static_cast<int>(Left.count())) <= 0)
      return startError(Program, "no ready line in time");
    const ssize_t Got = read(OutputPipe, Data.data(), Data.size());
    if (Got <= 0)
      return startError(Program, "it ended before it was ready");
    Text.append(Data.data(), static_cast<std::size_t>(Got));
  }
  Ready = parseReadyLine(Text.substr(0, Text.find('\n')));
  return std::monostate{};
}

void ChildProcess::replaceArgument(const std::string &Old,
                                   const std::string &New) {
  std::replace(Arguments.begin(), Arguments.end(), Old, New);
}

void ChildProcess::signal(int Signal) const {
  if (Pid > 0 && !EndStatus)
    ::kill(Pid, Signal);
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (running()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return std::nullopt;
    std::this_thread::sleep_for(ReapInterval);
  }
  return EndStatus;
}

bool ChildProcess::running() {
  if (Pid <= 0 || EndStatus)
    return false;
  int WaitStatus = 0;
  if (waitpid(Pid, &WaitStatus, WNOHANG) != Pid)
    return true;
  EndStatus = WaitStatus;
  return false;
}

void ChildProcess::kill() {
  if (Pid <= 0 || EndStatus)
    return;
  ::kill(Pid, SIGKILL);
  int WaitStatus = 0;
  if (waitpid(Pid, &WaitStatus, 0) == Pid)
    EndStatus = WaitStatus;
}

} // namespace hyssoprail::testbed
