#include <string>

#include <benchmark/benchmark.h>

#include "hyssoprail/version/config_store.hpp"

namespace {

using namespace hyssoprail;

wire::OffsetRecord accountRecord(std::uint64_t Offset, std::uint64_t Base) {
  wire::OffsetRecord Out;
  Out.set_offset(Offset);
  Out.mutable_record()->set_operation_id("op" + std::to_string(Offset));
  wire::Change &C = *Out.mutable_record()->mutable_change();
  C.set_base_version(Base);
  C.mutable_object()->set_kind(wire::OBJECT_KIND_ACCOUNT);
  const std::string Name =
      Base != 0 ? "account1" : "account" + std::to_string(Offset);
  C.mutable_object()->set_name(Name);
  C.mutable_object()->mutable_account()->set_name(Name);
  C.mutable_object()->mutable_account()->set_rate(100);
  C.mutable_object()->mutable_account()->set_burst(100);
  return Out;
}

/// Fills a store with \p Count accounts in one batch.
void fill(ConfigStore &Store, std::uint64_t Count) {
  std::vector<wire::OffsetRecord> Batch;
  for (std::uint64_t I = 1; I <= Count; ++I)
    Batch.push_back(accountRecord(I, 0));
  Store.apply(Batch);
}

/// One claim record per apply, beside many accounts.
void claimRecords(benchmark::State &Run) {
  ConfigStore Store;
  fill(Store, static_cast<std::uint64_t>(Run.range(0)));
  for (auto Step : Run) {
    wire::OffsetRecord R;
    R.set_offset(Store.current()->version() + 1);
    R.mutable_record()->set_unix_ms(static_cast<std::int64_t>(R.offset()));
    wire::Claim &C = *R.mutable_record()->mutable_claim();
    C.set_claim_id(std::to_string(R.offset()));
    C.set_request_id(C.claim_id());
    Store.apply({R});
  }
  Run.SetItemsProcessed(Run.iterations());
}
BENCHMARK(claimRecords)->Arg(5)->Arg(30'000);

/// One account change per apply, published each time.
void accountChanges(benchmark::State &Run) {
  ConfigStore Store;
  fill(Store, static_cast<std::uint64_t>(Run.range(0)));
  for (auto Step : Run) {
    const ConfigPtr Now = Store.current();
    const std::uint64_t Base =
        Now->object(wire::OBJECT_KIND_ACCOUNT, "account1")->version();
    Store.apply({accountRecord(Now->version() + 1, Base)});
  }
  Run.SetItemsProcessed(Run.iterations());
}
BENCHMARK(accountChanges)->Arg(5)->Arg(30'000);

/// Loading and reading the configuration of a large fleet.
void restoreState(benchmark::State &Run) {
  ConfigStore Store;
  fill(Store, static_cast<std::uint64_t>(Run.range(0)));
  const wire::State State = Store.checkpoint();
  for (auto Step : Run) {
    ConfigStore Fresh;
    benchmark::DoNotOptimize(Fresh.restore(State));
  }
  Run.counters["bytes"] = static_cast<double>(State.ByteSizeLong());
}
BENCHMARK(restoreState)->Arg(5)->Arg(30'000);

void writeCheckpoint(benchmark::State &Run) {
  ConfigStore Store;
  fill(Store, static_cast<std::uint64_t>(Run.range(0)));
  for (auto Step : Run)
    benchmark::DoNotOptimize(Store.checkpoint());
}
BENCHMARK(writeCheckpoint)->Arg(5)->Arg(30'000);

} // namespace

BENCHMARK_MAIN();
