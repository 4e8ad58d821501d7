/// Cost of the limits of one entry that owns all 64 shards: time per debit with
/// its refund, time per tick, memory, and messages with a second entry. The
/// argument is the number of accounts.

#include <malloc.h>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "hyssoprail/process/limit_fleet_model.hpp"

namespace hyssoprail {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t Self = 1;

std::size_t heapBytes() { return mallinfo2().uordblks; }

AccountLimitsPtr makeAccounts(std::int64_t Count) {
  auto Accounts = std::make_shared<AccountLimits>();
  for (std::int64_t I = 0; I < Count; ++I)
    (*Accounts)[fmt::format("account-{:06}", I)] = {.Rate = 1e12,
                                                    .Burst = 1e12};
  return Accounts;
}

/// One entry that owns every shard and holds a lease.
struct Owner {
  explicit Owner(const AccountLimitsPtr &Accounts) {
    auto View = std::make_shared<LimitView>();
    View->Version = 2;
    View->Accounts = Accounts;
    View->Members = {{Self, "tcp://127.0.0.1:1", 1}};
    for (LimitShardOwner &O : View->Owners)
      O = {Self, 2};
    Service->viewApplied(Now, View, Actions);
    tick();
  }

  void tick() {
    Actions.clear();
    Service->tick(Now, Actions);
    for (const LimitAction &Action : LimitActions(Actions))
      if (const auto *Read = std::get_if<StartLogRead>(&Action))
        Service->readFinished(Now, Read->ReadId, 2, Actions);
  }

  TimePoint Now{seconds(1'000)};
  ManualClock Clock;
  Timeline Events{20'000, Clock};
  Invariants Checks{Events, true};
  Metrics Numbers;
  RandomSource Random{1};
  LimitActions Actions;
  std::unique_ptr<LimitService> Service =
      makeOwnerLimits({}, Self, {Events, Checks, Numbers, Random});
};

void debitAndRefund(benchmark::State &State) {
  const AccountLimitsPtr Accounts = makeAccounts(State.range(0));
  Owner O(Accounts);
  std::vector<std::string> Names;
  for (const auto &[Name, Limit] : *Accounts)
    Names.push_back(Name);
  std::uint64_t Count = 0;
  for (auto _ : State) {
    const std::string Id = fmt::format("{:032x}/1", ++Count);
    const std::string &Name = Names[Count * 7919 % Names.size()];
    O.Actions.clear();
    O.Service->debit(O.Now, {Id, Name, 1'000}, O.Actions);
    const auto &Answer = std::get<AnswerDebit>(O.Actions.front());
    if (Answer.Result != wire::DEBIT_RESULT_GRANTED)
      State.SkipWithError("a debit was refused");
    O.Service->refund(O.Now, {Id, Name, 500, Answer.Epoch}, O.Actions);
  }
}
BENCHMARK(debitAndRefund)->Arg(5)->Arg(500)->Arg(30'000);

void tick(benchmark::State &State) {
  Owner O(makeAccounts(State.range(0)));
  for (auto _ : State) {
    O.Now += milliseconds(20);
    O.tick();
  }
}
BENCHMARK(tick)->Arg(5)->Arg(500)->Arg(30'000);

void changeOfOneAccount(benchmark::State &State) {
  const AccountLimitsPtr Accounts = makeAccounts(State.range(0));
  Owner O(Accounts);
  auto View = std::make_shared<LimitView>();
  View->Members = {{Self, "tcp://127.0.0.1:1", 1}};
  for (LimitShardOwner &Of : View->Owners)
    Of = {Self, 2};
  std::uint64_t Version = 2;
  for (auto _ : State) {
    State.PauseTiming();
    auto Next = std::make_shared<LimitView>(*View);
    Next->Version = ++Version;
    auto Changed = std::make_shared<AccountLimits>(*Accounts);
    Changed->begin()->second.Rate += static_cast<double>(Version);
    Next->Accounts = Changed;
    State.ResumeTiming();
    O.Service->viewApplied(O.Now, Next, O.Actions);
  }
}
BENCHMARK(changeOfOneAccount)->Arg(5)->Arg(500)->Arg(30'000);

/// Bytes of the service with its accounts, and per open debit.
void memory(benchmark::State &State) {
  const AccountLimitsPtr Accounts = makeAccounts(State.range(0));
  for (auto _ : State) {
    const std::size_t Before = heapBytes();
    Owner O(Accounts);
    const std::size_t WithAccounts = heapBytes();
    constexpr std::uint64_t Debits = 20'000;
    for (std::uint64_t I = 0; I < Debits; ++I) {
      O.Actions.clear();
      O.Service->debit(
          O.Now, {fmt::format("{:032x}/1", I), "account-000000", 1}, O.Actions);
    }
    State.counters["kB"] = static_cast<double>(WithAccounts - Before) / 1'000;
    // The time line, which fills up meanwhile, is counted too.
    State.counters["B_per_open_debit"] =
        static_cast<double>(heapBytes() - WithAccounts) / Debits;
  }
}
BENCHMARK(memory)->Arg(5)->Arg(500)->Arg(30'000)->Iterations(1);

/// Messages between an owner and another entry that asks for 100 debits a
/// second, each with a refund; the argument is not used.
void messagesAt100Debits(benchmark::State &State) {
  for (auto _ : State) {
    LimitFleetModel Fleet({});
    Fleet.setAccount("account-000000", AccountLimit{.Rate = 1e9, .Burst = 1e9});
    Fleet.addEntry();
    Fleet.addEntry();
    Fleet.runUntil(Fleet.now() + seconds(5));
    const std::size_t Owner = Fleet.ownerEntry("account-000000");
    const std::uint64_t Bytes = Fleet.messageBytes(1 - Owner);
    const std::uint64_t Messages = Fleet.messages(1 - Owner);
    for (int I = 0; I < 1'000; ++I) {
      Fleet.request(1 - Owner, "account-000000", 2'000, 500, milliseconds(100));
      Fleet.runUntil(Fleet.now() + milliseconds(10));
    }
    State.counters["messages_per_s"] =
        static_cast<double>(Fleet.messages(1 - Owner) - Messages) / 10;
    State.counters["kB_per_s"] =
        static_cast<double>(Fleet.messageBytes(1 - Owner) - Bytes) / 10'000;
  }
}
BENCHMARK(messagesAt100Debits)->Iterations(1);

} // namespace
} // namespace hyssoprail

BENCHMARK_MAIN();
