// Tests of what a configuration with thousands of routes costs.
#include <catch2/catch.hpp>

#include "hyssoprail/routing/service_history.hpp"
#include "hyssoprail/testing/cpu_time.hpp"

namespace hyssoprail::routing {
namespace {

using hyssoprail::testing::leastCpuTime;

constexpr unsigned FewRoutes = 500;
constexpr unsigned ManyRoutes = 4'000;
constexpr unsigned Growth = ManyRoutes / FewRoutes;

/// Look-ups that are timed together.
constexpr unsigned LookUps = 1'000;

/// Where each step goes through all routes, the time grows with the square of
/// \c Growth.
constexpr unsigned MaxTimeGrowth = 3 * Growth;

/// A look-up that goes through all routes takes \c Growth times as long.
constexpr unsigned MaxLookUpGrowth = Growth / 2;

FleetConfig configWith(unsigned Routes) {
  constexpr unsigned Hosts = 10;
  FleetConfig Out;
  for (unsigned I = 0; I < Routes; ++I) {
    RoutePolicy R;
    R.Name = "r" + std::to_string(I);
    R.Host = "host" + std::to_string(I % Hosts) + ".example";
    R.PathPrefix = "/path" + std::to_string(I) + "/";
    R.Kind = RouteKind::Stream;
    R.Resumable = true;
    R.Services = {{"engines", 1}};
    Out.Routes.add(R);
  }
  return Out;
}

Duration replaceTime(unsigned Routes) {
  const FleetConfig Old = configWith(Routes);
  const FleetConfig New = configWith(Routes + 1);
  const TimePoint Now{std::chrono::hours(1)};
  return leastCpuTime([&] { ServiceHistory().replaced(Old, New, Now, Now); });
}

Duration lookUpTime(unsigned Routes) {
  const FleetConfig Config = configWith(Routes);
  unsigned Found = 0;
  const Duration Out = leastCpuTime([&] {
    for (unsigned I = 0; I < LookUps; ++I)
      Found += Config.route("host9.example:80", "/path499/x") ? 1 : 0;
  });
  REQUIRE(Found % LookUps == 0);
  REQUIRE(Found > 0);
  return Out;
}

Duration priorityTime(unsigned Routes) {
  const FleetConfig Config = configWith(Routes);
  return leastCpuTime([&] {
    for (unsigned I = 0; I < LookUps; ++I)
      REQUIRE_FALSE(Config.Routes.prioritiesDiffer("engines"));
  });
}

} // namespace

// Guards against a configuration that comes into force seconds late at small
// VMs, whose event loops stood still while each route was compared with all.
TEST_CASE("a configuration replaces another in time that its routes take",
          "[many_routes]") {
  CHECK(replaceTime(ManyRoutes) < MaxTimeGrowth * replaceTime(FewRoutes));
}

// Guards against requests that cost more processor time with each route.
TEST_CASE("a route is found without a look at all routes", "[many_routes]") {
  CHECK(lookUpTime(ManyRoutes) < MaxLookUpGrowth * lookUpTime(FewRoutes));
}

// Guards against placements that cost more processor time with each route.
TEST_CASE("the priorities of a service are known without a look at all routes",
          "[many_routes]") {
  CHECK(priorityTime(ManyRoutes) < MaxLookUpGrowth * priorityTime(FewRoutes));
}

} // namespace hyssoprail::routing
