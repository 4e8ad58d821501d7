// Cost of merging the work that entries report, and of computing the factors,
// with as many entries as engines.
#include <benchmark/benchmark.h>

#include "hyssoprail/routing/engine_speeds.hpp"

namespace hyssoprail::routing {
namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

/// Engines of which half are 2.5 times as fast as the others, and the reports
/// of entries that each have work at every engine.
struct Fleet {
  explicit Fleet(int Size) : Size(Size) {
    for (int I = 0; I < Size; ++I) {
      EndpointRecord R;
      R.Id = "d" + std::to_string(I);
      R.Service = "assistant";
      R.Address = "10.0.0.1:" + std::to_string(I + 1);
      R.Stage = EngineStage::Decode;
      R.Slots = 64;
      Table.apply(R);
      Reports.push_back({R.Id, 0, {}, 0});
      Entries.push_back("entry-" + std::to_string(I));
    }
    for (int I = 0; I < 3; ++I)
      mergeAll();
  }

  /// One report of every entry.
  void mergeAll() {
    Now += milliseconds(100);
    for (int I = 0; I < Size; ++I) {
      EngineWorkTotals &Work =
          Reports[std::size_t(I)].Work[std::size_t(EngineWorkKind::Decode)];
      Work.Tokens += 160;
      Work.Micros += I % 2 == 0 ? 320'000 : 800'000;
      Reports[std::size_t(I)].Samples += 10;
    }
    for (const std::string &Entry : Entries)
      for (const EngineWorkReport &R : Reports)
        Speeds.observe(Entry, 1, R, Now);
  }

  int Size;
  TimePoint Now = Start;
  EndpointTable Table;
  EngineSpeeds Speeds{Table};
  std::vector<EngineWorkReport> Reports;
  std::vector<std::string> Entries;
};

/// The reports of all entries, of every engine.
void mergeReports(benchmark::State &State) {
  Fleet F(static_cast<int>(State.range(0)));
  for (auto _ : State)
    F.mergeAll();
  State.counters["us_per_report"] = benchmark::Counter(
      static_cast<double>(State.iterations() * State.range(0)) / 1e6,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void computeFactors(benchmark::State &State) {
  Fleet F(static_cast<int>(State.range(0)));
  for (auto _ : State)
    benchmark::DoNotOptimize(F.Speeds.update(F.Now));
}

BENCHMARK(mergeReports)
    ->ArgName("engines_and_entries")
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(computeFactors)
    ->ArgName("engines_and_entries")
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace hyssoprail::routing

BENCHMARK_MAIN();
