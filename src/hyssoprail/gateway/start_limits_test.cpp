#include <algorithm>

#include <catch2/catch.hpp>

#include "hyssoprail/gateway/limit_fleet.hpp"

namespace hyssoprail::gateway {

using testing::LimitFleet;

// Guards against even shares of a start limit that are rounded up to one
// request for each entry: with hundreds of entries a cold endpoint got several
// times what it can take.
TEST_CASE("calls in any second stay within the start limit of an endpoint",
          "[endpoint_limit]") {
  constexpr double ColdPerSecond = 27;
  for (const std::size_t EntryCount : {3, 300}) {
    LimitFleet F(EntryCount,
                 {{"a", std::nullopt, {}}, {"b", std::nullopt, {}}});
    routing::ServicePolicy Orders;
    Orders.Name = "orders";
    Orders.ColdRequestsPerSecond = ColdPerSecond;
    F.Config.Services["orders"] = Orders;
    F.run(milliseconds(2'000), 0);
    F.run(milliseconds(5'000), 200);
    for (const testing::LimitedEndpoint &E : F.Endpoints) {
      const std::vector<TimePoint> &At = E.Arrivals;
      REQUIRE(At.size() >= 5 * ColdPerSecond * 0.6);
      for (std::size_t I = 0; I < At.size(); ++I) {
        const auto End = std::lower_bound(At.begin(), At.end(),
                                          At[I] + std::chrono::seconds(1));
        REQUIRE(static_cast<double>(End - At.begin()) -
                    static_cast<double>(I) <=
                ColdPerSecond);
      }
    }
    CHECK(F.Outcomes.LongestRejection <= milliseconds(100));
    CHECK(F.Outcomes.ShortestRetryAfter > milliseconds(0));
  }
}

// Guards against many parts of a fleet that each start one request where all
// together may start a few.
TEST_CASE("parts of a fleet do not exceed a start limit together") {
  for (const double PerSecond : {0.5, 3.0, 27.0})
    for (const std::size_t Parts : {1, 2, 3, 30, 300})
      CHECK(static_cast<double>(
                Parts * routing::startRateOfPart(
                            PerSecond, 1 / static_cast<double>(Parts))) <=
            std::max(1.0, PerSecond));
}

} // namespace hyssoprail::gateway
