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

/// A program of this build directory, ended by its id.
class ChildProcess {
public:
  /// Starts \p Program and waits for its ready line.
  ChildProcess(const std::string &Program, std::vector<std::string> Args) {
    const std::filesystem::path Folder =
        std::filesystem::read_symlink("/proc/self/exe").parent_path();
    Args.insert(Args.begin(), (Folder / Program).string());
    std::vector<char *> Pointers;
    Pointers.reserve(Args.size() + 1);
    for (std::string &A : Args)
      Pointers.push_back(A.data());
    Pointers.push_back(nullptr);
    int Pipe[2];
    if (pipe(Pipe) != 0)
      return;
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_adddup2(&Files, Pipe[1], 1);
    posix_spawn_file_actions_addclose(&Files, Pipe[0]);
    posix_spawn(&Pid, Args[0].c_str(), &Files, nullptr, Pointers.data(),
                environ);
    posix_spawn_file_actions_destroy(&Files);
    close(Pipe[1]);
    Output = fdopen(Pipe[0], "r");
    char Line[256] = {};
    if (fgets(Line, sizeof Line, Output) != nullptr)
      Ready = Line;
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

  /// Value of \p Name in the ready line.
  std::string value(const std::string &Name) const {
    const std::size_t At = Ready.find(Name + "=");
    if (At == std::string::npos)
      return {};
    const std::size_t Begin = At + Name.size() + 1;
    return Ready.substr(Begin, Ready.find_first_of(" \n", Begin) - Begin);
  }

  std::string http() const { return "127.0.0.1:" + value("http"); }

  void signal(int Which) const { kill(Pid, Which); }

  /// Waits for the end and returns the exit code, or -1.
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
  std::string Ready;
};

/// An agent with its settings file.
class AgentProcess : public ChildProcess {
public:
  AgentProcess(const std::string &Engine, const std::string &Kind)
      : ChildProcess("hyssoprail-agent",
                     {"--settings", settings(Engine, Kind)}) {}

private:
  static std::string settings(const std::string &Engine,
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

/// The entry's side of a link to one agent.
class EntryLink {
public:
  explicit EntryLink(const std::string &Address)
      : Messages(makeZmqBus({"entry", Incarnation, ""}, Time)) {
    Messages->start([this](const BusSource &, wire::Envelope Message) {
      const std::lock_guard Lock(Mutex);
      AgentIncarnation = Message.incarnation();
      Received.push_back(std::move(Message));
      Arrived.notify_all();
    });
    Link = Messages->openLink(Address);
  }

  ~EntryLink() { Messages->stop(); }

  void send(wire::Envelope Message) {
    {
      const std::lock_guard Lock(Mutex);
      Message.set_to_incarnation(AgentIncarnation);
    }
    Message.set_seq(++Seq);
    Messages->send(Link, std::move(Message));
  }

  void heartbeat(const std::vector<wire::WorkRef> &Live) {
    wire::Envelope E;
    E.mutable_heartbeat();
    for (const wire::WorkRef &Ref : Live)
      *E.mutable_heartbeat()->add_live() = Ref;
    send(std::move(E));
  }

  /// Returns the first message from index \p From on that \p Matches, while
  /// sending heartbeats with \p Live. Fails by returning an empty envelope.
  wire::Envelope
  await(const std::function<bool(const wire::Envelope &)> &Matches,
        const std::vector<wire::WorkRef> &Live = {}, std::size_t From = 0) {
    const auto Deadline = Time.now() + std::chrono::seconds(20);
    std::size_t Next = From;
    TimePoint NextBeat = Time.now();
    while (Time.now() < Deadline) {
      if (Time.now() >= NextBeat) {
        heartbeat(Live);
        NextBeat = Time.now() + milliseconds(100);
      }
      std::unique_lock Lock(Mutex);
      Arrived.wait_for(Lock, milliseconds(20),
                       [&] { return Next < Received.size(); });
      while (Next < Received.size()) {
        wire::Envelope Message = Received[Next++];
        Lock.unlock(); // Matches may send
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
  std::unique_ptr<Bus> Messages;
  LinkId Link = 0;
};

} // namespace hyssoprail::agent_test

#endif // HYSSOPRAIL_AGENT_PROCESS_TEST_SUPPORT_HPP
