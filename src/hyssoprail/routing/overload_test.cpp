#include <algorithm>
#include <random>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "overload_load.hpp"

namespace hyssoprail::routing {
namespace {

using namespace std::chrono_literals;
using testing::LoadKind;
using testing::OverloadLoad;

using Kinds = std::vector<LoadKind>;

/// Share of the requests of a kind that must be on time if the kind's own load
/// fits the capacity.
constexpr double Target = 0.95;

/// A request is refused as soon as it cannot be on time, so not after its
/// objective.
constexpr Duration Objective = 900ms;

constexpr OverloadMode Mode = OverloadMode::LeastCost;

/// Kinds of priority 0, 1 and 2 with loads in multiples of the capacity.
Kinds byPriority(double P0, double P1, double P2) {
  return {{"acme", 0, 1'600, P0 * OverloadLoad::Capacity},
          {"acme", 1, 1'600, P1 * OverloadLoad::Capacity},
          {"acme", 2, 1'600, P2 * OverloadLoad::Capacity}};
}

/// A load that has been normal for some seconds.
OverloadLoad warmLoad() {
  OverloadLoad Out(Mode);
  Out.run(4s, byPriority(0.2, 0.2, 0.2));
  Out.reset();
  return Out;
}

OverloadInput input(const std::string &Id) {
  OverloadInput Out;
  Out.Id = Id;
  Out.Priority = *rc::gen::inRange(0, 4);
  Out.RoutePriority = *rc::gen::inRange(0, 3);
  Out.Promised = *rc::gen::inRange(0, 4) == 0;
  Out.AccountLoad = *rc::gen::inRange(0, 3);
  Out.Work = *rc::gen::inRange(1, 5);
  Out.Arrival = testing::Start - milliseconds(*rc::gen::inRange(0, 2'000));
  Out.ObjectiveDeadline = Out.Arrival + 900ms;
  Out.GiveUpAt = Out.Arrival + 3'600ms;
  return Out;
}

/// A request with the deadlines of a first try at \p Arrival.
StreamRequest request(const std::string &Id, TimePoint Arrival) {
  StreamRequest R;
  R.Id = Id;
  R.Service = "assistant";
  R.Arrival = Arrival;
  R.ObjectiveDeadline = Arrival + 900ms;
  R.GiveUpAt = Arrival + 3'600ms;
  R.CallerBudget = 14s;
  return R;
}

std::vector<std::string> orderedIds(const std::vector<OverloadInput> &Queue) {
  std::vector<std::string> Out;
  for (const std::size_t I :
       OverloadPolicy::order(Queue, TimeToFirstEvent, testing::Start))
    Out.emplace_back(Queue[I].Id);
  return Out;
}

} // namespace

// Load: all kinds at three times their usual rate, 1.8 times the capacity.
TEST_CASE("a surge of all requests delays the most urgent ones least") {
  OverloadLoad L = warmLoad();
  L.run(14s, byPriority(0.6, 0.6, 0.6));
  CHECK(L.counts(0).onTimeShare() >= Target);
  CHECK(L.counts(0).servedShare() >= L.counts(1).servedShare());
  CHECK(L.counts(1).servedShare() >= L.counts(2).servedShare());
  CHECK(L.total().LongestWaitForRefusal <= Objective);
}

// Load: the least urgent kind at 2.4 times the capacity.
TEST_CASE("a surge of the least urgent kind harms only itself") {
  OverloadLoad L = warmLoad();
  L.run(14s, byPriority(0.2, 0.2, 2.4));
  CHECK(L.counts(0).onTimeShare() >= Target);
  CHECK(L.counts(1).onTimeShare() >= Target);
  CHECK(L.total().LongestWaitForRefusal <= Objective);
}

// Load: the most urgent kind at 1.6 times the capacity.
TEST_CASE("a surge of the most urgent kind is refused at once") {
  OverloadLoad L = warmLoad();
  L.run(14s, byPriority(1.6, 0.2, 0.2));
  CHECK(L.counts(0).servedShare() >= L.counts(1).servedShare());
  CHECK(L.total().LongestWaitForRefusal <= Objective);
}

// Load: as above. The other kinds must not be shut out (R6).
TEST_CASE("no kind is served less than a quarter as often as all",
          "[starved_kind]") {
  OverloadLoad L = warmLoad();
  L.run(14s, byPriority(1.6, 0.2, 0.2));
  for (const std::size_t Kind : {1U, 2U})
    CHECK(L.counts(Kind).servedShare() >= L.total().servedShare() / 4);
}

// Load: one account at ten times the rate of another of its priority.
TEST_CASE("an account at ten times its rate harms only itself") {
  OverloadLoad L = warmLoad();
  L.run(14s, {{"flood", 1, 1'600, 2 * OverloadLoad::Capacity},
              {"quiet", 1, 1'600, 0.2 * OverloadLoad::Capacity}});
  CHECK(L.counts(1).onTimeShare() >= Target);
  CHECK(L.counts(0).servedShare() >= L.total().servedShare() / 4);
}

// Load: 0.9 of the capacity, of which half is lost at once.
TEST_CASE("with half of the engines gone the most urgent kind is on time") {
  OverloadLoad L = warmLoad();
  L.run(4s, byPriority(0.3, 0.3, 0.3));
  for (const char *Id : {"d0", "d1", "d2", "d3"})
    L.Table.remove(Id);
  L.reset();
  L.run(10s, byPriority(0.3, 0.3, 0.3));
  CHECK(L.counts(0).onTimeShare() >= Target);
  CHECK(L.total().LongestWaitForRefusal <= Objective);
}

// Load: five requests in a second for each place, then the usual load while
// the callers who were refused together return.
TEST_CASE(
    "callers who were refused together find the room they were promised") {
  OverloadLoad L = warmLoad();
  L.run(1s, byPriority(0, 5, 0));
  L.reset();
  L.run(8s, byPriority(0, 0.2, 0));
  CHECK(L.counts(1).PromisedReturns >= 40);
  CHECK(L.counts(1).PromisedOnTime >= Target * L.counts(1).PromisedReturns);
}

// Load: a kind at eight times its rate for 14 s. The returns of its callers
// must not hold back fresh requests.
TEST_CASE("on-time service is back 2 s after a flood") {
  OverloadLoad L = warmLoad();
  L.run(14s, byPriority(0.2, 1.6, 0.2));
  L.run(2s, byPriority(0.2, 0.2, 0.2));
  L.reset();
  L.run(6s, byPriority(0.2, 0.2, 0.2));
  CHECK(L.counts(0).onTimeShare() >= Target);
  CHECK(L.counts(1).onTimeShare() >= Target);
}

// Load: 2 s at 1.8 times the capacity and 2 s at 0.3, five times.
TEST_CASE("waves of demand leave the most urgent kind on time") {
  OverloadLoad L = warmLoad();
  for (int I = 0; I < 5; ++I) {
    L.run(2s, byPriority(0.6, 0.6, 0.6));
    L.run(2s, byPriority(0.1, 0.1, 0.1));
  }
  CHECK(L.counts(0).onTimeShare() >= Target);
  CHECK(L.total().LongestWaitForRefusal <= Objective);
}

// Load: twice the capacity in three sizes. Small work goes first; the largest
// tenth must be served at least half as often as all (R6).
TEST_CASE("large requests are not starved by small ones") {
  OverloadLoad L = warmLoad();
  L.run(28s, {{"acme", 1, 800, 0.9 * OverloadLoad::Capacity},
              {"acme", 1, 1'600, 0.9 * OverloadLoad::Capacity},
              {"acme", 1, 8'000, 0.18 * OverloadLoad::Capacity}});
  CHECK(L.counts(2).servedShare() >= L.total().servedShare() / 2);
}

// Guards against deployments whose order changes although nothing calls for it
// (R1).
TEST_CASE("auto puts the policy in force only for uneven services") {
  const auto RefusedByPolicy = [](int SecondPriority, double SpeedFactor) {
    OverloadLoad L(OverloadMode::Auto);
    auto Config = testing::testConfig();
    RoutePolicy First;
    First.Services = {{"assistant", 1}};
    RoutePolicy Second = First;
    Second.Priority = SecondPriority;
    Config->Routes = {First, Second};
    L.Scheduler.configure(Config);
    L.Table.find("d0")->SpeedFactor = SpeedFactor;
    for (int I = 0; I < 400; ++I) {
      StreamRequest R = request(std::to_string(I), testing::Start);
      R.PromptTokens = 2'000;
      L.Scheduler.submit(R);
    }
    std::optional<bool> Out;
    for (const StreamDecision &D : L.Scheduler.poll(testing::Start))
      if (const auto *R = std::get_if<StreamRefusal>(&D))
        Out = R->Inputs.has_value();
    return Out;
  };
  CHECK(RefusedByPolicy(0, 1) == false);
  CHECK(RefusedByPolicy(1, 1) == true);
  CHECK(RefusedByPolicy(0, 0.7) == true);
}

// Guards against a caller that loses the room it was promised to less urgent
// work, and against promises that outlive the coordinator's term.
TEST_CASE("room is kept for a promised return until the term ends") {
  for (const bool NewTerm : {false, true}) {
    OverloadLoad L(Mode);
    for (int I = 0; I < 8; ++I)
      if (I > 0)
        L.Table.remove("d" + std::to_string(I));
    const auto Send = [&](const std::string &Id, int Priority, bool IsRetry,
                          TimePoint At) {
      StreamRequest R = request(Id, At);
      R.Account = "acme";
      R.Priority = Priority;
      R.PromptTokens = IsRetry || Priority == 0 ? 8'000 : 7'000;
      R.OutputTokens = 1'000;
      R.GiveUpAt = At + 1'000ms;
      R.IsRetry = IsRetry;
      L.Scheduler.submit(R);
      return L.Scheduler.poll(At);
    };
    REQUIRE(std::holds_alternative<StreamPlacement>(
        Send("running", 0, false, testing::Start).at(0)));
    const auto Refused = Send("refused", 0, false, testing::Start);
    const auto &R = std::get<StreamRefusal>(Refused.at(0));
    REQUIRE(R.Inputs->Promised);
    const TimePoint At = testing::Start + R.RetryAfter;
    L.Scheduler.release("running", At);
    if (NewTerm)
      L.Scheduler.clear(At);
    CHECK(Send("other", 2, false, At - 50ms).empty() != NewTerm);
    if (!NewTerm)
      CHECK(std::get<StreamPlacement>(Send("back", 0, true, At).at(0)).Id ==
            "back");
  }
}

// Guards against requests that get no decision or two of them; the load throws
// at a second one.
TEST_CASE("every request gets exactly one decision under the policy") {
  const bool Passed = rc::check("one decision", [] {
    OverloadLoad L(OverloadMode::LeastCost);
    for (int Phase = 0; Phase < 4; ++Phase) {
      const auto Rate = [] { return *rc::gen::inRange(0, 20) / 10.0; };
      const double P0 = Rate();
      const double P1 = Rate();
      L.run(700ms, byPriority(P0, P1, Rate()));
    }
    L.run(20s, {});
    RC_ASSERT(L.undecided() == 0);
  });
  REQUIRE(Passed);
}

// Guards against a refusal while an engine has room, and against decisions that
// depend on the order in which reports arrive.
TEST_CASE("one decision uses all room, whatever the order of submissions") {
  const bool Passed = rc::check("room", [] {
    const int Count = *rc::gen::inRange(1, 80);
    std::vector<StreamRequest> Requests;
    for (int I = 0; I < Count; ++I) {
      StreamRequest R;
      R.Id = std::to_string(I);
      R.Service = "assistant";
      R.Account = "acme";
      R.Priority = *rc::gen::inRange(0, 3);
      R.PromptTokens = *rc::gen::inRange<std::uint32_t>(100, 9'000);
      R.OutputTokens = 200;
      R.Arrival = testing::Start - milliseconds(*rc::gen::inRange(0, 800));
      R.ObjectiveDeadline = R.Arrival + 900ms;
      R.GiveUpAt = R.Arrival + 3'600ms;
      R.CallerBudget = 14s;
      Requests.push_back(R);
    }
    std::vector<std::set<std::string>> Placed;
    for (const unsigned Seed : {1U, 2U}) {
      OverloadLoad L(OverloadMode::LeastCost);
      std::shuffle(Requests.begin(), Requests.end(), std::mt19937(Seed));
      std::map<std::string, std::int64_t> Tokens;
      for (const StreamRequest &R : Requests) {
        Tokens[R.Id] = requiredKvTokens(R);
        L.Scheduler.submit(R);
      }
      std::set<std::string> &Ids = Placed.emplace_back();
      for (const StreamDecision &D : L.Scheduler.poll(testing::Start)) {
        if (const auto *P = std::get_if<StreamPlacement>(&D))
          Ids.insert(P->Id);
        else
          RC_ASSERT(!L.Scheduler.hasRoom(
              "assistant", Tokens.at(std::get<StreamRefusal>(D).Id),
              [](const std::string &) { return true; }, testing::Start));
      }
    }
    RC_ASSERT(Placed[0] == Placed[1]);
  });
  REQUIRE(Passed);
}

// Guards against a request that loses its place by becoming more urgent, and
// against an order that depends on that of the queue.
TEST_CASE("the order is monotone in priority and independent of the queue") {
  const bool Passed = rc::check("order", [] {
    const int Count = *rc::gen::inRange(1, 30);
    std::vector<std::string> Ids;
    Ids.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Ids.push_back(std::to_string(I));
    std::vector<OverloadInput> Queue;
    Queue.reserve(Ids.size());
    for (const std::string &Id : Ids)
      Queue.push_back(input(Id));
    const auto Before = orderedIds(Queue);
    auto Shuffled = Queue;
    std::shuffle(Shuffled.begin(), Shuffled.end(), std::mt19937(1));
    RC_ASSERT(orderedIds(Shuffled) == Before);
    const auto Which = *rc::gen::inRange<std::size_t>(0, Queue.size());
    const std::string Id(Queue[Which].Id);
    --Queue[Which].Priority;
    const auto After = orderedIds(Queue);
    RC_ASSERT(std::find(After.begin(), After.end(), Id) - After.begin() <=
              std::find(Before.begin(), Before.end(), Id) - Before.begin());
  });
  REQUIRE(Passed);
}

} // namespace hyssoprail::routing
