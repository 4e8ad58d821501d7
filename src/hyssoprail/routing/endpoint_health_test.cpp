#include "hyssoprail/routing/endpoint_health.hpp"

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {

using testing::Start;

// Guards against traffic to a crashed endpoint that is still registered.
TEST_CASE("an unreachable endpoint is avoided, longer each time") {
  EndpointHealth Health;
  Health.record(HealthSignal::Unreachable, Start);
  REQUIRE_FALSE(Health.usable(Start));
  const Duration First = Health.avoidedUntil() - Start;
  Health.record(HealthSignal::Unreachable, Health.avoidedUntil());
  REQUIRE(Health.avoidedUntil() - Start - First > First);
  Health.record(HealthSignal::Success, Health.avoidedUntil());
  REQUIRE(Health.usable(Health.avoidedUntil()));
}

// Reproduces a route whose timeout is shorter than the work takes. Its timeouts
// once took healthy endpoints out of use, which made one order in twenty late.
TEST_CASE("timeouts among successes do not take an endpoint out of use") {
  EndpointHealth Health;
  for (int I = 0; I < 100; ++I) {
    Health.record(
        I % 5 == 0 ? HealthSignal::RouteTimeout : HealthSignal::Success, Start);
    REQUIRE(Health.usable(Start));
  }
}

// Guards against keeping an endpoint in use that hangs on most requests.
TEST_CASE("an endpoint that answers nothing in time is avoided") {
  EndpointHealth Health;
  for (int I = 0; I < 4; ++I)
    Health.record(HealthSignal::RouteTimeout, Start);
  REQUIRE_FALSE(Health.usable(Start));
}

// Reproduces a full engine whose load is not known: each consecutive refusal
// must keep further requests away for longer, until a success.
TEST_CASE("consecutive refusals lengthen the backoff") {
  EndpointHealth Health;
  Health.record(HealthSignal::Refused, Start);
  const TimePoint First = Health.avoidedUntil();
  Health.record(HealthSignal::Refused, First);
  REQUIRE(Health.avoidedUntil() - First > First - Start);
  REQUIRE(Health.failureShare() == 0);
}

// Guards against avoiding all endpoints of a service that fails a seventh of
// its requests by itself.
TEST_CASE("ordinary failures of a service do not take it out of use") {
  EndpointHealth Health;
  for (int I = 0; I < 200; ++I) {
    Health.record(I % 7 == 0 ? HealthSignal::AppError : HealthSignal::Success,
                  Start);
    REQUIRE(Health.usable(Start));
  }
}

} // namespace hyssoprail::routing
