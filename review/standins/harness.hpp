#ifndef HYSSOPRAIL_REVIEW_HARNESS_HPP
#define HYSSOPRAIL_REVIEW_HARNESS_HPP

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssoprail::review {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// limits.file_descriptors of the front VMs of the site.
constexpr rlim_t DescriptorLimit = 4'100;

/// False if the case runs without its disruption.
inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

/// Writes one line for each thing that was sent, answered or run.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path), Start(Clock::now()) {}

  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - Start).count();
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f  ", Seconds);
    Out << Time << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  Clock::time_point Start;
};

/// A TCP and UDP port that was free a moment ago.
inline std::uint16_t freePort() {
  for (;;) {
    const int Tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int Udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    bool Free = ::bind(Tcp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    ::getsockname(Tcp, reinterpret_cast<sockaddr *>(&Address), &Size);
    Free =
        Free && ::bind(Udp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    ::close(Tcp);
    ::close(Udp);
    if (Free)
      return ntohs(Address.sin_port);
  }
}

/// A blocking loopback connection of a client.
class Connection {
public:
  Connection() = default;
  explicit Connection(std::uint16_t Port, milliseconds ReadLimit) {
    open(Port, ReadLimit);
  }
  ~Connection() { close(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool open(std::uint16_t Port, milliseconds ReadLimit) {
    close();
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const timeval Limit{ReadLimit.count() / 1000,
                        (ReadLimit.count() % 1000) * 1000};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) == 0)
      return true;
    close();
    return false;
  }

  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
    Buffer.clear();
  }

  bool isOpen() const { return Socket >= 0; }

  bool send(std::string_view Data) {
    while (!Data.empty()) {
      const ssize_t Size =
          ::send(Socket, Data.data(), Data.size(), MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Data.remove_prefix(static_cast<std::size_t>(Size));
    }
    return true;
  }

  /// Reads one whole response; nullopt if the connection ends, or nothing
  /// arrives in time, before its end.
  std::optional<std::string> readResponse() {
    const std::size_t HeadEnd = readUntil("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return std::nullopt;
    const std::string Head = Buffer.substr(0, HeadEnd);
    std::size_t End = std::string::npos;
    if (Head.find("Transfer-Encoding: chunked") != std::string::npos) {
      End = readUntil("\r\n0\r\n\r\n", HeadEnd - 2);
    } else {
      const std::size_t At = Head.find("Content-Length: ");
      const std::size_t Length =
          At == std::string::npos ? 0 : std::stoul(Head.substr(At + 16));
      while (Buffer.size() < HeadEnd + Length && readSome()) {
      }
      if (Buffer.size() >= HeadEnd + Length)
        End = HeadEnd + Length;
    }
    if (End == std::string::npos)
      return std::nullopt;
    std::string Response = Buffer.substr(0, End);
    Buffer.erase(0, End);
    return Response;
  }

  /// What has been read and belongs to no whole response.
  const std::string &unread() const { return Buffer; }

  /// True if the last read failed because the connection has ended.
  bool ended() const { return Ended; }

private:
  std::size_t readUntil(std::string_view Mark, std::size_t From = 0) {
    for (;;) {
      const std::size_t At = Buffer.find(Mark, From);
      if (At != std::string::npos)
        return At + Mark.size();
      if (!readSome())
        return std::string::npos;
    }
  }

  bool readSome() {
    char Data[65536];
    const ssize_t Size = ::recv(Socket, Data, sizeof Data, 0);
    Ended = Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    if (Size <= 0)
      return false;
    Buffer.append(Data, static_cast<std::size_t>(Size));
    return true;
  }

  int Socket = -1;
  std::string Buffer;
  bool Ended = false;
};

inline unsigned statusOf(const std::string &Response) {
  return Response.size() < 12
             ? 0
             : static_cast<unsigned>(std::stoul(Response.substr(9, 3)));
}

/// One gateway process, started with the command of the deploy file.
class Gateway {
public:
  Gateway(std::string Program, std::string Directory, std::string Name,
          const std::string &Store, std::string Zone = "z1")
      : Program(std::move(Program)), Directory(std::move(Directory)),
        Name(std::move(Name)) {
    CallerPort = freePort();
    ReadyPort = freePort();
    const auto Loopback = [](std::uint16_t Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    const nlohmann::json Settings{{"name", this->Name},
                                  {"zone", Zone},
                                  {"caller_address", Loopback(CallerPort)},
                                  {"ready_address", Loopback(ReadyPort)},
                                  {"peer_address", Loopback(freePort())},
                                  {"metrics_address", Loopback(freePort())},
                                  {"store", Store},
                                  {"cpu_share", 0.19},
                                  {"stop_grace_s", 8},
                                  {"retry_ratio", 0.2},
                                  {"retry_slack", 58},
                                  {"retry_window_s", 10},
                                  {"quota_overage", 0.1},
                                  {"quota_slack_tokens", 140000},
                                  {"cold_overage", 1.5},
                                  {"cold_slack", 5}};
    std::ofstream(settingsPath()) << Settings.dump(2);
  }
  ~Gateway() { kill(); }

  void start() {
    const std::string Settings = "--settings=" + settingsPath();
    const std::string Log = Directory + "/" + Name + ".log";
    Pid = ::fork();
    if (Pid != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit Descriptors{DescriptorLimit, DescriptorLimit};
    ::setrlimit(RLIMIT_NOFILE, &Descriptors);
    const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, STDOUT_FILENO);
    ::dup2(Out, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(Program.c_str(), Program.c_str(), Settings.c_str(), nullptr);
    ::_exit(127);
  }

  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }

  void kill() {
    signal(SIGKILL);
    if (Pid > 0)
      ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }

  /// Returns how the process ended, or nothing while it runs.
  std::optional<int> exitStatus() {
    int Status = 0;
    if (Pid > 0 && ::waitpid(Pid, &Status, WNOHANG) == Pid) {
      Pid = -1;
      return Status;
    }
    return std::nullopt;
  }

  bool ready() const {
    Connection C;
    if (!C.open(ReadyPort, milliseconds(500)) ||
        !C.send("GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n"))
      return false;
    const auto Response = C.readResponse();
    return Response && statusOf(*Response) == 200;
  }

  bool waitReady(milliseconds Limit) const {
    const auto End = Clock::now() + Limit;
    while (!ready()) {
      if (Clock::now() > End)
        return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
  }

  /// A field of /proc/PID/status in kilobytes; 0 if there is none.
  std::size_t memoryKb(std::string_view Field) const {
    std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
    for (std::string Line; std::getline(In, Line);)
      if (Line.starts_with(Field))
        return std::stoul(Line.substr(Field.size() + 1));
    return 0;
  }

  /// Descriptors that the process has open.
  std::size_t descriptors() const {
    std::error_code Code;
    std::size_t Count = 0;
    for ([[maybe_unused]] const auto &Item :
         std::filesystem::directory_iterator(
             "/proc/" + std::to_string(Pid) + "/fd", Code))
      ++Count;
    return Count;
  }

  std::uint16_t callerPort() const { return CallerPort; }
  const std::string &name() const { return Name; }

private:
  std::string settingsPath() const { return Directory + "/" + Name + ".json"; }

  std::string Program;
  std::string Directory;
  std::string Name;
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadyPort = 0;
  pid_t Pid = -1;
};

} // namespace hyssoprail::review

#endif // HYSSOPRAIL_REVIEW_HARNESS_HPP
