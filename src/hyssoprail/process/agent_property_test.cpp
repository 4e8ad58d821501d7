#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/process/agent_simulation.hpp"

namespace hyssoprail::agent_test {
namespace {

SimulationOptions arbitraryOptions() {
  SimulationOptions O;
  O.Seed = *rc::gen::arbitrary<std::uint64_t>();
  O.Entries = *rc::gen::inRange(1U, 5U);
  O.Slots = *rc::gen::inRange(1U, 12U);
  O.Pieces = *rc::gen::inRange(4U, 32U);
  return O;
}

} // namespace

// Guards against memory held after its owner's lease expired, grants beyond the
// engine's slots and pieces, work that runs twice, and overload of a cold
// engine. Messages are lost, delayed, duplicated and reordered, and all
// processes fail at random.
TEST_CASE("an agent respects its engine's limits under random faults") {
  std::size_t Completed = 0;
  const bool Passed = rc::check("agent and engine", [&] {
    Simulation Sim(arbitraryOptions(), AgentKind::Engine);
    Sim.run(milliseconds(15'000), false);
    RC_ASSERT(Sim.FirstError == "");
    Sim.killEntries();
    Sim.run(milliseconds(7'000), true);
    RC_ASSERT(Sim.FirstError == "");
    RC_ASSERT(Sim.stats().SlotsUsed == 0U);
    RC_ASSERT(Sim.stats().PiecesUsed == 0U);
    RC_ASSERT(Sim.engine().Works.empty());
    Completed += Sim.Completed;
  });
  CHECK(Passed);
  CHECK(Completed > 500);
}

// Guards against calls that run twice and calls reported as not run that ran.
TEST_CASE("service calls run at most once under random faults") {
  std::size_t Completed = 0;
  const bool Passed = rc::check("agent and service", [&] {
    SimulationOptions Options = arbitraryOptions();
    Options.AgentFault = 0.003;
    Simulation Sim(Options, AgentKind::Service);
    Sim.run(milliseconds(10'000), false);
    RC_ASSERT(Sim.FirstError == "");
    Sim.killEntries();
    Sim.run(milliseconds(5'000), true);
    RC_ASSERT(Sim.FirstError == "");
    RC_ASSERT(Sim.stats().SlotsUsed == 0U);
    Completed += Sim.Completed;
  });
  CHECK(Passed);
  CHECK(Completed > 500);
}

} // namespace hyssoprail::agent_test
