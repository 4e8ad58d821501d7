#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/request/flow_simulation.hpp"

namespace hyssoprail {
namespace {

using testing::FlowFaults;
using testing::FlowSimulation;

FlowSpec completionSpec() {
  FlowSpec Spec;
  Spec.RequestId = "r1";
  Spec.Account = "acme";
  Spec.KeyDigest = "digest";
  Spec.DebitTokens = 24;
  Spec.Completion.Prompt = "a b c d";
  Spec.Completion.PromptTokens = 4;
  Spec.Completion.MaxTokens = 20;
  Spec.Completion.Stream = true;
  return Spec;
}

FlowSpec callSpec(bool Repeatable) {
  FlowSpec Spec;
  Spec.RequestId = "r1";
  Spec.Account = "acme";
  Spec.KeyDigest = "digest";
  Spec.DebitTokens = 10;
  Spec.Call.Repeatable = Repeatable;
  return Spec;
}

double probability(int MaxPercent) {
  return *rc::gen::inRange(0, MaxPercent + 1) / 100.0;
}

FlowFaults anyFaults() {
  FlowFaults F;
  F.Lose = probability(30);
  F.Duplicate = probability(30);
  F.Refuse = probability(30);
  F.Fail = probability(30);
  F.Restart = probability(3);
  F.Replace = probability(5);
  F.Leave = *rc::gen::inRange(0, 4) == 0 ? 0.01 : 0;
  F.Withdraw = *rc::gen::inRange(0, 4) == 0 ? 0.01 : 0;
  return F;
}

std::uint64_t anySeed() { return *rc::gen::inRange<std::uint64_t>(1, 1 << 30); }

int runs(const FlowSimulation &W) {
  int Sum = 0;
  for (const auto &[Endpoint, Count] : W.Runs)
    Sum += Count;
  return Sum;
}

/// What holds for every request, however it ends.
void checkEnd(const FlowSimulation &W, std::uint64_t Debit) {
  RC_ASSERT(W.Flow->finished());
  RC_ASSERT(W.Flow->liveLegs().empty());
  RC_ASSERT(W.terminals() == (W.Left ? 0U : 1U));
  RC_ASSERT(W.Refunds.size() <= 1U);
  for (const std::uint64_t Tokens : W.Refunds)
    RC_ASSERT(Tokens <= Debit);
  for (const Refusal &R : W.Refusals)
    RC_ASSERT(!R.NotRun || runs(W) == 0);
  RC_ASSERT(W.Checks.violations() == 0U);
}

} // namespace

// Guards against lost, repeated or foreign tokens, a second or missing
// terminal answer, and a false "not run", under any mix of faults.
TEST_CASE("a completion gives one whole answer under faults") {
  CHECK(rc::check("completion", [] {
    FlowSimulation W(anySeed(), anyFaults(), completionSpec(), false);
    W.run();
    checkEnd(W, 24);
    RC_ASSERT(W.textIsPrefix());
    if (W.Finishes == 1) {
      RC_ASSERT(W.Text.size() == W.Length);
      RC_ASSERT(W.FinishedTokens == W.Length);
    }
  }));
}

// Guards against a request that ends for a fault which another endpoint could
// have made good.
TEST_CASE("a completion survives losses, repeats and crossings") {
  CHECK(rc::check("completion without failures", [] {
    FlowFaults F;
    F.Lose = probability(20);
    F.Duplicate = probability(30);
    F.Replace = probability(5);
    FlowSimulation W(anySeed(), F, completionSpec(), false);
    W.run();
    checkEnd(W, 24);
    RC_ASSERT(W.textIsPrefix());
    RC_CLASSIFY(W.Finishes == 1, "finished");
    if (F.Lose < 0.02)
      RC_ASSERT(W.Finishes == 1U);
  }));
}

// Guards against a non-repeatable call that runs twice or whose outcome is
// misreported.
TEST_CASE("a non-repeatable call runs at most once under faults") {
  CHECK(rc::check("call", [] {
    FlowSimulation W(anySeed(), anyFaults(), callSpec(false), true);
    W.run();
    checkEnd(W, 10);
    RC_ASSERT(W.CallRuns <= 1);
    RC_ASSERT(W.Answers == 0U || W.CallRuns == 1);
    for (const Refusal &R : W.Refusals)
      RC_ASSERT(R.NotRun || R.Cause.Kind == ErrorKind::OutcomeUnknown);
  }));
}

// Guards against a repeatable call that is not retried.
TEST_CASE("a repeatable call is retried under faults") {
  CHECK(rc::check("repeatable call", [] {
    FlowFaults F = anyFaults();
    FlowSimulation W(anySeed(), F, callSpec(true), true);
    W.run();
    checkEnd(W, 10);
    for (const Refusal &R : W.Refusals)
      RC_ASSERT(R.Cause.Kind != ErrorKind::OutcomeUnknown);
  }));
}

} // namespace hyssoprail
