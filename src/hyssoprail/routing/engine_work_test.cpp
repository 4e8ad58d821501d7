// Measurement of work at an entry, and its way to the coordinator and back.
#include "hyssoprail/routing/engine_work_log.hpp"

#include <limits>

#include <catch2/catch.hpp>

#include "admission_test_support.hpp"
#include "hyssoprail/routing/engine_speed_update.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::Coordinator;
using testing::engine;
using testing::FlowFixture;
using testing::Follower;
using testing::Start;

wire::EntryReport reportOf(EngineWorkLog &Work, TimePoint Now) {
  wire::EntryReport R;
  Work.fillReport(R, Now);
  return R;
}

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

/// A report of work at the engines d0 and d1, of which d1 needs 2.5 times as
/// long for a token.
wire::EntryReport uneven(Follower &F, std::uint64_t Step, TimePoint Now) {
  wire::EntryReport R = F.report(Now);
  for (int I = 0; I < 2; ++I) {
    wire::EngineWork *W = R.add_engine_work();
    W->set_endpoint("d" + std::to_string(I));
    W->set_decode_tokens(Step * 1'000);
    W->set_decode_us(Step * 1'000 * (I == 0 ? 3'000 : 7'500));
    W->set_samples(Step * 60);
  }
  return R;
}

/// Reports uneven work for 2 s and returns the coordinator's update.
wire::CoordinatorUpdate learn(Coordinator &C, Follower &F) {
  for (std::uint64_t Step = 0; Step < 20; ++Step) {
    C.Now += milliseconds(100);
    C.Server.handleReport(uneven(F, Step, C.Now), C.Now);
    C.Server.updateSpeeds(C.Now);
  }
  return C.update(F);
}

} // namespace

// Guards against speeds that include the wait behind other prompts, the
// transfer of a KV cache, or the silence of an engine.
TEST_CASE("a stream measures its prefill and the time between its events") {
  FlowFixture F;
  EngineWorkLog Work;
  F.add(engine("p0", EngineStage::Prefill));
  F.add(engine("d0", EngineStage::Decode));
  SharedFlowState Shared = F.sharedState();
  Shared.EngineWork = &Work;
  const auto Stream =
      makeStreamFlow(Shared, F.request(RouteKind::Stream), F.Io);
  Stream->start(F.Now);
  F.poll(*Stream);
  F.Now += milliseconds(120);
  F.answer(*Stream, F.Io.lastLeg(), answered(200, "handle"));
  const wire::EntryReport Early = reportOf(Work, F.Now);
  REQUIRE(Early.engine_work_size() == 1);
  CHECK(Early.engine_work(0).endpoint() == "p0");
  CHECK(Early.engine_work(0).prefill_tokens() == 1'000);
  CHECK(Early.engine_work(0).prefill_us() == 120'000);
  F.Now += milliseconds(80); // transfer of the KV cache
  Stream->onStreamHead(F.Io.lastLeg(), {}, F.Now);
  Stream->onStreamData(F.Io.lastLeg(), event(1), F.Now);
  F.Now += milliseconds(50);
  Stream->onStreamData(F.Io.lastLeg(), event(2), F.Now);
  F.Now += milliseconds(90);
  Stream->onStreamData(F.Io.lastLeg(), event(3) + event(4), F.Now);
  F.Now += milliseconds(3'000); // silent
  Stream->onStreamData(F.Io.lastLeg(), event(5), F.Now);
  F.Now += milliseconds(10);
  Stream->onStreamData(F.Io.lastLeg(), event(6), F.Now);
  const wire::EntryReport R = reportOf(Work, F.Now);
  REQUIRE(R.engine_work_size() == 1); // without the prefill, 3 s ago
  CHECK(R.engine_work(0).endpoint() == "d0");
  CHECK(R.engine_work(0).decode_tokens() == 64);
  CHECK(R.engine_work(0).decode_us() == 150'000);
  CHECK(R.engine_work(0).samples() == 4);
}

// Guards against reports and memory that grow with every engine ever used, and
// against work of a former process that is added to that of its successor.
TEST_CASE("totals are reported while they are recent, per incarnation") {
  EngineWorkLog Work;
  Work.recordDecode("d0", 1, 100, 4, milliseconds(300), Start);
  Work.recordDecode("d0", 2, 50, 2, milliseconds(100), Start);
  Work.recordDecode("d0", 1, 100, 4, milliseconds(300), Start);
  const wire::EntryReport R = reportOf(Work, Start);
  REQUIRE(R.engine_work_size() == 1);
  CHECK(R.engine_work(0).started_at_ms() == 2);
  CHECK(R.engine_work(0).decode_tokens() == 50);
  CHECK(reportOf(Work, Start + milliseconds(6'000)).engine_work_size() == 0);
  CHECK(Work.size() == 1);
  reportOf(Work, Start + milliseconds(61'000));
  CHECK(Work.size() == 0);
}

// Guards against entries that choose engines by other speeds than the
// coordinator, and against invalid factors of a peer.
TEST_CASE("speeds reach the entries with the totals") {
  Coordinator C(2);
  C.Server.setOverload(OverloadMode::Auto);
  Follower F("a");
  wire::CoordinatorUpdate U = learn(C, F);
  REQUIRE(U.speeds_size() == 2);
  EndpointTable Table;
  Table.apply(engine("d0", EngineStage::Decode));
  Table.apply(engine("d1", EngineStage::Decode));
  applySpeeds(U, Table);
  CHECK(Table.find("d0")->SpeedFactor / Table.find("d1")->SpeedFactor ==
        Approx(2.5).margin(0.3));
  wire::CoordinatorUpdate WithoutTotals;
  applySpeeds(WithoutTotals, Table);
  CHECK(Table.find("d0")->SpeedFactor != 1);
  U.mutable_speeds(0)->set_factor(std::numeric_limits<double>::quiet_NaN());
  U.mutable_speeds(1)->set_factor(0);
  applySpeeds(U, Table);
  CHECK(Table.find("d0")->SpeedFactor == 1);
  CHECK(Table.find("d1")->SpeedFactor == 1);
}

// Guards against a deployment without the policy being served in another way
// than before.
TEST_CASE("speeds are not applied under the policy arrival") {
  Coordinator C(2);
  Follower F("a");
  const wire::CoordinatorUpdate U = learn(C, F);
  CHECK(U.speeds_size() == 0);
  CHECK(C.Table.find("d0")->SpeedFactor == 1);
  CHECK(C.Table.find("d1")->SpeedFactor == 1);
}

// Guards against speeds from the reports of a former term.
TEST_CASE("a new term begins without speeds") {
  Coordinator C(2);
  C.Server.setOverload(OverloadMode::LeastCost);
  Follower F("a");
  learn(C, F);
  REQUIRE(C.Table.find("d1")->SpeedFactor != 1);
  C.Server.startTerm(1, C.Now);
  CHECK(C.Table.find("d1")->SpeedFactor == 1);
}

} // namespace hyssoprail::routing
