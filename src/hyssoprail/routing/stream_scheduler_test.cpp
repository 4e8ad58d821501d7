#include "hyssoprail/routing/stream_scheduler.hpp"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::engine;
using testing::Start;
using testing::testConfig;

struct SchedulerBench {
  SchedulerBench() { Scheduler.configure(testConfig()); }

  void add(const EndpointRecord &Record) { Table.apply(Record); }

  StreamNeed need(const std::string &Id, std::uint32_t Prompt = 3'000,
                  std::uint32_t Output = 1'000) const {
    StreamNeed N;
    N.Id = Id;
    N.Service = "assistant";
    N.Account = "acme";
    N.Zone = "zone-a";
    N.PromptTokens = Prompt;
    N.OutputTokens = Output;
    N.Arrival = Now;
    N.OnTimeUntil = Now + milliseconds(900);
    N.GiveUpAt = Now + milliseconds(3'600);
    N.TimeLeft = milliseconds(14'000);
    return N;
  }

  /// Ids that are placed now, in order.
  std::vector<std::string> placed() {
    std::vector<std::string> Out;
    Refusals.clear();
    for (const StreamDecision &D : Scheduler.poll(Now)) {
      if (const auto *Place = std::get_if<StreamPlace>(&D)) {
        Out.push_back(Place->Id);
        Last = *Place;
      } else {
        Refusals.push_back(std::get<StreamRefusal>(D));
      }
    }
    return Out;
  }

  TimePoint Now = Start;
  EndpointTable Table;
  StreamScheduler Scheduler{{}, Table};
  StreamPlace Last;
  std::vector<StreamRefusal> Refusals;
};

using Ids = std::vector<std::string>;

} // namespace

// Guards against prompts that are read although no decode engine has room.
TEST_CASE("a prompt is placed only when a decode engine has room") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  B.Scheduler.submit(B.need("1"));
  B.Scheduler.submit(B.need("2"));
  B.Scheduler.submit(B.need("3"));
  REQUIRE(B.placed() == Ids{"1", "2"});
  REQUIRE(B.Last.Prefill == "p1");
  B.Now += milliseconds(500);
  REQUIRE(B.placed().empty());
  B.Scheduler.release("1", B.Now);
  REQUIRE(B.placed() == Ids{"3"});
}

// Replays a burst with runs of random size: memory that is reserved at an
// engine never exceeds its bound, and every request is placed or refused in
// time.
TEST_CASE("a burst never fills an engine beyond its memory") {
  const bool Passed = rc::check("burst", [] {
    SchedulerBench B;
    B.add(engine("d1", EngineStage::Decode));
    B.add(engine("d2", EngineStage::Decode, "zone-b"));
    B.add(engine("p1", EngineStage::Prefill));
    const StreamSchedulerOptions Options;
    const auto Bound = static_cast<std::int64_t>(10'000 * Options.MemoryShare);
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
        B.Scheduler.submit(B.need(Id, Prompt));
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
      for (const std::string &Id : B.placed()) {
        Open.erase(Id);
        B.Scheduler.prefillEnded(Id, B.Now);
        Running.emplace_back(B.Now + milliseconds(1'500), Id);
      }
      for (const StreamRefusal &R : B.Refusals) {
        Open.erase(R.Id);
        RC_ASSERT(R.RetryAfter <= milliseconds(14'000 / 3));
      }
      for (const char *Id : {"d1", "d2"})
        RC_ASSERT(B.Table.find(Id)->total().Tokens <= Bound);
    }
    RC_ASSERT(Open.empty());
  });
  REQUIRE(Passed);
}

// Guards against callers who came back and are turned away again while new ones
// are served.
TEST_CASE("a returning request goes before newer ones of its rank") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("running-1"));
  B.Scheduler.submit(B.need("running-2"));
  REQUIRE(B.placed().size() == 2);
  B.Scheduler.submit(B.need("new"));
  StreamNeed Returning = B.need("returning");
  Returning.Returning = true;
  B.Scheduler.submit(Returning);
  StreamNeed Urgent = B.need("urgent");
  Urgent.Priority = -1;
  B.Scheduler.submit(Urgent);
  B.Scheduler.release("running-1", B.Now);
  REQUIRE(B.placed() == Ids{"urgent"});
  B.Scheduler.release("running-2", B.Now);
  REQUIRE(B.placed() == Ids{"returning"});
}

// Replays the end of a burst: a request that can still be on time must not wait
// behind those that are late anyway.
TEST_CASE("a request that can be on time goes before a late one") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("running-1"));
  B.Scheduler.submit(B.need("running-2"));
  REQUIRE(B.placed().size() == 2);
  B.Scheduler.submit(B.need("late"));
  B.Now += milliseconds(1'000);
  B.Scheduler.submit(B.need("on-time"));
  B.Scheduler.release("running-1", B.Now);
  REQUIRE(B.placed() == Ids{"on-time"});
}

// Guards against an account that holds all engines while another one waits.
TEST_CASE("the account with the least running work is served first") {
  SchedulerBench B;
  auto Config = testConfig();
  Config->Accounts["small"] = {"small", std::nullopt, 1'000, 1'000, 10};
  B.Scheduler.configure(Config);
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("acme-1"));
  B.Scheduler.submit(B.need("acme-2"));
  REQUIRE(B.placed().size() == 2);
  B.Scheduler.submit(B.need("acme-3"));
  B.Now += milliseconds(10);
  StreamNeed Small = B.need("small-1");
  Small.Account = "small";
  B.Scheduler.submit(Small);
  B.Scheduler.release("acme-1", B.Now);
  REQUIRE(B.placed() == Ids{"small-1"});
}

