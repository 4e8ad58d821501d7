// Case: the workers of a plain service are replaced one after the other, again
// and again.
#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>

#include "harness.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "testing/fake_store.hpp"

using namespace hyssoprail;
using namespace hyssoprail::review;

namespace {

constexpr unsigned WorkerCount = 3;
constexpr unsigned WorkerSlots = 6;
constexpr milliseconds WorkTime{30};

/// Callers send one order each, together, at this interval.
constexpr unsigned CallerCount = 72;
constexpr milliseconds RoundInterval{400};

/// A release replaces two workers, ReleaseGap apart at the least; a worker
/// serves on for DrainTime after it has reported that it drains.
constexpr milliseconds ReleaseGap{920};
constexpr unsigned ReplacedAtOnce = 2;
constexpr milliseconds DrainTime{2'300};
constexpr milliseconds WarmUp{3'000};
constexpr milliseconds ReleaseTime{86'000};

/// stable_window_ms, and as long again.
constexpr milliseconds CalmTime{6'000};

constexpr unsigned NewCallers = 12;
constexpr milliseconds RouteTimeout{1'000};
constexpr milliseconds AnswerSlack{500};
constexpr milliseconds CallerDeadline{3'000};

std::string configuration() {
  return nlohmann::json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "order", "host": "h", "path_prefix": "/o/", "kind": "unsafe",
       "timeout_ms": 1000, "target_latency_ms": 150, "service": "orders",
       "max_attempts": 1, "priority": 2}],
    "services": [{"name": "orders", "cold_per_s": 0}],
    "tenants": [{"name": "shops", "api_keys": ["k1"], "rate_per_s": 1000000,
                 "burst": 1000000, "plain_tokens": 200}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})")
      .dump();
}

/// A sound worker of a plain service: WorkerSlots requests at once, the others
/// wait.
class Worker {
public:
  Worker(std::string Id, Record &Out)
      : Id(std::move(Id)), Out(Out),
        Server(makeHttpServer({}, [this](auto E) { serve(E); })) {
    Server->start();
    for (unsigned I = 0; I < WorkerSlots; ++I)
      Slots.emplace_back([this] { work(); });
  }
  ~Worker() {
    {
      std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Changed.notify_all();
    for (std::thread &T : Slots)
      T.join();
    Server->stop();
  }

  std::string registration(const std::string &State, unsigned Sequence) const {
    return nlohmann::json{
        {"service", "orders"},
        {"address", "127.0.0.1:" + std::to_string(Server->port())},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", WorkerSlots},
        {"state", State},
        {"sequence", Sequence},
        {"cold_remaining_ms", 0}}
        .dump();
  }
  const std::string &id() const { return Id; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void serve(const Exchange &E) {
    std::lock_guard Lock(Mutex);
    Waiting.push_back(E);
    Changed.notify_one();
  }

  void work() {
    for (;;) {
      Exchange E;
      {
        std::unique_lock Lock(Mutex);
        Changed.wait(Lock, [&] { return Stopping || !Waiting.empty(); });
        if (Waiting.empty())
          return;
        E = Waiting.front();
        Waiting.pop_front();
      }
      run(*E);
    }
  }

  void run(HttpExchange &E) {
    const HttpHeaders &H = E.request().Headers;
    const std::string Request(headerValue(H, "X-Attempt-Id"));
    if (headerValue(H, "X-Expect-Instance") != Id)
      return E.respond({421, {{"X-Attempt-Id", Request}}, "{}"});
    std::this_thread::sleep_for(WorkTime);
    Out.line("run      " + Request + " at " + Id);
    E.respond({200,
               {{"X-Attempt-Id", Request},
                {"X-Response-Signature", "signed-by-" + Id}},
               "done"});
  }

  const std::string Id;
  Record &Out;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Exchange> Waiting;
  bool Stopping = false;
  std::vector<std::thread> Slots;
  std::unique_ptr<HttpServer> Server;
};

/// The workers of the service, and those that drain.
class Service {
public:
  Service(platform::testing::FakeStore &Store, Record &Out)
      : Store(Store), Out(Out) {
    for (unsigned I = 0; I < WorkerCount; ++I)
      add();
  }

  /// The new worker starts first, then the oldest one drains.
  void replaceOne() {
    add();
    Worker &Old = *Ready.front();
    Store.put("keyed.servers", Old.id(), Old.registration("draining", 2));
    Draining.emplace_back(Clock::now() + DrainTime, std::move(Ready.front()));
    Ready.pop_front();
    ++Replaced;
  }

  /// Workers that have drained leave.
  void endDrained() {
    while (!Draining.empty() && Draining.front().first < Clock::now()) {
      Store.put("keyed.servers", Draining.front().second->id(), std::nullopt);
      Draining.pop_front();
    }
  }

  unsigned replaced() const { return Replaced; }

private:
  void add() {
    Ready.push_back(
        std::make_unique<Worker>("i-orders-" + std::to_string(++Started), Out));
    Store.put("keyed.servers", Ready.back()->id(),
              Ready.back()->registration("ready", 1));
  }

  platform::testing::FakeStore &Store;
  Record &Out;
  unsigned Started = 0;
  unsigned Replaced = 0;
  std::deque<std::unique_ptr<Worker>> Ready;
  std::deque<std::pair<Clock::time_point, std::unique_ptr<Worker>>> Draining;
};

struct Outcome {
  bool Connected = false;
  unsigned Status = 0;
  milliseconds Took{0};
};

Outcome sendOrder(Connection &C, const std::string &Id, Record &Out) {
  Outcome Result;
  Result.Connected = C.isOpen();
  const auto Begin = Clock::now();
  const bool Sent =
      C.isOpen() &&
      C.send("POST /o/order HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + Id +
             "\r\nAuthorization: Token k1\r\n"
             "X-Deadline-Ms: 3000\r\n"
             "Content-Length: 2\r\n\r\nhi");
  const auto Response = Sent ? C.readResponse() : std::nullopt;
  Result.Took = std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
  Result.Status = Response ? statusOf(*Response) : 0;
  Out.line("order    " + Id + (Result.Connected ? "" : " (not connected)") +
           ": status " + std::to_string(Result.Status) + " after " +
           std::to_string(Result.Took.count()) + " ms");
  if (!Response || Response->find("Connection: close") != std::string::npos)
    C.close();
  return Result;
}

Verdict run(const std::string &Program, const std::string &Directory,
            Record &Out) {
  platform::testing::FakeStore Store;
  Store.put("keyed.op", "config", configuration());
  Service Orders(Store, Out);
  Gateway Entry(Program, Directory, "front-1", Store.authority());
  Entry.start();
  if (!Entry.waitReady(milliseconds(10'000)))
    return Verdict::CouldNotRun;
  const auto Begin = Clock::now();
  const auto ReleaseEnd = Begin + WarmUp + ReleaseTime;
  const auto CallersEnd =
      ReleaseEnd + DrainTime + CalmTime + CallerDeadline + RoundInterval;
  std::atomic<unsigned> Served{0};
  std::atomic<unsigned> NotServed{0};
  std::vector<std::thread> Callers;
  for (unsigned I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&, I] {
      Connection C;
      unsigned Count = 0;
      for (auto At = Begin; At < CallersEnd; At += RoundInterval) {
        std::this_thread::sleep_until(At);
        if (!C.isOpen())
          C.open(Entry.callerPort(), CallerDeadline);
        const Outcome O = sendOrder(
            C, "c" + std::to_string(I) + "-" + std::to_string(++Count), Out);
        ++(O.Status == 200 ? Served : NotServed);
      }
    });
  std::this_thread::sleep_until(Begin + WarmUp);
  Out.line("descriptors " + std::to_string(Entry.descriptors()));
  for (auto At = Begin + WarmUp; At < ReleaseEnd; At += ReleaseGap) {
    std::this_thread::sleep_until(At);
    if (withTrouble())
      for (unsigned I = 0; I < ReplacedAtOnce; ++I)
        Orders.replaceOne();
    Orders.endDrained();
    Out.line("replaced " + std::to_string(Orders.replaced()) +
             " workers, descriptors " + std::to_string(Entry.descriptors()));
  }
  Out.line("releases end; served " + std::to_string(Served) + ", not served " +
           std::to_string(NotServed));
  std::this_thread::sleep_for(DrainTime);
  Orders.endDrained();
  std::this_thread::sleep_for(CalmTime);
  Out.line("calm, descriptors " + std::to_string(Entry.descriptors()) +
           ", ready: " + (Entry.ready() ? "yes" : "no"));
  unsigned Late = 0;
  unsigned Unanswered = 0;
  unsigned ServedNow = 0;
  std::mutex Mutex;
  std::vector<std::thread> Later;
  for (unsigned I = 0; I < NewCallers; ++I)
    Later.emplace_back([&, I] {
      Connection C;
      C.open(Entry.callerPort(), CallerDeadline);
      const Outcome O = sendOrder(C, "new-" + std::to_string(I), Out);
      std::lock_guard Lock(Mutex);
      ServedNow += O.Status == 200 ? 1 : 0;
      Late += O.Connected && O.Took >= RouteTimeout ? 1 : 0;
      Unanswered += O.Connected && O.Took >= RouteTimeout + AnswerSlack ? 1 : 0;
    });
  for (std::thread &T : Later)
    T.join();
  for (std::thread &T : Callers)
    T.join();
  Out.line("new callers: served " + std::to_string(ServedNow) + " of " +
           std::to_string(NewCallers) + ", unanswered at the timeout " +
           std::to_string(Late) + ", and half a second later " +
           std::to_string(Unanswered));
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
