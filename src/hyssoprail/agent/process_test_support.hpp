#ifndef HYSSOPRAIL_AGENT_PROCESS_TEST_SUPPORT_HPP
#define HYSSOPRAIL_AGENT_PROCESS_TEST_SUPPORT_HPP

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "hyssoprail/connection/bus.hpp"

namespace hyssoprail::agent_test {

/// Child process that runs a program from the directory of the test binary. The
/// destructor kills it by its process id if it is still running.
class ChildProcess {
public:
  /// Starts \p Program and waits for the "ready" line that it prints once it
  /// serves.
  ChildProcess(const std::string &Program, std::vector<std::string> Args) {
    const std::filesystem::path Directory =
        std::filesystem::read_symlink("/proc/self/exe").parent_path();
    Args.insert(Args.begin(), (Directory / Program).string());
    std::vector<char *> Argv;
    Argv.reserve(Args.size() + 1);
    for (std::string &Arg : Args)
      Argv.push_back(Arg.data());
    Argv.push_back(nullptr);
    int Pipe[2];
    if (pipe(Pipe) != 0)
      return;
    posix_spawn_file_actions_t FileActions;
    posix_spawn_file_actions_init(&FileActions);
    posix_spawn_file_actions_adddup2(&FileActions, Pipe[1], 1);
    posix_spawn_file_actions_addclose(&FileActions, Pipe[0]);
    posix_spawn(&Pid, Args[0].c_str(), &FileActions, nullptr, Argv.data(),
                environ);
    posix_spawn_file_actions_destroy(&FileActions);
    close(Pipe[1]);
    Output = fdopen(Pipe[0], "r");
    char Line[256] = {};
    if (fgets(Line, sizeof Line, Output) != nullptr)
      ReadyLine = Line;
  }

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  ~ChildProcess() {
    if (Pid > 0) {
      kill(Pid, SIGKILL);
      wait();
    }
    if (Output != nullptr)
      fclose(Output);
  }

  /// Returns the value of \p Name in the ready line, or "" if it is absent.
  std::string readyField(const std::string &Name) const {
    const std::size_t Found = ReadyLine.find(Name + "=");
    if (Found == std::string::npos)
      return {};
    const std::size_t Begin = Found + Name.size() + 1;
    return ReadyLine.substr(Begin,
                            ReadyLine.find_first_of(" \n", Begin) - Begin);
  }

  std::string httpAddress() const { return "127.0.0.1:" + readyField("http"); }

  void signal(int SignalNumber) const { kill(Pid, SignalNumber); }

  /// Waits until the process ends. Returns its exit code, or -1 if it was ended
  /// by a signal or cannot be waited for.
  int wait() {
    int Code = 0;
    if (Pid <= 0 || waitpid(Pid, &Code, 0) != Pid)
      return -1;
    Pid = -1;
    return WIFEXITED(Code) ? WEXITSTATUS(Code) : -1;
  }

private:
  pid_t Pid = -1;
  FILE *Output = nullptr;
  std::string ReadyLine;
};

/// Agent process with a settings file of its own.
class AgentProcess : public ChildProcess {
public:
  AgentProcess(const std::string &Engine, const std::string &Kind)
      : ChildProcess("hyssoprail-agent",
                     {"--settings", writeSettings(Engine, Kind)}) {}

private:
  static std::string writeSettings(const std::string &Engine,
                                   const std::string &Kind) {
    std::string Path =
        (std::filesystem::temp_directory_path() / "agent-XXXXXX").string();
    close(mkstemp(Path.data()));
    const nlohmann::json Body{
        {"name", "agent"},        {"vm", "vm-1"},
        {"zone", "zone-1"},       {"endpoint", "endpoint-1"},
        {"engine", Engine},       {"kind", Kind},
        {"address", "127.0.0.1"}, {"peer_address", "tcp://127.0.0.1:0"},
        {"http_port", 0},         {"fatal_violations", true}};
    std::ofstream(Path) << Body;
    return Path;
  }
};

/// Simulated entry: opens a link to one agent and records the messages it
/// receives.
class EntryLink {
public:
  explicit EntryLink(const std::string &Address)
      : MessageBus(makeZmqBus({"entry", Incarnation, ""}, Time)) {
    MessageBus->start([this](const BusSource &, wire::Envelope Message) {
      const std::lock_guard Lock(Mutex);
      AgentIncarnation = Message.incarnation();
      Received.push_back(std::move(Message));
      Arrived.notify_all();
    });
    Link = MessageBus->openLink(Address);
  }

  ~EntryLink() { MessageBus->stop(); }

  void send(wire::Envelope Message) {
    {
      const std::lock_guard Lock(Mutex);
      Message.set_to_incarnation(AgentIncarnation);
    }
    Message.set_seq(++Seq);
    MessageBus->send(Link, std::move(Message));
  }

  void heartbeat(const std::vector<wire::WorkRef> &Live) {
    wire::Envelope E;
    E.mutable_heartbeat();
    for (const wire::WorkRef &Ref : Live)
      *E.mutable_heartbeat()->add_live() = Ref;
    send(std::move(E));
  }

  /// Waits for a message that satisfies \p Matches and returns it. Checks the
  /// received messages in order, starting at index \p From, and meanwhile sends
  /// heartbeats that list \p Live. Returns an empty envelope after 20 s.
  wire::Envelope
  await(const std::function<bool(const wire::Envelope &)> &Matches,
        const std::vector<wire::WorkRef> &Live = {}, std::size_t From = 0) {
    const auto Deadline = Time.now() + std::chrono::seconds(20);
    std::size_t Next = From;
    TimePoint NextHeartbeat = Time.now();
    while (Time.now() < Deadline) {
      if (Time.now() >= NextHeartbeat) {
        heartbeat(Live);
        NextHeartbeat = Time.now() + milliseconds(100);
      }
      std::unique_lock Lock(Mutex);
      Arrived.wait_for(Lock, milliseconds(20),
                       [&] { return Next < Received.size(); });
      while (Next < Received.size()) {
        wire::Envelope Message = Received[Next++];
        Lock.unlock(); // Matches may call send(), which locks Mutex
        if (Matches(Message))
          return Message;
        Lock.lock();
      }
    }
    return {};
  }

  std::vector<wire::Envelope> received() const {
    const std::lock_guard Lock(Mutex);
    return Received;
  }

private:
  static constexpr std::uint64_t Incarnation = 42;
  SteadyClock Time;
  mutable std::mutex Mutex;
  std::condition_variable Arrived;
  std::vector<wire::Envelope> Received;
  std::uint64_t AgentIncarnation = 0;
  std::uint64_t Seq = 0;
  std::unique_ptr<Bus> MessageBus;
  LinkId Link = 0;
};

} // namespace hyssoprail::agent_test

#endif // HYSSOPRAIL_AGENT_PROCESS_TEST_SUPPORT_HPP
