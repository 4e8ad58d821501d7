// Rollouts over a store that comes back from a copy, and with few answers.
#include <catch2/catch.hpp>

#include "hyssoprail/rollout/rollout_controller.hpp"
#include "hyssoprail/rollout/rollout_gate.hpp"
#include "hyssoprail/rollout/version_comparison.hpp"

namespace hyssoprail::rollout {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};
constexpr OrderId FirstId{1, 7};
constexpr OrderId IdAfterRestore{2, 3};

RolloutOrder orderWith(OrderId Id) {
  return {"s1", "v2", milliseconds(12'000), Id};
}

RolloutPhase phaseOf(const RolloutController &C) {
  return C.decisionsFor("e1", 1).at(0).Phase;
}

} // namespace

// Guards against a rollout that begins anew at an entry which reads its order
// only after the store came back from a copy, in a new era: a bad version that
// had been rolled back got 790 requests where 176 are allowed.
TEST_CASE("a final state holds for the order in a later era") {
  for (const RolloutState State :
       {RolloutState::RolledBack, RolloutState::Completed}) {
    const StatusRecord Stored{"s1", "v2", FirstId, State};
    const RolloutPhase Expected = State == RolloutState::Completed
                                      ? RolloutPhase::Completed
                                      : RolloutPhase::RolledBack;
    RolloutController StateFirst({0.1, 50});
    StateFirst.applyStored(Stored);
    StateFirst.order(orderWith(IdAfterRestore), {}, Now);
    CHECK(phaseOf(StateFirst) == Expected);
    CHECK(StateFirst.unwritten().empty());
    RolloutController OrderFirst({0.1, 50});
    OrderFirst.order(orderWith(IdAfterRestore), {}, Now);
    OrderFirst.applyStored(Stored);
    CHECK(phaseOf(OrderFirst) == Expected);
    OrderFirst.order(orderWith({3, 1}), {}, Now);
    CHECK(phaseOf(OrderFirst) == Expected);
  }
}

// Guards against an order for another version that counts as ended, too.
TEST_CASE("a final state does not hold for another target") {
  RolloutController C({0.1, 50});
  C.applyStored({"s1", "v1", FirstId, RolloutState::RolledBack});
  C.order(orderWith(IdAfterRestore), {}, Now);
  CHECK(phaseOf(C) == RolloutPhase::Canary);
}

// Guards against entries that send to a version again which they know as rolled
// back, because its order has another id now.
TEST_CASE("a gate keeps a rollback over eras of the store") {
  RolloutGate Gate;
  Gate.applyStored("s1", "v2", FirstId, RolloutState::RolledBack);
  RolloutDecision D;
  D.Service = "s1";
  D.Target = "v2";
  D.Order = IdAfterRestore;
  D.Allowance = 10;
  Gate.applyDecision(D);
  CHECK(Gate.choose({"s1", true, 1, {}}, Now).Use == VersionChoice::Kind::Old);
  CHECK(Gate.isUnproven("s1", "v2"));
  RolloutGate Canary;
  Canary.applyDecision(D);
  Canary.applyStored("s1", "v2", FirstId, RolloutState::RolledBack);
  CHECK(Canary.choose({"s1", true, 1, {}}, Now).Use ==
        VersionChoice::Kind::Old);
}

// Guards against an allowance that is lent once more when the store comes back
// from a copy: the target got twice what is allowed.
TEST_CASE("what was sent to the target counts on after a restore") {
  RolloutGate Gate;
  RolloutDecision D;
  D.Service = "s1";
  D.Target = "v2";
  D.Order = FirstId;
  D.Allowance = 1;
  Gate.applyDecision(D);
  REQUIRE(Gate.choose({"s1", true, 1, {}}, Now).Use ==
          VersionChoice::Kind::Target);
  D.Order = IdAfterRestore;
  Gate.applyDecision(D);
  CHECK(Gate.choose({"s1", true, 1, {}}, Now).Use == VersionChoice::Kind::Old);
  CHECK(Gate.evidence(Now).at(0).Order == IdAfterRestore);
  RolloutController C({0.1, 50});
  C.startTerm(Now);
  C.order(orderWith(IdAfterRestore), {}, Now + milliseconds(1));
  RolloutEvidence E;
  E.Service = "s1";
  E.Order = IdAfterRestore;
  C.observe("e1", 1, E);
  E.Requests = 10;
  C.observe("e1", 1, E);
  C.poll(Now + milliseconds(100));
  CHECK(C.decisionsFor("e1", 1).at(0).Allowance == 0);
}

// Guards against a version ten times slower that is completed because no route
// alone has the answers that a comparison needs.
TEST_CASE("slow answers on several routes count together") {
  constexpr int OldAnswers = 40;
  constexpr int TargetAnswers = 3;
  VersionAnswers Answers;
  for (const char *Route : {"r0", "r1", "r2"}) {
    for (int I = 0; I < OldAnswers; ++I)
      Answers.Old[Route].addSuccess(milliseconds(25));
    for (int I = 0; I < TargetAnswers; ++I)
      Answers.Target[Route].addSuccess(milliseconds(250));
  }
  CHECK(compareVersions(Answers).Reason == RollbackReason::Slow);
  for (const char *Route : {"r0", "r1", "r2"}) {
    Answers.Target[Route] = {};
    for (int I = 0; I < TargetAnswers; ++I)
      Answers.Target[Route].addSuccess(milliseconds(30));
  }
  CHECK(compareVersions(Answers).Reason == RollbackReason::None);
}

} // namespace hyssoprail::rollout
