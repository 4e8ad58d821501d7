#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;
using testing::testConfig;

struct SchedulerFixture {
  SchedulerFixture() { Scheduler.configure(testConfig()); }

  void add(const EndpointRecord &Record) { Table.apply(Record); }

  StreamRequest request(const std::string &Id, std::uint32_t Prompt = 3'000,
                        std::uint32_t Output = 1'000) const {
    StreamRequest N;
    N.Id = Id;
    N.Service = "assistant";
    N.Account = "acme";
    N.Zone = "zone-a";
    N.PromptTokens = Prompt;
    N.OutputTokens = Output;
    N.Arrival = Now;
    N.ObjectiveDeadline = Now + milliseconds(900);
    N.GiveUpAt = Now + milliseconds(3'600);
    N.CallerBudget = milliseconds(14'000);
    return N;
  }

  /// Polls the scheduler and returns the ids of the placed requests, in order.
  std::vector<std::string> pollPlacements() {
    std::vector<std::string> Out;
    Refusals.clear();
    for (const StreamDecision &D : Scheduler.poll(Now)) {
      if (const auto *Placement = std::get_if<StreamPlacement>(&D)) {
        Out.push_back(Placement->Id);
        Last = *Placement;
      } else {
        Refusals.push_back(std::get<StreamRefusal>(D));
      }
    }
    return Out;
  }

  TimePoint Now = Start;
  EndpointTable Table;
  StreamScheduler Scheduler{{}, Table};
  StreamPlacement Last;
  std::vector<StreamRefusal> Refusals;
};

using Ids = std::vector<std::string>;

} // namespace

// Guards against prompts that are prefilled although no decode engine has room.
TEST_CASE("a prompt is placed only when a decode engine has room") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  B.Scheduler.submit(B.request("1"));
  B.Scheduler.submit(B.request("2"));
  B.Scheduler.submit(B.request("3"));
  REQUIRE(B.pollPlacements() == Ids{"1", "2"});
  REQUIRE(B.Last.Prefill == "p1");
  B.Now += milliseconds(500);
  REQUIRE(B.pollPlacements().empty());
  B.Scheduler.release("1", B.Now);
  REQUIRE(B.pollPlacements() == Ids{"3"});
}

