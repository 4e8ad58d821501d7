#include "hyssoprail/version/config_store.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/version/record_codec.hpp"
#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {

using namespace testing;

// Guards against a peer that misses records or receives too many.
TEST_CASE("records or a snapshot bring a peer up to date") {
  ConfigStore Store(4);
  Store.apply(numbered(fleet()));
  const auto Records = Store.recordsAfter(7);
  REQUIRE(std::holds_alternative<wire::ConfigRecords>(Records));
  CHECK(std::get<wire::ConfigRecords>(Records).records_size() == 3);
  CHECK(std::get<wire::ConfigRecords>(Records).records(0).offset() == 8);
  const auto Bounded = Store.recordsAfter(7, 2);
  CHECK(std::get<wire::ConfigRecords>(Bounded).records_size() == 2);
  const auto Snapshot = Store.recordsAfter(2);
  REQUIRE(std::holds_alternative<wire::ConfigSnapshot>(Snapshot));
  ConfigStore Peer;
  CHECK(Peer.restore(std::get<wire::ConfigSnapshot>(Snapshot).state()));
  CHECK(encodeStable(Peer.checkpoint()) == encodeStable(Store.checkpoint()));
}

// Guards against a reader that stands still after retention passed it.
TEST_CASE("a reader behind retention loads the newest checkpoint") {
  std::vector<wire::LogRecord> Records = fleet();
  ConfigStore Store;
  Store.apply(numbered(Records));
  wire::LogRecord Covered = record("cp");
  Covered.mutable_checkpoint()->set_covers(10);
  *Covered.mutable_checkpoint()->mutable_state() = Store.checkpoint();
  Records.push_back(change("after", accountObject("late")));
  Records.push_back(Covered);
  const std::vector<wire::OffsetRecord> Log = numbered(Records);
  Store.apply(Log);
  ConfigStore Late;
  const std::vector<wire::OffsetRecord> Kept(Log.begin() + 8, Log.end());
  const BatchResult Result = Late.apply(Kept);
  CHECK(Result.Restored);
  CHECK(Result.Version == 12);
  CHECK(Late.checkpointOffset() == 12);
  CHECK(encodeStable(Late.checkpoint()) == encodeStable(Store.checkpoint()));
}

// Guards against a checkpoint that covers records written after it.
TEST_CASE("unsound checkpoints are not loaded") {
  wire::OffsetRecord Bad;
  Bad.set_offset(5);
  Bad.mutable_record()->mutable_checkpoint()->set_covers(50);
  Bad.mutable_record()->mutable_checkpoint()->mutable_state()->set_version(50);
  ConfigStore Store;
  const BatchResult Result = Store.apply({Bad});
  CHECK(Result.Gap);
  CHECK(Store.current()->version() == 0);
}

} // namespace hyssoprail
