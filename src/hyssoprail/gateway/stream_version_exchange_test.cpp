#include <catch2/catch.hpp>

#include "hyssoprail/gateway/stream_version_fixture.hpp"

namespace hyssoprail::gateway {

using testing::ExchangeFixture;
using testing::Found;
using testing::Lifetime;
using testing::TickStep;

// Guards against a call to the store for each of the streams that begin
// together when a version serves that is not the base version.
TEST_CASE("records that arrive while one is written are written together") {
  ExchangeFixture B;
  for (const char *Id : {"a", "b", "c"})
    B.record(Id);
  REQUIRE(B.Feed.Recorded.size() == 1);
  B.answerWrites(WriteOutcome::Written);
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == StreamVersionMap{{"b", "v2"}, {"c", "v2"}});
  B.answerWrites(WriteOutcome::Written);
  CHECK(B.Results == std::vector<bool>{true, true, true});
}

// Guards against a stream that begins elsewhere while a lost record may still
// take effect, and against new streams that wait for a store that is away.
TEST_CASE("a record of which the response was lost is repeated") {
  ExchangeFixture B;
  B.state("v1");
  B.record("a");
  B.answerWrites(WriteOutcome::Unknown);
  CHECK(B.Results.empty());
  CHECK(B.Exchange.versions().onlyVersion("assistant") == "v1");
  B.tick(milliseconds(200));
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == B.Feed.Recorded[0]);
  B.answerWrites(WriteOutcome::Written);
  CHECK(B.Results == std::vector<bool>{true});
  CHECK_FALSE(B.Exchange.versions().onlyVersion("assistant"));
}

// Guards against streams that wait for a silent store although nothing of them
// was sent there, and could begin without a record.
TEST_CASE("only records that were sent wait for a store that is away") {
  ExchangeFixture B;
  B.record("sent");
  B.record("not sent");
  B.answerWrites(WriteOutcome::Unknown);
  CHECK(B.Results == std::vector<bool>{false});
  B.record("later");
  CHECK(B.Results == std::vector<bool>{false, false});
  B.tick(milliseconds(200));
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == StreamVersionMap{{"sent", "v2"}});
}

// Guards against an entry that never uses other versions again after the store
// has refused one record.
TEST_CASE("records are tried again some time after one was refused") {
  ExchangeFixture B;
  B.state("v1");
  B.record("a");
  B.answerWrites(WriteOutcome::NotWritten);
  CHECK(B.Results == std::vector<bool>{false});
  CHECK(B.Exchange.versions().onlyVersion("assistant") == "v1");
  B.tick(milliseconds(1'100));
  CHECK_FALSE(B.Exchange.versions().onlyVersion("assistant"));
}

// Guards against an answer from a read that began before the stream: its
// record may have been written since.
TEST_CASE("a query is answered by a read that began after it") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.state("v1");
  B.find("other");
  B.find("a");
  REQUIRE(B.Feed.OnRead.size() == 1);
  B.answerReads();
  CHECK(B.Answers == std::vector<Found>{"v1"});
  B.Exchange.onStreamVersions({{"entry-2/1", 1}, {{"a", "v2"}}});
  B.answerReads();
  CHECK(B.Answers == std::vector<Found>{"v1", "v2"});
}

// Guards against a guess while the store is away, and against refused streams
// of a service whose single version leaves no doubt.
TEST_CASE("without the store a version is certain only if it was the only one "
          "since the records were read") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.state("v1");
  B.tick();
  B.answerReads();
  B.find("a");
  B.answerReads(false);
  B.engine("i-2", "v2", 2);
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{"v1", std::nullopt});
}

// Guards against a stream that goes on at another version: an entry that was
// cut off, or stood still, while endpoints of a new version joined knows only
// the old one, and can ask neither the store nor the others.
TEST_CASE("an entry that is behind the others does not guess a version") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.state("v1");
  B.pass(Lifetime + TickStep);
  B.Feed.StepAge = milliseconds(1'500);
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{std::nullopt});
}

// Guards against a base version that is changed while streams of the old one
// can still be resumed, and against records for ever after a service has moved.
TEST_CASE("the state of a service follows its versions") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.pass(TickStep * 2);
  CHECK(B.written() == "v1");
  B.engine("i-2", "v2", 2);
  B.pass(TickStep * 3);
  CHECK(B.written() == "mixed");
  B.Table.remove("i-1");
  B.pass(Lifetime - TickStep);
  CHECK(B.written() == "mixed");
  B.pass(TickStep * 3);
  CHECK(B.written() == "v2");
  CHECK(B.Exchange.versions().base("assistant") == "v2");
}

