#include <benchmark/benchmark.h>

#include "hyssoprail/process/scheduler.hpp"

namespace hyssoprail {
namespace {

ConfigPtr site(int Endpoints) {
  ConfigBuilder Builder{ConfigState()};
  std::uint64_t Version = 0;
  wire::Object Zone;
  Zone.set_kind(wire::OBJECT_KIND_ZONE);
  Zone.set_name("a");
  Zone.mutable_zone()->set_name("a");
  Builder.put(Zone, ++Version);
  for (int I = 0; I < Endpoints; ++I) {
    const std::string Name = "e" + std::to_string(I);
    wire::Object Vm;
    Vm.set_kind(wire::OBJECT_KIND_VM);
    Vm.set_name("vm-" + Name);
    Vm.mutable_vm()->set_name(Vm.name());
    Vm.mutable_vm()->set_zone("a");
    Builder.put(Vm, ++Version);
    wire::Object O;
    O.set_kind(wire::OBJECT_KIND_ENDPOINT);
    O.set_name(Name);
    O.mutable_endpoint()->set_name(Name);
    O.mutable_endpoint()->set_pool("pool");
    O.mutable_endpoint()->set_vm(Vm.name());
    O.mutable_endpoint()->set_role(I % 2 == 0 ? wire::ENDPOINT_ROLE_PREFILL
                                              : wire::ENDPOINT_ROLE_DECODE);
    Builder.put(O, ++Version);
  }
  return Builder.publish();
}

/// One decision: submit, place and complete a request while every account has
/// one request waiting.
void decide(benchmark::State &State) {
  const int Endpoints = static_cast<int>(State.range(0));
  const int Accounts = static_cast<int>(State.range(1));
  ManualClock Time;
  Timeline Events(16, Time);
  Invariants Checks(Events, true);
  SchedulerOptions Options;
  Options.EntryName = "entry-0";
  Options.Zone = "a";
  Options.MaxWait = std::chrono::hours(1);
  Options.Scheduling = valueOf(makeSchedulingStrategy("early"));
  Options.Placement = valueOf(makePlacementStrategy("two_choices"));
  Scheduler Requests(Options, Checks, 1);
  Requests.configure(site(Endpoints), Time.now());
  const auto Report = [&](std::uint32_t Slots) {
    wire::LoadReport Load;
    Load.set_slots(Slots);
    Load.set_pieces(1'000'000);
    Load.set_prefill_us_per_token(50);
    for (int I = 0; I < Endpoints; ++I)
      Requests.updateLoad("e" + std::to_string(I), Load, false, Time.now());
  };
  Report(0);
  std::uint64_t Serial = 0;
  const auto Submit = [&](const std::string &Account) {
    ScheduleRequest R;
    R.RequestId = "r" + std::to_string(++Serial);
    R.Account = Account;
    R.Pool = "pool";
    R.PromptTokens = 100;
    R.MaxTokens = 50;
    R.Weight = 1000;
    Requests.submit(std::move(R), Time.now());
  };
  std::map<std::string, std::string> AccountOf;
  for (int I = 0; I < Accounts; ++I) {
    Submit("account-" + std::to_string(I));
    AccountOf["r" + std::to_string(Serial)] = "account-" + std::to_string(I);
  }
  // One free slot at every decode endpoint while this many wait.
  Report(1);
  std::size_t Decisions = 0;
  for (auto _ : State) {
    for (const ScheduleDecision &D : Requests.poll(Time.now())) {
      const auto *P = std::get_if<SchedulePlacement>(&D);
      if (P == nullptr)
        continue;
      ++Decisions;
      Requests.completed(P->RequestId, 50);
      const auto Node = AccountOf.extract(P->RequestId);
      Submit(Node.mapped());
      AccountOf["r" + std::to_string(Serial)] = Node.mapped();
    }
  }
  State.counters["us_per_decision"] = benchmark::Counter(
      static_cast<double>(Decisions) / 1e6,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(decide)
    ->ArgNames({"endpoints", "accounts"})
    ->ArgsProduct({{10, 100, 1000}, {5, 500, 30000}})
    ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace hyssoprail

BENCHMARK_MAIN();
