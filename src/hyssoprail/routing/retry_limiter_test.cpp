#include "hyssoprail/routing/retry_limiter.hpp"

#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Start;

constexpr milliseconds Window{10'000};

} // namespace

// Guards against retries that exceed ratio x requests + slack in any window,
// wherever it begins.
TEST_CASE("no window contains more retries than the budget") {
  const bool Passed = rc::check("window bound", [] {
    RetryLimiter Retries({0.2, 10, Window});
    std::vector<TimePoint> Requests;
    std::vector<TimePoint> Retried;
    TimePoint Now = Start;
    const auto Steps = *rc::gen::inRange(50, 400);
    for (int I = 0; I < Steps; ++I) {
      Now += milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) == 0) {
        Retries.recordRequest("s", Now);
        Requests.push_back(Now);
      } else if (Retries.take("s", Now)) {
        Retried.push_back(Now);
      }
    }
    for (const TimePoint From : Retried) {
      std::size_t InWindow = 0;
      for (const TimePoint T : Retried)
        InWindow += T >= From && T < From + Window ? 1 : 0;
      // The promised bound uses the largest request count of three windows. The
      // two that overlap the retries give a lower bound of it.
      std::size_t RequestCount = 0;
      for (const TimePoint T : Requests)
        RequestCount += T >= From - Window && T < From + Window ? 1 : 0;
      RC_ASSERT(double(InWindow) <= 0.2 * double(RequestCount) + 10);
    }
  });
  REQUIRE(Passed);
}

// Guards against each entry using the whole slack.
TEST_CASE("entries share the slack") {
  RetryLimiter Retries({0.2, 60, Window});
  Retries.setEntries(6);
  unsigned Taken = 0;
  while (Retries.take("s", Start))
    ++Taken;
  REQUIRE(Taken * 6 <= 60);
  REQUIRE(Taken > 0);
}

// Guards against legs that use up the budget without reaching an endpoint.
TEST_CASE("a retry that reached no endpoint is refunded") {
  RetryLimiter Retries({0, 2, Window});
  REQUIRE(Retries.take("s", Start));
  REQUIRE_FALSE(Retries.available("s", Start));
  Retries.refund("s", Start);
  REQUIRE(Retries.take("s", Start));
}

} // namespace hyssoprail::routing
