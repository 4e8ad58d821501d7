// Case: callers whose request ids have a byte outside of ASCII, as HTTP allows
// in a header; for some seconds more callers come than the engines can serve.
#include "engine.hpp"
#include "harness.hpp"
#include "testing/fake_store.hpp"

using namespace hyssoprail;
using namespace hyssoprail::review;

namespace {

constexpr unsigned EngineCount = 2;
constexpr unsigned GatewayCount = 3;
constexpr unsigned UsualCallers = 6; // of each gateway
constexpr unsigned BurstCallers = 6;

/// timeout_ms of the route, and the time after it in which an answer counts.
constexpr milliseconds RouteTimeout{3'000};
constexpr milliseconds AnswerSlack{500};

/// Callers leave a stream after a gap of four times the objective of 900 ms.
constexpr milliseconds CallerPatience{3'600};
constexpr milliseconds TroubleBegin{4'000};
constexpr milliseconds TroubleLength{8'000};
constexpr milliseconds RunLength{22'000};
constexpr milliseconds StopGrace{8'000};

/// A caller pauses so long after a request that was not served.
constexpr milliseconds Pause{400};

std::string configuration() {
  return nlohmann::json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "summary", "host": "h", "path_prefix": "/s/", "kind": "stream",
       "timeout_ms": 3000, "target_latency_ms": 900, "service": "assistant",
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

/// A caller that sends one stream after the other on a kept connection.
class Caller {
public:
  Caller(std::string Name, const Gateway &Entry, Record &Out)
      : Name(std::move(Name)), Entry(Entry), Out(Out) {}

  void run(Clock::time_point Until) {
    while (Clock::now() < Until) {
      if (!C.isOpen() && !C.open(Entry.callerPort(), CallerPatience)) {
        std::this_thread::sleep_for(Pause);
        continue;
      }
      if (!sendOne())
        std::this_thread::sleep_for(Pause);
    }
  }

  unsigned Count = 0, Served = 0, Refused = 0, Late = 0, Unanswered = 0;

private:
  /// Returns true if the request was served.
  bool sendOne() {
    // The second one has U+00FC in ISO 8859-1.
    const std::string Id =
        (std::getenv("PLAIN_IDS") ? "auftrag-" : "auftrag-f\xfcr-") + Name +
        "-" + std::to_string(++Count);
    Out.line("send     " + Id + " to " + Entry.name());
    const auto Begin = Clock::now();
    const bool Sent = C.send("POST /s/summary HTTP/1.1\r\nHost: h\r\n"
                             "X-Attempt-Id: " +
                             Id +
                             "\r\nAuthorization: Token k1\r\n"
                             "X-Model: m\r\nX-Token-Counts: 3000,100\r\n"
                             "X-Prompt-Prefix: 5c1e07a2:200," +
                             std::to_string(10'000'000 + Count) +
                             ":2800\r\nX-Deadline-Ms: 14000\r\n"
                             "Content-Length: 2\r\n\r\nhi");
    const auto Response = Sent ? C.readResponse() : std::nullopt;
    const auto Took =
        std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
    const unsigned Status = Response ? statusOf(*Response) : 0;
    Out.line((Response    ? "answer   " + Id + " " + std::to_string(Status)
              : C.ended() ? "closed   " + Id
                          : "no answer to " + Id) +
             " after " + std::to_string(Took.count()) + " ms");
    Served += Status == 200 ? 1 : 0;
    Refused += Status == 503 ? 1 : 0;
    Late += Took >= RouteTimeout ? 1 : 0;
    Unanswered += Took >= RouteTimeout + AnswerSlack ? 1 : 0;
    if (!Response || Response->find("Connection: close") != std::string::npos)
      C.close();
    return Status == 200;
  }

  const std::string Name;
  const Gateway &Entry;
  Record &Out;
  Connection C;
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
  std::vector<std::unique_ptr<Gateway>> Entries;
  for (unsigned I = 1; I <= GatewayCount; ++I) {
    Entries.push_back(std::make_unique<Gateway>(
        Program, Directory, "front-" + std::to_string(I), Store.authority()));
    Entries.back()->start();
  }
  for (const auto &Entry : Entries)
    if (!Entry->waitReady(milliseconds(10'000)))
      return Verdict::CouldNotRun;
  const auto Begin = Clock::now();
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::thread> Threads;
  const auto add = [&](const std::string &Kind, unsigned Number,
                       Clock::time_point Until) {
    for (const auto &Entry : Entries)
      for (unsigned I = 0; I < Number; ++I) {
        Callers.push_back(std::make_unique<Caller>(
            Kind + "-" + Entry->name() + "-" + std::to_string(I), *Entry, Out));
        Threads.emplace_back(
            [Self = Callers.back().get(), Until] { Self->run(Until); });
      }
  };
  add("usual", UsualCallers, Begin + RunLength);
  if (withTrouble()) {
    std::this_thread::sleep_until(Begin + TroubleBegin);
    Out.line("trouble  twice as many callers");
    add("burst", BurstCallers, Begin + TroubleBegin + TroubleLength);
  }
  for (std::thread &T : Threads)
    T.join();
  unsigned Sent = 0, Served = 0, Refused = 0, Late = 0, Unanswered = 0;
  for (const auto &C : Callers) {
    Sent += C->Count;
    Served += C->Served;
    Refused += C->Refused;
    Late += C->Late;
    Unanswered += C->Unanswered;
  }
  // Nothing is open any more: each process has to end within its grace.
  for (const auto &Entry : Entries)
    Entry->signal(SIGTERM);
  const auto StopAt = Clock::now();
  std::vector<std::optional<milliseconds>> EndedAfter(Entries.size());
  while (Clock::now() - StopAt < StopGrace + milliseconds(1'000)) {
    for (std::size_t I = 0; I < Entries.size(); ++I)
      if (!EndedAfter[I] && Entries[I]->exitStatus())
        EndedAfter[I] =
            std::chrono::duration_cast<milliseconds>(Clock::now() - StopAt);
    std::this_thread::sleep_for(milliseconds(20));
  }
  for (std::size_t I = 0; I < Entries.size(); ++I)
    Out.line("stop     " + Entries[I]->name() +
             (EndedAfter[I] ? " ended after " +
                                  std::to_string(EndedAfter[I]->count()) + " ms"
                            : " still runs 1 s after its grace"));
  Out.line("sent " + std::to_string(Sent) + ", served " +
           std::to_string(Served) + ", refused " + std::to_string(Refused) +
           ", unanswered at the timeout " + std::to_string(Late) +
           ", and half a second later " + std::to_string(Unanswered));
  return Unanswered * 2 > Late ? Verdict::Broken : Verdict::Held;
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
