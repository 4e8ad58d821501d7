#include <catch2/catch.hpp>

#include "hyssoprail/routing/stream_fixture.hpp"

namespace hyssoprail::routing {
namespace {

using namespace testing;

EndpointRecord versioned(EndpointRecord R, const std::string &Version,
                         std::int64_t StartedAtMs) {
  R.Address = "10.0.0.1:" + std::to_string(80 + StartedAtMs);
  R.Version = Version;
  R.StartedAtMs = StartedAtMs;
  return R;
}

/// Engines of two versions without prefill engines; d-1 started first.
struct VersionFixture : FlowFixture {
  explicit VersionFixture(bool KnowsBase = true) {
    add(versioned(engine("d-1", EngineStage::Decode), "v1", 1));
    add(versioned(engine("d-2", EngineStage::Decode), "v2", 2));
    Versions.setLifetime(Lifetime);
    if (KnowsBase)
      Versions.setState("assistant", VersionState{"v1"});
  }

  std::unique_ptr<Flow> stream(std::optional<std::string> FirstAttempt = {},
                               bool Resumable = true) {
    FlowRequest R = request(RouteKind::Stream);
    R.Route.Resumable = Resumable;
    if (FirstAttempt) {
      R.Info.Resumes = true;
      R.Info.LastEventId = 1;
      R.Info.FirstAttempt = *FirstAttempt;
    }
    SharedFlowState State = sharedState();
    State.Versions = &Versions;
    auto F = makeStreamFlow(State, std::move(R), Io);
    F->start(Now);
    poll(*F);
    return F;
  }

  void found(Flow &F, const std::optional<std::string> &Version) {
    F.onVersionFound(Version, Now);
    poll(F);
  }

  void recorded(Flow &F, bool Written) {
    F.onVersionRecorded(Written, Now);
    poll(F);
  }

  void firstEvent(Flow &F) {
    F.onStreamHead(Io.lastLeg(), head(), Now);
    F.onStreamData(Io.lastLeg(), "id: 1\ndata: a\n\n", Now);
  }

  /// Takes an engine out of the choice.
  void leave(const std::string &Id, const std::string &Version) {
    EndpointRecord R = versioned(engine(Id, EngineStage::Decode), Version, 1);
    R.Draining = true;
    R.Sequence = 100;
    add(R);
  }

  const std::string &lastEndpoint() const { return Io.Legs.back().EndpointId; }

  static constexpr milliseconds Lifetime{24'000};
  Duration Behind{}; ///< how far the entry is behind the others
  StreamVersions Versions{Table, [this] { return Behind; }};
};

} // namespace

// Guards against text that is joined from two versions within one answer.
TEST_CASE("a broken stream goes on at its version only") {
  VersionFixture B;
  const auto F = B.stream();
  B.recorded(*F, true);
  REQUIRE(B.lastEndpoint() == "d-1");
  B.firstEvent(*F);
  CHECK(B.Io.BeganAt == "v1");
  F->onStreamEnd(1, false, B.Now);
  B.poll(*F);
  CHECK(B.Io.Legs.size() == 1);
  B.add(versioned(engine("d-1b", EngineStage::Decode), "v1", 3));
  B.poll(*F);
  REQUIRE(B.Io.Legs.size() == 2);
  CHECK(B.lastEndpoint() == "d-1b");
}

// Guards against text that is joined from two versions over two attempts.
TEST_CASE("a resumed stream is placed at the version that began it") {
  VersionFixture B;
  const std::string Version = GENERATE(as<std::string>{}, "v1", "v2");
  const auto F = B.stream("first");
  REQUIRE(B.Io.VersionQueries == 1);
  REQUIRE(B.Io.Legs.empty());
  B.found(*F, Version);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.Io.Legs[0].Version == Version);
  CHECK(B.Io.Records.empty());
}

// Guards against a caller that waits until its deadline for engines that have
// left, and against a stream that goes on at a guessed version.
TEST_CASE("a stream that no engine may go on with is refused at once") {
  VersionFixture B;
  const auto Found = GENERATE(as<std::optional<std::string>>{}, std::nullopt,
                              std::optional<std::string>("v0"));
  const auto F = B.stream("first");
  B.found(*F, Found);
  CHECK(F->done());
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK_FALSE(F->mayHaveRun());
}

// Guards against an event that reaches a caller before anyone could find out
// at which version its stream began.
TEST_CASE("a stream begins at another than the base version once recorded") {
  VersionFixture B;
  B.leave("d-1", "v1");
  const auto F = B.stream();
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2"});
  B.recorded(*F, true);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.lastEndpoint() == "d-2");
}

// Guards against records, and against streams that wait for them, in a service
// with one version and on routes whose streams cannot be resumed.
TEST_CASE("streams of a single version and others need no record") {
  VersionFixture B;
  const bool Resumable = GENERATE(true, false);
  if (Resumable)
    B.Table.remove("d-2");
  else
    B.leave("d-1", "v1");
  const auto F = B.stream({}, Resumable);
  CHECK(B.Io.Records.empty());
  CHECK(B.Io.Legs.size() == 1);
}

// Guards against streams of the base version that nobody knows of once the
// service has no base version any more, and against refused ones while the
// store is away.
TEST_CASE("streams at the base version are recorded beside another version") {
  VersionFixture B;
  const bool Written = GENERATE(true, false);
  const auto F = B.stream();
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.Records == std::vector<std::string>{"v1"});
  B.recorded(*F, Written);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.lastEndpoint() == "d-1");
}

