// Case: callers that upload long documents, within the limits of the
// configuration, become twice as many for some seconds.
#include "engine.hpp"
#include "harness.hpp"
#include "testing/fake_store.hpp"

using namespace hyssoprail;
using namespace hyssoprail::review;

namespace {

/// limits.memory_mb of the front VMs of the site.
constexpr std::size_t MemoryLimitKb = 110UL * 1024;

/// max_body_bytes of the configuration, and the size of the documents.
constexpr std::size_t MaxBodyBytes = 4'194'304;
constexpr std::size_t DocumentBytes = 4'000'000;

constexpr unsigned EngineCount = 3;

constexpr unsigned UsualCallers = 8;
constexpr unsigned BurstCallers = 8; // with them twice the usual ones
constexpr milliseconds WarmUp{6'000};
constexpr milliseconds BurstLength{5'000};
constexpr milliseconds AfterBurst{6'000};
constexpr milliseconds PollInterval{10};
constexpr milliseconds RestartDelay{500};
constexpr milliseconds PauseAfterFailure{1'000};

/// More than so many requests that are passed on and lose their connection
/// break the rule.
constexpr std::size_t AllowedLosses = 3;

std::string configuration() {
  return nlohmann::json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "summary", "host": "h", "path_prefix": "/s/", "kind": "stream",
       "timeout_ms": 14000, "target_latency_ms": 900, "service": "assistant",
       "max_attempts": 2, "resumable": true, "gap_aim_ms": 300, "priority": 1}],
    "services": [
      {"name": "assistant", "cold_per_s": 0,
       "engine": {"slots": 64, "kv_tokens": 39418, "stride": 16,
                  "handle_retention_s": 0.5}}],
    "tenants": [{"name": "shops", "api_keys": ["k1"], "rate_per_s": 1000000,
                 "burst": 1000000, "plain_tokens": 200}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})")
      .dump();
}

/// A caller that keeps its connection and sends one document after the other.
class Caller {
public:
  Caller(std::string Name, const Gateway &Entry, Seen &Found, Record &Out)
      : Name(std::move(Name)), Entry(Entry), Found(Found), Out(Out) {}

  void run(Clock::time_point Until) {
    while (Clock::now() < Until) {
      if (!C.isOpen() && !C.open(Entry.callerPort(), milliseconds(14'000))) {
        std::this_thread::sleep_for(milliseconds(200));
        continue;
      }
      sendOne();
    }
  }

  std::size_t answered() const { return Answered; }
  std::size_t refused() const { return Refused; }
  /// Passed on to a sound worker, on a kept connection that was then closed
  /// without a whole answer.
  const std::vector<std::string> &lost() const { return Lost; }

private:
  void sendOne() {
    const std::string Id = Name + "-" + std::to_string(++Count);
    const bool Kept = Served;
    Out.line("send     " + Id + " to " + Entry.name() +
             (Kept ? " on a kept connection" : " on a new connection"));
    const bool Sent = C.send("POST /s/summary HTTP/1.1\r\nHost: h\r\n"
                             "X-Attempt-Id: " +
                             Id +
                             "\r\nAuthorization: Token k1\r\n"
                             "X-Model: m\r\nX-Token-Counts: 3000,100\r\n"
                             "X-Prompt-Prefix: 5c1e07a2:200," +
                             std::to_string(10'000'000 + Count) +
                             ":2800\r\nX-Deadline-Ms: 14000\r\n"
                             "Content-Length: " +
                             std::to_string(DocumentBytes) + "\r\n\r\n") &&
                      C.send(document());
    const auto Response = Sent ? C.readResponse() : std::nullopt;
    if (Response) {
      const unsigned Status = statusOf(*Response);
      Out.line("answer   " + Id + " " + std::to_string(Status));
      ++(Status == 200 ? Answered : Refused);
      Served = true;
      if (Response->find("Connection: close") != std::string::npos)
        close();
      return;
    }
    const bool PassedOn = Found.hasArrived(Id);
    Out.line("no whole answer " + Id + ", connection " +
             (C.ended() ? "closed" : "open") +
             (PassedOn ? ", passed on to a sound worker" : ", not passed on"));
    if (Kept && PassedOn)
      Lost.push_back(Id);
    close();
    std::this_thread::sleep_for(PauseAfterFailure);
  }

  void close() {
    C.close();
    Served = false;
  }

  static const std::string &document() {
    static const std::string Text(DocumentBytes, 'x');
    return Text;
  }

  const std::string Name;
  const Gateway &Entry;
  Seen &Found;
  Record &Out;
  Connection C;
  bool Served = false;
  unsigned Count = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::vector<std::string> Lost;
};

/// What the platform does: a process that exceeds its memory is killed, and
/// one that has ended is started again after a short delay.
class Platform {
public:
  Platform(Gateway &Entry, Record &Out) : Entry(Entry), Out(Out) {
    Watcher = std::thread([this] { watch(); });
  }
  ~Platform() {
    Stopping = true;
    Watcher.join();
  }

  std::size_t peakKb() const { return PeakKb; }
  unsigned kills() const { return Kills; }
  unsigned ownExits() const { return OwnExits; }

private:
  void watch() {
    while (!Stopping) {
      std::this_thread::sleep_for(PollInterval);
      // Anonymous memory only: pages of the program's files do not count.
      const std::size_t Kb = Entry.memoryKb("RssAnon:");
      PeakKb = std::max<std::size_t>(PeakKb, Kb);
      bool Ended = Entry.exitStatus().has_value();
      OwnExits += Ended ? 1 : 0;
      if (!Ended && Kb > MemoryLimitKb) {
        Out.line("platform " + Entry.name() + " has " + std::to_string(Kb) +
                 " KB of " + std::to_string(MemoryLimitKb) + ": killed");
        Entry.kill();
        ++Kills;
        Ended = true;
      }
      if (!Ended)
        continue;
      std::this_thread::sleep_for(RestartDelay);
      Entry.start();
      Out.line("platform " + Entry.name() + " started again");
    }
  }

  Gateway &Entry;
  Record &Out;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> PeakKb{0};
  std::atomic<unsigned> Kills{0};
  std::atomic<unsigned> OwnExits{0};
  std::thread Watcher;
};

Verdict run(const std::string &Program, const std::string &Directory,
            Record &Out) {
  platform::testing::FakeStore Store;
  Store.put("keyed.op", "config", configuration());
  Seen Found;
  std::vector<std::unique_ptr<Engine>> Engines;
  for (unsigned I = 1; I <= EngineCount; ++I) {
    Engines.push_back(
        std::make_unique<Engine>("i-engine-" + std::to_string(I), Found, Out));
    Store.put("keyed.servers", Engines.back()->id(),
              Engines.back()->registration());
  }
  Gateway Entry(Program, Directory, "front-1", Store.authority());
  Entry.start();
  if (!Entry.waitReady(milliseconds(10'000))) {
    Out.line("the gateway did not become ready");
    return Verdict::CouldNotRun;
  }
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::thread> Threads;
  std::size_t Kills = 0;
  {
    Platform Watched(Entry, Out);
    const auto Begin = Clock::now();
    const auto End = Begin + WarmUp + BurstLength + AfterBurst;
    const auto add = [&](const std::string &Name, Clock::time_point Until) {
      Callers.push_back(std::make_unique<Caller>(Name, Entry, Found, Out));
      Threads.emplace_back(
          [Self = Callers.back().get(), Until] { Self->run(Until); });
    };
    for (unsigned I = 0; I < UsualCallers; ++I) {
      add("usual" + std::to_string(I), End);
      std::this_thread::sleep_for(milliseconds(140));
    }
    std::this_thread::sleep_until(Begin + WarmUp);
    Out.line("peak so far: " + std::to_string(Watched.peakKb()) + " KB");
    if (withTrouble()) {
      Out.line("trouble  twice as many callers");
      for (unsigned I = 0; I < BurstCallers; ++I)
        add("burst" + std::to_string(I), Begin + WarmUp + BurstLength);
    }
    for (std::thread &T : Threads)
      T.join();
    Kills = Watched.kills();
    Out.line("peak: " + std::to_string(Watched.peakKb()) + " KB, killed " +
             std::to_string(Kills) + " times, ended by itself " +
             std::to_string(Watched.ownExits()) + " times");
  }
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::size_t Lost = 0;
  for (const auto &C : Callers) {
    Answered += C->answered();
    Refused += C->refused();
    Lost += C->lost().size();
  }
  Out.line("answered " + std::to_string(Answered) + ", refused " +
           std::to_string(Refused) + ", lost " + std::to_string(Lost) +
           " (allowed " + std::to_string(AllowedLosses) + ")");
  return Lost > AllowedLosses ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return static_cast<int>(Verdict::CouldNotRun);
  std::signal(SIGPIPE, SIG_IGN);
  Record Out(Argv[3]);
  const Verdict Result = run(Argv[1], Argv[2], Out);
  Out.line("verdict  " + std::to_string(static_cast<int>(Result)));
  return static_cast<int>(Result);
}
