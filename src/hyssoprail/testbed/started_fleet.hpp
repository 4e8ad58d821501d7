#ifndef HYSSOPRAIL_TESTBED_STARTED_FLEET_HPP
#define HYSSOPRAIL_TESTBED_STARTED_FLEET_HPP

#include <catch2/catch.hpp>

#include "hyssoprail/testbed/fleet_probe.hpp"

namespace hyssoprail::testbed {

/// A started fleet whose limits have an owner; for test programs.
class StartedFleet {
public:
  explicit StartedFleet(const FleetOptions &Options) : F(Options), Probe(F) {
    const Status S = F.start();
    if (const Error *E = errorOf(S))
      FAIL(E->Message + "; " + E->Remedy);
    for (unsigned I = 0; I < Options.Entries; ++I)
      REQUIRE(Probe.waitServing(std::chrono::seconds(20), I));
  }

  Fleet F;
  FleetProbe Probe;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_STARTED_FLEET_HPP