// Replays the first moments after the entries were cut from each other: each
// coordinates itself and knows nothing of the others' work, so all of them used
// to choose the same engine. Their requests have ids of their own.
TEST_CASE("schedulers that know little spread over the engines") {
  constexpr int Count = 12;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < Count; ++I) {
    SchedulerBench B;
    B.Scheduler.setKnownShare(1.0 / Count);
    for (int J = 0; J < Count; ++J)
      B.add(engine("d" + std::to_string(J), EngineStage::Decode));
    const std::string Id = "entry-" + std::to_string(I) + "/1";
    B.Scheduler.submit(B.need(Id));
    REQUIRE(B.placed() == Ids{Id});
    ++Chosen[B.Last.Decode];
  }
  for (const auto &[Id, Times] : Chosen)
    CHECK(Times <= 4);
}

// Guards against engines that idle while a large request, which fits into none
// of them, waits before a small one.
TEST_CASE("a request that fits nowhere now holds nobody up") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("running"));
  REQUIRE(B.placed() == Ids{"running"});
  B.Scheduler.submit(B.need("large", 8'000));
  REQUIRE(B.placed().empty());
  B.Scheduler.submit(B.need("small"));
  CHECK(B.placed() == Ids{"small"});
}

// Guards against a peer that is cut off itself: an endpoint that only it cannot
// reach still serves when no other one has room.
TEST_CASE("an endpoint that a peer cannot reach is used last") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("d2", EngineStage::Decode, "zone-b"));
  B.Table.recordOfPeer("peer", "d1", HealthSignal::Unreachable, B.Now);
  for (const char *Id : {"1", "2", "3"}) {
    B.Scheduler.submit(B.need(Id));
    REQUIRE(B.placed() == Ids{Id});
    CHECK(B.Last.Decode == (std::string(Id) == "3" ? "d1" : "d2"));
  }
}

// Guards against requests that wait for their deadline although those before
// them use up their time: they are refused at once, with a time to return that
// callers honour.
TEST_CASE("a request that cannot be served in time is refused at once") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  for (int I = 0; I < 14; ++I)
    B.Scheduler.submit(B.need(std::to_string(I)));
  REQUIRE(B.placed().size() == 2);
  REQUIRE_FALSE(B.Refusals.empty());
  for (const StreamRefusal &R : B.Refusals) {
    REQUIRE(R.Reason == StreamRefusalReason::QueueTooLong);
    REQUIRE(R.RetryAfter > milliseconds(0));
    REQUIRE(R.RetryAfter <= milliseconds(14'000 / 3));
  }
}

// Guards against a prompt that is larger than any engine and waits for ever.
TEST_CASE("a request that fits no engine is refused at once") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("huge", 20'000));
  REQUIRE(B.placed().empty());
  REQUIRE(B.Refusals.at(0).Reason == StreamRefusalReason::TooLarge);
}

// Replays an engine that crashes between prefill and decode at full load: the
// request moves to a crowded engine rather than having its prompt read again.
TEST_CASE("a prompt that was read may use memory that new requests may not") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(engine("d2", EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  B.Scheduler.submit(B.need("other-1", 4'000));
  B.Scheduler.submit(B.need("other-2", 1'400));
  B.Scheduler.submit(B.need("moved", 3'000));
  REQUIRE(B.placed().size() == 3);
  const std::string Failed = B.Last.Decode;
  B.Scheduler.submit(B.need("filler", 1'400));
  REQUIRE(B.placed().size() == 1);
  B.Scheduler.release("moved", B.Now);
  StreamNeed New = B.need("new", 3'000);
  New.Avoid = {Failed};
  B.Scheduler.submit(New);
  REQUIRE(B.placed().empty());
  B.Scheduler.cancel("new");
  StreamNeed Moved = New;
  Moved.Id = "moved";
  Moved.HasCache = true;
  B.Scheduler.submit(Moved);
  REQUIRE(B.placed() == Ids{"moved"});
  CHECK(B.Last.Decode != Failed);
  CHECK(B.Last.Prefill.empty());
}

// Guards against memory that is promised twice when an answer turns out longer
// than expected.
TEST_CASE("a longer answer extends its reservation") {
  SchedulerBench B;
  B.add(engine("d1", EngineStage::Decode));
  B.Scheduler.submit(B.need("1", 3'000, 500));
  REQUIRE(B.placed().size() == 1);
  const std::int64_t Before = B.Table.find("d1")->total().Tokens;
  B.Scheduler.outputGrew("1", 400);
  REQUIRE(B.Table.find("d1")->total().Tokens == Before);
  B.Scheduler.outputGrew("1", 600);
  REQUIRE(B.Table.find("d1")->total().Tokens > Before);
  B.Scheduler.release("1", B.Now);
  REQUIRE(B.Table.find("d1")->total().Tokens == 0);
}

} // namespace hyssoprail::routing