// Replays a burst of generations of random size: the memory reserved at an
// engine must never exceed its bound, and every request must be placed or
// refused in time.
TEST_CASE("a burst never reserves more than an engine's memory bound") {
  const bool Passed = rc::check("burst", [] {
    SchedulerFixture B;
    B.add(engine("d1", EngineStage::Decode));
    B.add(engine("d2", EngineStage::Decode, "zone-b"));
    B.add(engine("p1", EngineStage::Prefill));
    const StreamSchedulerOptions Options;
    const auto Bound = static_cast<std::int64_t>(10'000 * Options.MemoryFactor);
    std::set<std::string> Open;
    std::vector<std::pair<TimePoint, std::string>> Running;
    const int Count = *rc::gen::inRange(10, 60);
    int Submitted = 0;
    for (int Step = 0; Step < 1'200 && (Submitted < Count || !Open.empty());
         ++Step) {
      B.Now += milliseconds(20);
      if (Submitted < Count && *rc::gen::inRange(0, 3) == 0) {
        const std::string Id = std::to_string(Submitted++);
        const auto Prompt = *rc::gen::inRange<std::uint32_t>(500, 6'000);
        B.Scheduler.submit(B.request(Id, Prompt));
        Open.insert(Id);
      }
      for (auto It = Running.begin(); It != Running.end();) {
        if (It->first > B.Now) {
          ++It;
          continue;
        }
        B.Scheduler.release(It->second, B.Now);
        It = Running.erase(It);
      }
      for (const std::string &Id : B.pollPlacements()) {
        Open.erase(Id);
        B.Scheduler.prefillEnded(Id, B.Now);
        Running.emplace_back(B.Now + milliseconds(1'500), Id);
      }
      for (const StreamRefusal &R : B.Refusals) {
        Open.erase(R.Id);
        RC_ASSERT(R.RetryAfter <= milliseconds(14'000 / 3));
      }
      for (const char *Id : {"d1", "d2"})
        RC_ASSERT(B.Table.find(Id)->totalLoad().Tokens <= Bound);
    }
    RC_ASSERT(Open.empty());
  });
  REQUIRE(Passed);
}

// Guards against retries that are rejected again while new requests are served.
TEST_CASE("a retry is served before new requests of its priority") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("running-1"));
  B.Scheduler.submit(B.request("running-2"));
  REQUIRE(B.pollPlacements().size() == 2);
  B.Scheduler.submit(B.request("new"));
  StreamRequest Retry = B.request("returning");
  Retry.IsRetry = true;
  B.Scheduler.submit(Retry);
  StreamRequest Urgent = B.request("urgent");
  Urgent.Priority = -1;
  B.Scheduler.submit(Urgent);
  B.Scheduler.release("running-1", B.Now);
  REQUIRE(B.pollPlacements() == Ids{"urgent"});
  B.Scheduler.release("running-2", B.Now);
  REQUIRE(B.pollPlacements() == Ids{"returning"});
}

// Replays the end of a burst: a request that can still meet its latency
// objective must not wait behind requests that are late anyway.
TEST_CASE("a request that can be on time is served before a late one") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("running-1"));
  B.Scheduler.submit(B.request("running-2"));
  REQUIRE(B.pollPlacements().size() == 2);
  B.Scheduler.submit(B.request("late"));
  B.Now += milliseconds(1'000);
  B.Scheduler.submit(B.request("on-time"));
  B.Scheduler.release("running-1", B.Now);
  REQUIRE(B.pollPlacements() == Ids{"on-time"});
}

// Guards against an account that holds all engines while another one waits.
TEST_CASE("the account with the least reserved memory is served first") {
  SchedulerFixture B;
  auto Config = testConfig();
  Config->Accounts["small"] = {"small", std::nullopt, 1'000, 1'000, 10};
  B.Scheduler.configure(Config);
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("acme-1"));
  B.Scheduler.submit(B.request("acme-2"));
  REQUIRE(B.pollPlacements().size() == 2);
  B.Scheduler.submit(B.request("acme-3"));
  B.Now += milliseconds(10);
  StreamRequest Small = B.request("small-1");
  Small.Account = "small";
  B.Scheduler.submit(Small);
  B.Scheduler.release("acme-1", B.Now);
  REQUIRE(B.pollPlacements() == Ids{"small-1"});
}

// Replays the first moments after the entries were partitioned from each other:
// each coordinates only itself and does not know the load placed by others, so
// all of them used to choose the same engine. The ids of their requests differ.
TEST_CASE(
    "schedulers with little knowledge of the load spread over the engines") {
  constexpr int Count = 12;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < Count; ++I) {
    SchedulerFixture B;
    B.Scheduler.setKnownLoadShare(1.0 / Count);
    for (int J = 0; J < Count; ++J)
      B.add(engine("d" + std::to_string(J), EngineStage::Decode));
    const std::string Id = "entry-" + std::to_string(I) + "/1";
    B.Scheduler.submit(B.request(Id));
    REQUIRE(B.pollPlacements() == Ids{Id});
    ++Chosen[B.Last.Decode];
  }
  for (const auto &[Id, Times] : Chosen)
    CHECK(Times <= 4);
}

// Guards against idle engines while a large request that fits into none of them
// is queued ahead of a small one.
TEST_CASE("a request that fits nowhere now does not block others") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("running"));
  REQUIRE(B.pollPlacements() == Ids{"running"});
  B.Scheduler.submit(B.request("large", 8'000));
  REQUIRE(B.pollPlacements().empty());
  B.Scheduler.submit(B.request("small"));
  CHECK(B.pollPlacements() == Ids{"small"});
}

// Guards against an entry that is itself partitioned: an endpoint that only
// this entry cannot reach must still be used when no other one has room.
TEST_CASE("an endpoint that a peer cannot reach is used last") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("d2", EngineStage::Decode, "zone-b"));
  B.Table.recordFromPeer("peer", "d1", HealthSignal::Unreachable, B.Now);
  for (const char *Id : {"1", "2", "3"}) {
    B.Scheduler.submit(B.request(Id));
    REQUIRE(B.pollPlacements() == Ids{Id});
    CHECK(B.Last.Decode == (std::string(Id) == "3" ? "d1" : "d2"));
  }
}

