#include "hyssoprail/rollout/rollout_gate.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::rollout {
namespace {

using Kind = VersionChoice::Kind;

constexpr TimePoint Now{std::chrono::seconds(100)};

void decide(RolloutGate &Gate, std::uint64_t Order, const std::string &Target,
            RolloutPhase Phase) {
  RolloutDecision D;
  D.Service = "s1";
  D.Target = Target;
  D.Order = {1, Order};
  D.Phase = Phase;
  D.Allowance = 1;
  D.CompletesAt = Now + milliseconds(1'000);
  Gate.applyDecision(D);
}

VersionChoice choose(RolloutGate &Gate, TimePoint At = Now) {
  return Gate.choose({"s1", true, 1, milliseconds(10)}, At);
}

} // namespace

// Guards against sends to a version that was rolled back after the request had
// chosen it, or to old endpoints that have stopped.
TEST_CASE("a choice follows the end of its rollout") {
  RolloutGate RolledBack;
  decide(RolledBack, 1, "v2", RolloutPhase::Canary);
  const VersionChoice Target = choose(RolledBack);
  REQUIRE(Target.Use == Kind::Target);
  CHECK(RolledBack.update("s1", Target).Use == Kind::Target);
  decide(RolledBack, 1, "v2", RolloutPhase::RolledBack);
  CHECK(RolledBack.update("s1", Target).Use == Kind::Old);
  RolloutGate Completed;
  decide(Completed, 1, "v2", RolloutPhase::Canary);
  choose(Completed);
  const VersionChoice Old = choose(Completed);
  REQUIRE(Old.Use == Kind::Old);
  decide(Completed, 1, "v2", RolloutPhase::Completed);
  CHECK(Completed.update("s1", Old).Use == Kind::Target);
}

// Guards against requests that were admitted before the order, or chose the
// target of one that was replaced, and then run at an unproven version.
TEST_CASE("a choice does not outlast the order it was made under") {
  RolloutGate Gate;
  const VersionChoice Any = choose(Gate);
  REQUIRE(Any.Use == Kind::Any);
  CHECK(Gate.update("s1", Any).Use == Kind::Any);
  decide(Gate, 1, "v2", RolloutPhase::Canary);
  CHECK(Gate.update("s1", Any).Use == Kind::Old);
  const VersionChoice Target = choose(Gate);
  REQUIRE(Target.Target == "v2");
  decide(Gate, 2, "v3", RolloutPhase::Canary);
  const VersionChoice Updated = Gate.update("s1", Target);
  CHECK(Updated.Use == Kind::Old);
  CHECK(Updated.Target == "v3");
  CHECK(Gate.isUnproven("s1", "v2"));
}

// Guards against a service that gets no more work when its endpoints are
// replaced by those of another version, without an order, after a rollout.
TEST_CASE("a completed rollout does not bind the service for ever") {
  RolloutGate Gate;
  decide(Gate, 1, "v2", RolloutPhase::Completed);
  REQUIRE(choose(Gate).Use == Kind::Target);
  CHECK(choose(Gate, Now + milliseconds(14'000)).Use == Kind::Target);
  const VersionChoice Later = choose(Gate, Now + milliseconds(16'000));
  CHECK(Later.Use == Kind::Any);
  CHECK(Gate.update("s1", Later).Use == Kind::Any);
}

} // namespace hyssoprail::rollout
