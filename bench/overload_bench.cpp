#include <benchmark/benchmark.h>

#include <string>

#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::routing {
namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

std::shared_ptr<FleetConfig> config() {
  auto C = std::make_shared<FleetConfig>();
  ServicePolicy Service;
  Service.Name = "assistant";
  Service.Engine = EngineLimits{64, 10'000, 16, milliseconds(500)};
  C->Services[Service.Name] = Service;
  return C;
}

StreamRequest request(unsigned Number) {
  StreamRequest R;
  R.Id = std::to_string(Number);
  R.Service = "assistant";
  R.Account = "account-" + std::to_string(Number % 50);
  R.Priority = static_cast<int>(Number % 3);
  R.PromptTokens = 500 + Number * 7919 % 3'000;
  R.OutputTokens = 400;
  R.Arrival = Start - milliseconds(Number % 600);
  R.ObjectiveDeadline = R.Arrival + milliseconds(900);
  R.GiveUpAt = Start + std::chrono::hours(1); // nobody is refused
  R.CallerBudget = std::chrono::hours(1);
  return R;
}

/// One decision while all engines are full but one, on which one generation
/// ends and is placed again.
void decide(benchmark::State &State) {
  const auto Waiting = static_cast<unsigned>(State.range(0));
  EndpointTable Table;
  StreamScheduler Scheduler({.Overload = OverloadMode::LeastCost}, Table);
  Scheduler.configure(config());
  for (int I = 0; I < 100; ++I) {
    EndpointRecord E;
    E.Id = "d" + std::to_string(I);
    E.Service = "assistant";
    E.Address = "10.0.0.1:" + std::to_string(I + 1);
    E.Slots = 64;
    E.Stage = EngineStage::Decode;
    Table.apply(E);
  }
  unsigned Number = 0;
  std::vector<std::string> Running;
  const auto Poll = [&] {
    for (const StreamDecision &D : Scheduler.poll(Start))
      if (const auto *P = std::get_if<StreamPlacement>(&D))
        Running.push_back(P->Id);
  };
  while (Scheduler.queued() < Waiting) {
    while (Scheduler.queued() < Waiting)
      Scheduler.submit(request(++Number));
    Poll();
  }
  for (auto _ : State) {
    Scheduler.release(Running.back(), Start);
    Running.pop_back();
    Scheduler.submit(request(++Number));
    Poll();
  }
}

BENCHMARK(decide)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace hyssoprail::routing

BENCHMARK_MAIN();
