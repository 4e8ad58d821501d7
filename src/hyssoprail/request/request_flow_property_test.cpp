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

double randomProbability(int MaxPercent) {
  return *rc::gen::inRange(0, MaxPercent + 1) / 100.0;
}

FlowFaults randomFaults() {
  FlowFaults F;
  F.LoseMessage = randomProbability(30);
  F.DuplicateMessage = randomProbability(30);
  F.RefuseStart = randomProbability(30);
  F.FailEngine = randomProbability(30);
  F.RestartAgent = randomProbability(3);
  F.ReplaceLink = randomProbability(5);
  F.Disconnect = *rc::gen::inRange(0, 4) == 0 ? 0.01 : 0;
  F.WithdrawKey = *rc::gen::inRange(0, 4) == 0 ? 0.01 : 0;
  return F;
}

std::uint64_t randomSeed() {
  return *rc::gen::inRange<std::uint64_t>(1, 1 << 30);
}

int totalRuns(const FlowSimulation &Sim) {
  int Sum = 0;
  for (const auto &[Endpoint, Count] : Sim.Runs)
    Sum += Count;
  return Sum;
}

/// Checks what must hold at the end of every request, whatever the faults.
void checkFinalState(const FlowSimulation &Sim, std::uint64_t Debit) {
  RC_ASSERT(Sim.Flow->finished());
  RC_ASSERT(Sim.Flow->liveLegs().empty());
  RC_ASSERT(Sim.terminalActions() == (Sim.CallerDisconnected ? 0U : 1U));
  RC_ASSERT(Sim.Refunds.size() <= 1U);
  for (const std::uint64_t Tokens : Sim.Refunds)
    RC_ASSERT(Tokens <= Debit);
  for (const Refusal &R : Sim.Refusals)
    RC_ASSERT(!R.NotRun || totalRuns(Sim) == 0);
  RC_ASSERT(Sim.Checks.violations() == 0U);
}

} // namespace

// Guards against lost, repeated or wrong tokens, a second or missing terminal
// action, and a false "not run", under any combination of faults.
TEST_CASE("a completion gives one complete answer under faults") {
  CHECK(rc::check("completion", [] {
    FlowSimulation Sim(randomSeed(), randomFaults(), completionSpec(), false);
    Sim.run();
    checkFinalState(Sim, 24);
    RC_ASSERT(Sim.receivedTokensAreCorrect());
    if (Sim.Finishes == 1) {
      RC_ASSERT(Sim.ReceivedTokens.size() == Sim.AnswerLength);
      RC_ASSERT(Sim.FinishedTokens == Sim.AnswerLength);
    }
  }));
}

// Guards against a request that fails because of lost, duplicated or reordered
// messages although the endpoints work, so that a resend or a retry at another
// endpoint could have completed it.
TEST_CASE("a completion survives lost, duplicated and reordered messages") {
  CHECK(rc::check("completion without failures", [] {
    FlowFaults F;
    F.LoseMessage = randomProbability(20);
    F.DuplicateMessage = randomProbability(30);
    F.ReplaceLink = randomProbability(5);
    FlowSimulation Sim(randomSeed(), F, completionSpec(), false);
    Sim.run();
    checkFinalState(Sim, 24);
    RC_ASSERT(Sim.receivedTokensAreCorrect());
    RC_CLASSIFY(Sim.Finishes == 1, "finished");
    if (F.LoseMessage < 0.02)
      RC_ASSERT(Sim.Finishes == 1U);
  }));
}

// Guards against a non-repeatable call that runs twice or whose outcome is
// misreported.
TEST_CASE("a non-repeatable call runs at most once under faults") {
  CHECK(rc::check("call", [] {
    FlowSimulation Sim(randomSeed(), randomFaults(), callSpec(false), true);
    Sim.run();
    checkFinalState(Sim, 10);
    RC_ASSERT(Sim.CallRuns <= 1);
    RC_ASSERT(Sim.Answers == 0U || Sim.CallRuns == 1);
    for (const Refusal &R : Sim.Refusals)
      RC_ASSERT(R.NotRun || R.Cause.Kind == ErrorKind::OutcomeUnknown);
  }));
}

// Guards against a repeatable call that ends with an unknown outcome instead of
// being retried.
TEST_CASE("a repeatable call is retried under faults") {
  CHECK(rc::check("repeatable call", [] {
    FlowFaults F = randomFaults();
    FlowSimulation Sim(randomSeed(), F, callSpec(true), true);
    Sim.run();
    checkFinalState(Sim, 10);
    for (const Refusal &R : Sim.Refusals)
      RC_ASSERT(R.Cause.Kind != ErrorKind::OutcomeUnknown);
  }));
}

} // namespace hyssoprail