// Guards against requests that are queued until their deadline although those
// ahead of them use up the time: they must be refused at once, with a retry-
// after time that callers honour.
TEST_CASE("a request that cannot be served in time is refused at once") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  for (int I = 0; I < 14; ++I)
    B.Scheduler.submit(B.request(std::to_string(I)));
  REQUIRE(B.pollPlacements().size() == 2);
  REQUIRE_FALSE(B.Refusals.empty());
  for (const StreamRefusal &R : B.Refusals) {
    REQUIRE(R.Reason == StreamRefusalReason::QueueTooLong);
    REQUIRE(R.RetryAfter > milliseconds(0));
    REQUIRE(R.RetryAfter <= milliseconds(14'000 / 3));
  }
}

// Guards against a prompt that is larger than any engine's memory and is queued
// forever.
TEST_CASE("a request that fits no engine is refused at once") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("huge", 20'000));
  REQUIRE(B.pollPlacements().empty());
  REQUIRE(B.Refusals.at(0).Reason == StreamRefusalReason::TooLarge);
}

// Replays an engine that crashes between prefill and decode at full load: the
// request must move to a crowded engine rather than be prefilled again.
TEST_CASE("a prefilled request may use memory that new requests may not") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("d2", EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  B.Scheduler.submit(B.request("other-1", 4'000));
  B.Scheduler.submit(B.request("other-2", 1'400));
  B.Scheduler.submit(B.request("moved", 3'000));
  REQUIRE(B.pollPlacements().size() == 3);
  const std::string Failed = B.Last.Decode;
  B.Scheduler.submit(B.request("filler", 1'400));
  REQUIRE(B.pollPlacements().size() == 1);
  B.Scheduler.release("moved", B.Now);
  StreamRequest New = B.request("new", 3'000);
  New.ExcludedEndpoints = {Failed};
  B.Scheduler.submit(New);
  REQUIRE(B.pollPlacements().empty());
  B.Scheduler.cancel("new");
  StreamRequest Moved = New;
  Moved.Id = "moved";
  Moved.HasKvCache = true;
  B.Scheduler.submit(Moved);
  REQUIRE(B.pollPlacements() == Ids{"moved"});
  CHECK(B.Last.Decode != Failed);
  CHECK(B.Last.Prefill.empty());
}

// Guards against an overflow of the memory bound that keeps a stream of a
// service that has left the configuration from going on.
TEST_CASE("a stream goes on after its service has left the configuration") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("d2", EngineStage::Decode));
  auto WithoutService = testConfig();
  WithoutService->Services.clear();
  B.Scheduler.configure(WithoutService);
  StreamRequest Moved = B.request("moved");
  Moved.HasKvCache = true;
  B.Scheduler.submit(Moved);
  CHECK(B.pollPlacements() == Ids{"moved"});
  const auto Emptiest = B.Scheduler.emptiestDecodeEngine(
      "assistant", [](const std::string &) { return true; }, B.Now);
  const std::int64_t EnginesOfLargestFleet = 7'600;
  CHECK(Emptiest.Free <=
        std::numeric_limits<std::int64_t>::max() / EnginesOfLargestFleet);
}

// Guards against memory that is reserved twice when an answer turns out longer
// than estimated.
TEST_CASE("a longer answer extends its reservation") {
  SchedulerFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.request("1", 3'000, 500));
  REQUIRE(B.pollPlacements().size() == 1);
  const std::int64_t Before = B.Table.find("d1")->totalLoad().Tokens;
  B.Scheduler.outputGrew("1", 400);
  REQUIRE(B.Table.find("d1")->totalLoad().Tokens == Before);
  B.Scheduler.outputGrew("1", 600);
  REQUIRE(B.Table.find("d1")->totalLoad().Tokens > Before);
  B.Scheduler.release("1", B.Now);
  REQUIRE(B.Table.find("d1")->totalLoad().Tokens == 0);
}

} // namespace hyssoprail::routing