// Guards against a new coordinator that replaces the base version which another
// one has set since this entry read the store.
TEST_CASE("a coordinator reads the states before it sets any") {
  ExchangeFixture B;
  B.engine("i-2", "v2", 2);
  B.tick(milliseconds(0), false);
  B.answerReads();
  B.tick(milliseconds(100));
  CHECK(B.Feed.States.empty());
  REQUIRE(B.Feed.OnRead.size() == 1);
  B.state("v2");
  B.answerReads();
  B.tick(milliseconds(100));
  CHECK(B.Feed.States.empty());
}

// Guards against streams that nobody knows after the store has come back from
// a copy.
TEST_CASE("a restored store gets the records of this entry again") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.tick();
  B.answerReads();
  B.tick();
  B.record("a");
  B.answerWrites(WriteOutcome::Written);
  B.restore();
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == StreamVersionMap{{"a", "v2"}});
  B.pass(TickStep * 3);
  CHECK(B.written() == "mixed");
  B.pass(Lifetime);
  CHECK(B.written() == "v1");
}

// Guards against a stream that goes on at the base version although it began at
// another one: the restored store lacks its record, and the entry that began it
// has not written it again yet, or has ended.
TEST_CASE("after a restore a missing record says nothing of a stream",
          "[missing_record]") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.engine("i-2", "v2", 2);
  B.tick();
  B.answerReads();
  B.tick();
  B.Exchange.storeRestored();
  B.tick(milliseconds(100));
  B.answerReads();
  B.tick(milliseconds(100));
  B.find("a");
  B.answerReads();
  CHECK(B.Answers == std::vector<Found>{std::nullopt});
}

// Guards against a stream of a version that has just left which goes on at the
// only one that is left.
TEST_CASE("a version that was registered a moment ago leaves a doubt",
          "[missing_record]") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.engine("i-2", "v2", 2);
  B.tick();
  B.answerReads();
  B.tick();
  B.Table.remove("i-2");
  B.tick(milliseconds(100));
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{std::nullopt});
}

// Guards against a guess of an entry that has never read the records: the
// version that is registered need not be the one that streams began at.
TEST_CASE("an entry that has read no record does not guess a version",
          "[missing_record]") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.tick(milliseconds(100), false);
  B.answerReads(false);
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{std::nullopt});
}

// Guards against an older record that is written after a newer one of the same
// stream: the store is restored while the newer one is under way.
TEST_CASE("a restore does not write an older record over a newer one",
          "[record_order]") {
  ExchangeFixture B;
  const auto Ignore = [](bool) {};
  B.Exchange.record("a", "v2", Ignore);
  B.answerWrites(WriteOutcome::Written);
  B.Exchange.record("a", "v3", Ignore);
  B.Exchange.storeRestored();
  B.answerWrites(WriteOutcome::Written);
  B.answerWrites(WriteOutcome::Written);
  REQUIRE_FALSE(B.Feed.Recorded.empty());
  CHECK(B.Feed.Recorded.back().at("a") == "v3");
}

// Guards against streams of a service that are forgotten, or go on at the only
// version that is left, while their callers may still come back: the operator
// has shortened the timeout of their route.
TEST_CASE("a shorter timeout does not concern streams that began before") {
  ExchangeFixture B;
  const Duration Before = B.Exchange.lifetime();
  B.configure(milliseconds(2'000));
  CHECK(B.Exchange.lifetime() == Before);
  B.tick(milliseconds(10'000));
  B.configure(milliseconds(2'000));
  B.tick(std::chrono::duration_cast<milliseconds>(Before) -
         milliseconds(10'001));
  CHECK(B.Exchange.lifetime() == Before);
  B.tick(milliseconds(1));
  CHECK(B.Exchange.lifetime() == milliseconds(12'000));
  B.configure(milliseconds(14'000));
  CHECK(B.Exchange.lifetime() == Before);
}

// Guards against a stream of a version that this entry does not know yet: the
// entry that began it has written its record, which a read would find.
TEST_CASE("records are read before a single version counts") {
  ExchangeFixture B;
  B.engine("i-1", "v1", 1);
  B.state("v1");
  B.pass(Lifetime + TickStep);
  B.answerReads();
  B.find("a");
  REQUIRE(B.Answers.empty());
  B.Exchange.onStreamVersions({{"entry-2/1", 1}, {{"a", "v2"}}});
  B.answerReads();
  CHECK(B.Answers == std::vector<Found>{"v2"});
}

} // namespace hyssoprail::gateway
