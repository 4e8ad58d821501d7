#include <catch2/catch.hpp>

#include "hyssoprail/gateway/stream_version_fixture.hpp"

namespace hyssoprail::gateway {

using routing::RecordNeed;
using testing::ExchangeFixture;
using testing::Found;
using testing::Lifetime;
using testing::TickStep;

namespace {

constexpr auto Follower = false;

/// An entry of a service that has only \p Version registered.
struct StateFixture : ExchangeFixture {
  explicit StateFixture(const std::string &Version = "v1") {
    engine("i-1", Version, 1);
  }

  void want(const std::string &Id, const std::string &Version) {
    Exchange.record(
        Id, Version, [this](bool Written) { Results.push_back(Written); },
        RecordNeed::Wanted);
  }
};

} // namespace

// ---- The state of a service -------------------------------------------------

// Guards against refused streams of a fleet that starts, and against a base
// version that streams of another one which serves already did not begin at.
TEST_CASE("a service without a state gets one from the versions registered") {
  StateFixture B;
  const bool Several = GENERATE(false, true);
  if (Several)
    B.engine("i-2", "v2", 2);
  B.pass(TickStep * 2);
  CHECK(B.written() == (Several ? "mixed" : "v1"));
}

// Guards against a base version after a restore that streams of another one,
// which has left a short time before, did not begin at.
TEST_CASE("in a later era only a version that served alone becomes the base") {
  StateFixture B;
  const bool SawLifetime = GENERATE(false, true);
  B.Feed.Era = 2;
  if (SawLifetime)
    B.pass(Lifetime + TickStep, Follower);
  B.pass(TickStep * 2);
  CHECK(B.written() == (SawLifetime ? "v1" : "mixed"));
  B.pass(Lifetime + TickStep);
  CHECK(B.written() == "v1");
}

// Guards against a state that was read from a copy of the store: what was
// written after it is lost.
TEST_CASE("a state of an earlier era is not known") {
  StateFixture B;
  B.Feed.Era = 2;
  B.state("v1", 1);
  CHECK_FALSE(B.Exchange.versions().state("assistant"));
  B.state("v1", 2);
  REQUIRE(B.Exchange.versions().state("assistant"));
  B.state("v1", 1); // a late write
  CHECK_FALSE(B.Exchange.versions().state("assistant"));
}

// Guards against a base version under which streams of the new version would
// count, and against one that stays when only another version is left.
TEST_CASE("a service has no base version beside another one") {
  StateFixture B;
  B.pass(TickStep * 2);
  REQUIRE(B.written() == "v1");
  B.engine("i-2", "v2", 2);
  const bool Replaced = GENERATE(false, true);
  if (Replaced)
    B.Table.remove("i-1");
  B.pass(TickStep * 3);
  CHECK(B.written() == "mixed");
}

// Guards against a base version of a coordinator that cannot know what the
// others have seen.
TEST_CASE("a coordinator that was behind does not end a mixed state") {
  StateFixture B;
  B.state(std::nullopt);
  B.pass(Lifetime - TickStep);
  B.Feed.StepAge = milliseconds(1'500);
  B.pass(TickStep);
  B.Feed.StepAge = {};
  B.pass(Lifetime - TickStep);
  CHECK(B.written() != "v1");
  B.pass(TickStep * 3);
  CHECK(B.written() == "v1");
}

// Guards against a state that is written from what was read before another
// coordinator wrote.
TEST_CASE("a state that was not written is read again before the next write") {
  StateFixture B;
  B.Feed.StateOutcome =
      GENERATE(WriteOutcome::NotWritten, WriteOutcome::Unknown);
  B.tick();
  B.answerReads();
  B.tick(TickStep);
  REQUIRE(B.Feed.StateWrites == 1);
  for (int I = 0; I < 20; ++I)
    B.tick(TickStep);
  CHECK(B.Feed.StateWrites == 1);
  REQUIRE(B.Feed.OnRead.size() == 1);
  B.Feed.StateOutcome = WriteOutcome::Written;
  B.answerReads();
  B.tick(TickStep);
  CHECK(B.Feed.StateWrites == 2);
}

// Guards against a base version that a lost write sets late, after another
// version has registered again: the mixed state is written anew, so that the
// condition of the lost write does not hold any more.
TEST_CASE("a mixed state is written again if a write of it was lost") {
  StateFixture B;
  B.state(std::nullopt);
  B.pass(Lifetime - TickStep * 2);
  const unsigned Before = B.Feed.StateWrites;
  B.Feed.StateOutcome = WriteOutcome::Unknown;
  B.pass(TickStep * 5);
  REQUIRE(B.Feed.StateWrites > Before);
  B.Feed.StateOutcome = WriteOutcome::Written;
  B.Feed.States.clear();
  B.engine("i-2", "v2", 2);
  B.pass(milliseconds(2'000));
  CHECK(B.written() == "mixed");
}

// Guards against a call to the store for each stream, or all the time, in a
// service with a single version. A stream that is taken up is looked up.
TEST_CASE("streams of a single version begin without calls to the store") {
  StateFixture B;
  B.state("v1");
  B.tick(TickStep, Follower);
  B.answerReads();
  for (int I = 0; I < 300; ++I) {
    const std::string Id = std::to_string(I);
    CHECK(B.Exchange.versions().need("assistant", "v1") == RecordNeed::None);
    B.Exchange.began(Id, "assistant", "v1");
    B.tick(TickStep, Follower);
    CHECK(B.Feed.OnRead.empty());
    B.find("other-" + Id);
    REQUIRE(B.Feed.OnRead.size() == 1);
    B.answerReads(I % 2 == 0);
  }
  CHECK(B.Feed.Recorded.empty());
  CHECK(B.Answers == std::vector<Found>(300, "v1"));
}

// Guards against entries that keep a state which the coordinator has changed,
// and against reads all the time.
TEST_CASE("entries read the state while it is not known or may change") {
  StateFixture B;
  B.tick(TickStep, Follower);
  B.answerReads();
  B.tick(TickStep, Follower);
  CHECK(B.Feed.OnRead.empty());
  B.tick(milliseconds(1'000), Follower);
  CHECK(B.Feed.OnRead.size() == 1);
  B.answerReads();
  B.state("v1");
  B.tick(milliseconds(10'000), Follower);
  CHECK(B.Feed.OnRead.empty());
  B.engine("i-2", "v2", 2);
  B.tick(TickStep, Follower);
  CHECK(B.Feed.OnRead.size() == 1);
  B.answerReads();
  B.tick(milliseconds(4'900), Follower);
  CHECK(B.Feed.OnRead.empty());
  B.tick(TickStep, Follower);
  CHECK(B.Feed.OnRead.size() == 1);
}

// ---- Records ----------------------------------------------------------------

// Guards against streams that are refused because they began without a record
// while the service had a single version.
TEST_CASE("streams in memory are recorded when another version registers") {
  StateFixture B;
  B.state("v1");
  B.tick(TickStep, Follower);
  B.Exchange.began("a", "assistant", "v1");
  B.tick(milliseconds(1'000), Follower);
  REQUIRE(B.Feed.Recorded.empty());
  B.engine("i-2", "v2", 2);
  B.tick(milliseconds(1'000), Follower);
  REQUIRE(B.Feed.Recorded.size() == 1);
  CHECK(B.Feed.Recorded[0] == StreamVersionMap{{"a", "v1"}});
  B.answerWrites(WriteOutcome::Written);
  B.tick(milliseconds(1'000), Follower);
  CHECK(B.Feed.Recorded.size() == 1);
}

// Guards against streams of a service with a single version that nobody knows
// after a restore: it may have lost that another version served.
TEST_CASE("streams in memory are recorded when the store was restored") {
  StateFixture B;
  B.state("v1");
  B.tick(TickStep, Follower);
  B.Exchange.began("a", "assistant", "v1");
  B.restore();
  REQUIRE(B.Feed.Recorded.size() == 1);
  CHECK(B.Feed.Recorded[0] == StreamVersionMap{{"a", "v1"}});
}

// Guards against a record that counts as written although the store that it was
// written to has gone back to a copy.
TEST_CASE("a record under way while the store is restored is written again") {
  StateFixture B;
  B.record("a");
  B.restore();
  B.answerWrites(WriteOutcome::Written);
  CHECK(B.Results.empty());
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == B.Feed.Recorded[0]);
  B.answerWrites(WriteOutcome::Written);
  CHECK(B.Results == std::vector<bool>{true});
}

// Guards against streams that nobody can go on with although the store answers
// again, and against streams that wait for it meanwhile.
TEST_CASE("a wanted record is tried again until it is written") {
  StateFixture B;
  B.state(std::nullopt);
  B.want("a", "v1");
  B.answerWrites(WriteOutcome::NotWritten);
  B.want("b", "v1");
  CHECK(B.Results == std::vector<bool>{false, false});
  REQUIRE(B.Feed.Recorded.size() == 1);
  B.tick(milliseconds(1'100), Follower);
  B.tick(milliseconds(200), Follower);
  REQUIRE(B.Feed.Recorded.size() == 2);
  CHECK(B.Feed.Recorded[1] == StreamVersionMap{{"a", "v1"}, {"b", "v1"}});
}

// Guards against a record that is written after its stream has begun at another
// version, as it had to.
TEST_CASE("a required record that was refused is not tried again") {
  StateFixture B;
  B.state("v1");
  B.record("a");
  B.answerWrites(WriteOutcome::NotWritten);
  for (int I = 0; I < 30; ++I)
    B.tick(TickStep, Follower);
  CHECK(B.Feed.Recorded.size() == 1);
}

// Guards against a stream that begins at another version while a record of the
// first one may still take effect: the repeated write says nothing of the lost
// one.
TEST_CASE("a refused repetition does not settle a lost write") {
  StateFixture B;
  B.state("v1");
  B.record("a");
  B.answerWrites(WriteOutcome::Unknown);
  B.tick(milliseconds(200), Follower);
  B.answerWrites(WriteOutcome::NotWritten);
  CHECK(B.Results.empty());
  B.tick(milliseconds(200), Follower);
  B.answerWrites(WriteOutcome::Written);
  CHECK(B.Results == std::vector<bool>{true});
}

// Guards against a record that is larger than the store takes.
TEST_CASE("many streams are recorded in several records") {
  StateFixture B;
  B.state("v1");
  B.tick(TickStep, Follower);
  for (int I = 0; I < 700; ++I)
    B.Exchange.began(std::string(200, 'x') + std::to_string(I), "assistant",
                     "v1");
  B.engine("i-2", "v2", 2);
  std::size_t Streams = 0;
  for (int I = 0; I < 20; ++I) {
    B.tick(TickStep, Follower);
    B.answerWrites(WriteOutcome::Written);
  }
  for (const StreamVersionMap &R : B.Feed.Recorded) {
    CHECK(R.size() * 200 <= 65'536);
    Streams += R.size();
  }
  CHECK(Streams == 700);
}

// ---- Resumed streams --------------------------------------------------------

// Guards against a read, or a refusal, of a stream that its own entry began.
TEST_CASE("an entry knows the streams that it began, recorded or not") {
  StateFixture B;
  B.state(std::nullopt);
  B.engine("i-2", "v2", 2);
  B.Exchange.began("a", "assistant", "v2");
  B.find("a");
  CHECK(B.Answers == std::vector<Found>{"v2"});
  CHECK(B.Feed.OnRead.empty());
}

// Guards against a stream of a mixed service that goes on at a guessed version.
TEST_CASE("a stream of a mixed service without a record is refused") {
  StateFixture B;
  B.state(std::nullopt);
  B.engine("i-2", "v2", 2);
  B.find("a");
  B.answerReads();
  CHECK(B.Answers == std::vector<Found>{std::nullopt});
}

// Guards against refused streams of a service whose single version leaves no
// doubt, although its state is not known and the store is away.
TEST_CASE("the only version for a lifetime is that of each stream") {
  StateFixture B;
  const bool Passed = GENERATE(false, true);
  for (milliseconds T{0}; T < Lifetime + (Passed ? TickStep : -TickStep * 2);
       T += TickStep) {
    B.tick(TickStep, Follower);
    B.answerReads(false);
  }
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{Passed ? Found("v1") : std::nullopt});
}

// Guards against refused streams while the store is away, and against what was
// read in an earlier era.
TEST_CASE("the base version counts without the store since it was read") {
  StateFixture B;
  B.state("v1");
  B.tick(TickStep, Follower);
  B.answerReads();
  B.find("a");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{"v1"});
  B.restore();
  B.state("v1", 2);
  B.find("b");
  B.answerReads(false);
  CHECK(B.Answers == std::vector<Found>{"v1", std::nullopt});
}

// Guards against a stream of another version that its record names, at an entry
// that has seen only the base version since.
TEST_CASE("a record counts before the base version") {
  StateFixture B;
  B.state("v1");
  B.Exchange.onStreamVersions({{"entry-2/1", 1}, {{"a", "v2"}}});
  B.tick(TickStep, Follower);
  B.answerReads();
  B.find("a");
  B.answerReads(GENERATE(false, true));
  CHECK(B.Answers == std::vector<Found>{"v2"});
}

} // namespace hyssoprail::gateway
