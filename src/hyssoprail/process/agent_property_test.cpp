#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/process/agent_simulation.hpp"

namespace hyssoprail::agent_test {
namespace {

SimulationOptions anyWorld() {
  SimulationOptions O;
  O.Seed = *rc::gen::arbitrary<std::uint64_t>();
  O.Entries = *rc::gen::inRange(1U, 5U);
  O.Slots = *rc::gen::inRange(1U, 12U);
  O.Pieces = *rc::gen::inRange(4U, 32U);
  return O;
}

} // namespace

// Guards against memory that outlives its owner, grants beyond slots and
// pieces, work that runs twice, and overload of a cold engine, under message
// loss, delay, duplication and reordering, and faults of all processes.
TEST_CASE("an agent keeps its engine's bounds in a hostile world") {
  std::size_t Completed = 0;
  const bool Passed = rc::check("agent and engine", [&] {
    Simulation W(anyWorld(), AgentKind::Engine);
    W.run(milliseconds(15'000), false);
    RC_ASSERT(W.Fault == "");
    W.killEntries();
    W.run(milliseconds(7'000), true);
    RC_ASSERT(W.Fault == "");
    RC_ASSERT(W.stats().SlotsUsed == 0U);
    RC_ASSERT(W.stats().PiecesUsed == 0U);
    RC_ASSERT(W.engine().Works.empty());
    Completed += W.Completed;
  });
  CHECK(Passed);
  CHECK(Completed > 500);
}

// Guards against calls that run twice and against a false "not run".
TEST_CASE("a service's calls run at most once in a hostile world") {
  std::size_t Completed = 0;
  const bool Passed = rc::check("agent and service", [&] {
    SimulationOptions Options = anyWorld();
    Options.AgentFault = 0.003;
    Simulation W(Options, AgentKind::Service);
    W.run(milliseconds(10'000), false);
    RC_ASSERT(W.Fault == "");
    W.killEntries();
    W.run(milliseconds(5'000), true);
    RC_ASSERT(W.Fault == "");
    RC_ASSERT(W.stats().SlotsUsed == 0U);
    Completed += W.Completed;
  });
  CHECK(Passed);
  CHECK(Completed > 500);
}

} // namespace hyssoprail::agent_test
