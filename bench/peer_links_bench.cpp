#include <atomic>
#include <ctime>
#include <string>
#include <thread>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "hyssoprail/connection/peer_links.hpp"

namespace {

using namespace hyssoprail;

constexpr milliseconds TickTime{10};
constexpr std::chrono::seconds MeasuredTime{4};

double processSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

/// Distinct loopback addresses of one listening socket.
std::string addressOf(unsigned Number, const std::string &Port) {
  return "tcp://127.0." + std::to_string(Number / 200) + "." +
         std::to_string(1 + Number % 200) + ":" + Port;
}

/// CPU of both sides of the given number of links that carry heartbeats only.
void idleLinks(benchmark::State &Run) {
  const auto Count = static_cast<unsigned>(Run.range(0));
  SteadyClock Time;
  for (auto Step : Run) {
    auto Echo = makeZmqBus({"echo", 2, "tcp://0.0.0.0:*"}, Time);
    const Status Listening =
        Echo->start([&](const BusSource &From, const wire::Envelope &Message) {
          wire::Envelope Ack;
          Ack.mutable_heartbeat_ack()->set_acked_seq(Message.seq());
          Echo->replyTo(From, std::move(Ack));
        });
    if (errorOf(Listening) != nullptr)
      return Run.SkipWithError("the echo side cannot listen");
    const std::string Bound = Echo->boundAddress();
    const std::string Port = Bound.substr(Bound.rfind(':') + 1);
    auto Opener = makeZmqBus({"opener", 1, ""}, Time);
    PeerLinks Links(*Opener, Time, {}, {});
    Opener->start([&](const BusSource &From, wire::Envelope Message) {
      Links.receive(From, std::move(Message));
    });
    const std::size_t HeapBefore = mallinfo2().uordblks;
    for (unsigned I = 0; I < Count; ++I)
      Links.ensure(addressOf(I, Port));
    const auto TickFor = [&](std::chrono::seconds Span) {
      const TimePoint End = Time.now() + Span;
      while (Time.now() < End) {
        Links.tick();
        std::this_thread::sleep_for(TickTime);
      }
    };
    TickFor(std::chrono::seconds(3));
    const double Before = processSeconds();
    const std::uint64_t SentBefore = Opener->bytesSent();
    TickFor(MeasuredTime);
    const double Cpu = processSeconds() - Before;
    const double Seconds = static_cast<double>(MeasuredTime.count());
    unsigned Reachable = 0;
    for (unsigned I = 0; I < Count; ++I)
      Reachable += Links.reachable(addressOf(I, Port)) ? 1 : 0;
    Run.counters["reachable"] = Reachable;
    Run.counters["core_percent_both_sides"] = Cpu / Seconds * 100;
    Run.counters["cpu_us_per_link_second"] = Cpu / Seconds / Count * 1e6;
    Run.counters["bytes_per_second_sent"] =
        static_cast<double>(Opener->bytesSent() - SentBefore) / Seconds;
    Run.counters["heap_bytes_per_link_both_sides"] =
        static_cast<double>(mallinfo2().uordblks - HeapBefore) / Count;
    Opener->stop();
    Echo->stop();
  }
}
BENCHMARK(idleLinks)
    ->Arg(20)
    ->Arg(200)
    ->Arg(1'000)
    ->Arg(2'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
