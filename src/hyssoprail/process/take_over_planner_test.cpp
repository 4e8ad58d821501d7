#include "hyssoprail/process/take_over_planner.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t Owner = 1;
constexpr std::uint64_t Self = 2;
constexpr std::uint64_t Restarted = 3;

LimitView makeView(std::uint64_t Version, std::vector<LimitMember> Members) {
  LimitView View;
  View.Version = Version;
  View.Members = std::move(Members);
  for (LimitShardOwner &Current : View.Owners)
    Current = {Owner, 10};
  return View;
}

} // namespace

// Guards against a take-over that is delayed by the OutageGrace of two minutes
// when a killed owner's replacement joins before its shards are taken over.
TEST_CASE("a recent member takes over from an owner that was restarted") {
  TakeOverPlanner Planner(LimitOptions{}, Self);
  RandomSource Random(1);
  const PromiseTable Promises;
  const TimePoint Start{seconds(1'000)};

  LimitView View = makeView(100, {{Owner, "a", 5}, {Self, "b", 100}});
  Planner.viewApplied(View, Start);
  Planner.setLivePeers({{Owner, 100, false}, {Self, 100, false}});
  CHECK(Planner.plan(View, Promises, Random, Start).empty());

  View = makeView(101, {{Self, "b", 100}, {Restarted, "a", 101}});
  Planner.setLivePeers({{Self, 101, false}, {Restarted, 101, false}});
  Planner.viewApplied(View, Start + seconds(1));
  Planner.plan(View, Promises, Random, Start + seconds(1));
  const auto Proposals =
      Planner.plan(View, Promises, Random, Start + seconds(5));
  REQUIRE(Proposals.size() == 1);
  CHECK(Proposals.front().Shards.size() == LimitShardCount);
}

// Guards against a take-over from an owner that may have extended its lease by
// the promises of members which do not include this process.
TEST_CASE("a recent member waits if the owner may not know it") {
  TakeOverPlanner Planner(LimitOptions{}, Self);
  RandomSource Random(1);
  const PromiseTable Promises;
  const TimePoint Start{seconds(1'000)};

  const LimitView View = makeView(100, {{Self, "b", 100}});
  Planner.viewApplied(View, Start);
  Planner.setLivePeers({{Owner, 99, false}, {Self, 100, false}});
  Planner.setLivePeers({{Self, 100, false}});
  Planner.plan(View, Promises, Random, Start);
  CHECK(Planner.plan(View, Promises, Random, Start + seconds(100)).empty());
  CHECK_FALSE(
      Planner.plan(View, Promises, Random, Start + seconds(130)).empty());
}

// Guards against a proposal that is sent again after this process was removed
// and rejoined: the owner may not know it as a member any more.
TEST_CASE("a proposal is dropped when this process rejoins") {
  TakeOverPlanner Planner(LimitOptions{}, Self);
  RandomSource Random(1);
  const PromiseTable Promises;
  const TimePoint Start{seconds(1'000)};

  Planner.viewApplied(makeView(100, {{Self, "b", 5}}), Start);
  Planner.setLivePeers({{Self, 100, false}});
  Planner.plan(makeView(100, {{Self, "b", 5}}), Promises, Random, Start);
  const auto Proposed = Planner.plan(makeView(100, {{Self, "b", 5}}), Promises,
                                     Random, Start + seconds(5));
  REQUIRE(Proposed.size() == 1);
  CHECK(Proposed.front().JoinedOffset == 5);

  const LimitView Rejoined = makeView(102, {{Self, "b", 102}});
  Planner.viewApplied(Rejoined, Start + seconds(6));
  CHECK(Planner.plan(Rejoined, Promises, Random, Start + seconds(20)).empty());
}

} // namespace hyssoprail
