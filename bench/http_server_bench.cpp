#include <atomic>
#include <ctime>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/testing/http_fixture.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace {

using namespace hyssoprail;
using testing::RawSocket;
using testing::waitUntil;

/// Request of about the size that the entry receives.
const std::string Request =
    "POST /v1/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
    "Authorization: Bearer 0123456789abcdef\r\n"
    "Content-Type: application/json\r\nContent-Length: 256\r\n\r\n" +
    std::string(256, 'p');

constexpr std::string_view AnswerEnd = R"({"done":true})";

double seconds(clockid_t Id) {
  timespec Time{};
  clock_gettime(Id, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

double perStream(std::size_t Bytes, std::size_t Streams) {
  return static_cast<double>(Bytes) / static_cast<double>(Streams);
}

/// Server with one thread that answers at once, or keeps the exchanges of
/// streams.
class BenchServer {
public:
  BenchServer()
      : Server(makeHttpServer({}, [this](const auto &E) {
          if (E->request().Method == "POST")
            return E->respond(jsonResponse(200, std::string(AnswerEnd)));
          E->begin(200, {{"Content-Type", "text/event-stream"}});
          E->write("data: 0\n\n");
          std::lock_guard Lock(Mutex);
          Streams.push_back(E);
        })) {
    if (!succeeded(Server->start()))
      std::abort();
  }

  std::size_t streamCount() {
    std::lock_guard Lock(Mutex);
    return Streams.size();
  }

  std::mutex Mutex;
  std::vector<std::shared_ptr<HttpExchange>> Streams;
  std::unique_ptr<HttpServer> Server;
};

/// CPU time of the server for one request on kept connections.
void requestCost(benchmark::State &Run) {
  constexpr unsigned Callers = 4;
  const auto PerCaller = static_cast<unsigned>(Run.range(0));
  BenchServer S;
  for (auto Step : Run) {
    std::atomic<double> CallerSeconds{0};
    const double Before = seconds(CLOCK_PROCESS_CPUTIME_ID);
    const double Began = seconds(CLOCK_MONOTONIC);
    std::vector<std::thread> Threads;
    for (unsigned T = 0; T < Callers; ++T)
      Threads.emplace_back([&] {
        RawSocket Caller(S.Server->port());
        for (unsigned I = 0; I < PerCaller; ++I) {
          Caller.send(Request);
          Caller.readUntil(AnswerEnd);
        }
        CallerSeconds += seconds(CLOCK_THREAD_CPUTIME_ID);
      });
    for (std::thread &T : Threads)
      T.join();
    const double Elapsed = seconds(CLOCK_MONOTONIC) - Began;
    const double Cpu =
        seconds(CLOCK_PROCESS_CPUTIME_ID) - Before - CallerSeconds;
    const double Count = Callers * PerCaller;
    Run.counters["cpu_us_per_request"] = Cpu / Count * 1e6;
    Run.counters["requests_per_core_second"] = Count / Cpu;
    Run.counters["requests_per_second"] = Count / Elapsed;
  }
}
BENCHMARK(requestCost)
    ->Arg(20'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Heap that one open stream takes, and CPU time of the server per token.
void openStreams(benchmark::State &Run) {
  const auto Count = static_cast<std::size_t>(Run.range(0));
  constexpr int Tokens = 20;
  for (auto Step : Run) {
    BenchServer S;
    std::vector<std::unique_ptr<RawSocket>> Callers;
    Callers.reserve(Count);
    S.Streams.reserve(Count);
    const std::size_t Before = mallinfo2().uordblks;
    for (std::size_t I = 0; I < Count; ++I)
      Callers.push_back(std::make_unique<RawSocket>(S.Server->port()));
    const std::size_t WithCallers = mallinfo2().uordblks;
    for (auto &C : Callers) {
      C->send("GET /v1/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
              "Authorization: Bearer 0123456789abcdef\r\n\r\n");
    }
    waitUntil([&] { return S.streamCount() == Count; });
    waitUntil([&] {
      for (const auto &E : S.Streams)
        if (E->unsentBytes() > 0)
          return false;
      return true;
    });
    // The callers' side is one socket and one event loop each; it is measured
    // alone by opening the same number of unused ones.
    std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
    Contexts.reserve(Count);
    const std::size_t Open = mallinfo2().uordblks;
    for (std::size_t I = 0; I < Count; ++I)
      Contexts.push_back(std::make_unique<boost::asio::io_context>());
    const double PerContext = perStream(mallinfo2().uordblks - Open, Count);
    Run.counters["idle_connection_bytes"] =
        perStream(WithCallers - Before, Count) - PerContext;
    Run.counters["open_stream_bytes"] =
        perStream(Open - Before, Count) - PerContext;
    Contexts.clear();
    const double CpuBefore = seconds(CLOCK_PROCESS_CPUTIME_ID);
    const double OwnBefore = seconds(CLOCK_THREAD_CPUTIME_ID);
    for (int T = 0; T < Tokens; ++T) {
      for (const auto &E : S.Streams)
        E->write("data: {\"token\":\"abcdefgh\"}\n\n");
      waitUntil([&] {
        for (const auto &E : S.Streams)
          if (E->unsentBytes() > 0)
            return false;
        return true;
      });
    }
    const double Cpu = (seconds(CLOCK_PROCESS_CPUTIME_ID) - CpuBefore) -
                       (seconds(CLOCK_THREAD_CPUTIME_ID) - OwnBefore);
    Run.counters["server_cpu_us_per_token"] =
        Cpu / Tokens / static_cast<double>(Count) * 1e6;
  }
}
BENCHMARK(openStreams)
    ->Arg(2'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