// Guards against streams that are not recorded any more as soon as the other
// version has left: it may come back while they can be resumed.
TEST_CASE("streams are recorded for a lifetime after another version left") {
  VersionFixture B;
  const bool Passed = GENERATE(false, true);
  B.Versions.observe("assistant", B.Now);
  B.Table.remove("d-2");
  B.Now += B.Lifetime + milliseconds(Passed ? 1 : -1);
  B.Versions.observe("assistant", B.Now);
  CHECK(B.Versions.need("assistant", "v1") ==
        (Passed ? RecordNeed::None : RecordNeed::Wanted));
}

// Guards against a service without a base version that stops with the store,
// and against its streams without a record while the store works.
TEST_CASE("streams of a mixed service are recorded, and begin also if not") {
  VersionFixture B;
  B.Versions.setState("assistant", VersionState{});
  B.leave("d-1", "v1");
  const bool Written = GENERATE(true, false);
  const auto F = B.stream();
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2"});
  B.recorded(*F, Written);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.lastEndpoint() == "d-2");
  B.firstEvent(*F);
  CHECK(B.Io.BeganAt == "v2");
}

// Guards against a stream without a record at an entry that was cut off for so
// long that the service may have got another state.
TEST_CASE("an entry that is far behind records each stream first") {
  VersionFixture B;
  const bool IsMixed = GENERATE(false, true);
  if (IsMixed)
    B.Versions.setState("assistant", VersionState{});
  B.Table.remove("d-2");
  B.Behind = B.Lifetime / 2 + milliseconds(1);
  const auto F = B.stream();
  REQUIRE(B.Io.Records == std::vector<std::string>{"v1"});
  B.recorded(*F, false);
  CHECK(B.Io.Legs.empty());
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter > milliseconds(0));
}

// Guards against streams that wait for the store although engines of the base
// version are free.
TEST_CASE("a stream whose version cannot be recorded begins at the base") {
  VersionFixture B;
  B.leave("d-1", "v1");
  const auto F = B.stream();
  B.add(versioned(engine("d-1b", EngineStage::Decode), "v1", 3));
  B.recorded(*F, false);
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2", "v1"});
  B.recorded(*F, false);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.lastEndpoint() == "d-1b");
}

// Guards against a stream that goes on at the base version although it began
// at another one: nothing is recorded of it, as the store was down.
TEST_CASE("without the base version an unrecorded stream is refused at once") {
  VersionFixture B;
  B.leave("d-1", "v1");
  const auto F = B.stream();
  B.recorded(*F, false);
  CHECK(B.Io.Legs.empty());
  CHECK(F->done());
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter > milliseconds(0));
}

// Guards against a stream that nobody can tell the version of: its entry has
// just started, knows one version only and not the base version, which turns
// out to be another one.
TEST_CASE("a stream is recorded while the base version is not known",
          "[missing_record]") {
  VersionFixture B(false);
  B.Table.remove("d-1");
  const bool Written = GENERATE(true, false);
  const auto F = B.stream();
  REQUIRE(B.Io.Legs.empty());
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2"});
  B.recorded(*F, Written);
  CHECK(B.Io.Legs.size() == (Written ? 1U : 0U));
  CHECK(F->done() == !Written);
}

// Guards against a stream that begins at the version of a silent engine after
// another version was recorded for it.
TEST_CASE("a silent engine is replaced by one of its version") {
  VersionFixture B;
  B.add(versioned(engine("d-2b", EngineStage::Decode), "v2", 3));
  const auto F = B.stream();
  B.recorded(*F, true);
  REQUIRE(B.lastEndpoint() == "d-1");
  F->onStreamHead(1, head(), B.Now);
  B.Now = F->nextDeadline();
  F->onTimer(B.Now);
  B.poll(*F);
  CHECK(B.Io.Legs.size() == 1);
  CHECK(B.Io.Records == std::vector<std::string>{"v1"});
  F->onStreamData(1, "id: 1\ndata: a\n\n", B.Now);
  CHECK(B.Io.Forwarded == "id: 1\ndata: a\n\n");
}

// Guards against records that an earlier placement left behind.
TEST_CASE("the record follows a stream that is placed at another version") {
  VersionFixture B;
  B.leave("d-1", "v1");
  const auto F = B.stream();
  B.recorded(*F, true);
  REQUIRE(B.lastEndpoint() == "d-2");
  B.add(versioned(engine("d-1b", EngineStage::Decode), "v1", 3));
  B.answer(*F, 1, endedLeg(LegOutcome::NotRun));
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2", "v1"});
  REQUIRE(B.Io.Legs.size() == 1);
  B.recorded(*F, true);
  REQUIRE(B.Io.Legs.size() == 2);
  CHECK(B.lastEndpoint() == "d-1b");
}

// Guards against a stream that begins at one version while another one is on
// record for it, also where streams may begin without a record.
TEST_CASE("a stream on record at one version needs a record at another") {
  VersionFixture B;
  const bool IsMixed = GENERATE(false, true);
  if (IsMixed)
    B.Versions.setState("assistant", VersionState{});
  B.leave("d-1", "v1");
  const auto F = B.stream();
  B.recorded(*F, true);
  REQUIRE(B.lastEndpoint() == "d-2");
  B.add(versioned(engine("d-1b", EngineStage::Decode), "v1", 3));
  B.answer(*F, 1, endedLeg(LegOutcome::NotRun));
  REQUIRE(B.Io.Records == std::vector<std::string>{"v2", "v1"});
  B.recorded(*F, false);
  for (std::size_t I = 1; I < B.Io.Legs.size(); ++I)
    CHECK(B.Io.Legs[I].Version == "v2");
}

} // namespace hyssoprail::routing
