#include <algorithm>
#include <functional>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "hyssoprail/gateway/limit_fleet.hpp"

namespace hyssoprail::gateway {
namespace {

using testing::LimitedEndpoint;
using testing::LimitFleet;

/// The rule of the platform: in any window of this length an endpoint gets at
/// most LimitFactor times what its limit allows, and LimitSlack requests more.
constexpr milliseconds LimitWindow{4'000};
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;

constexpr double Limit = 20;
constexpr double OtherLimit = 30;
constexpr double CallsPerSecond = 120;

/// Time in which the entries learn of a limit.
constexpr milliseconds LearningTime{500};

/// A call without a decision of the coordinator is rejected within this time.
constexpr milliseconds LongestUndecided{100};

LimitedEndpoint limited(const std::string &Id, double PerSecond = Limit) {
  return {Id, PerSecond, {}};
}

LimitedEndpoint unlimited(const std::string &Id) {
  return {Id, std::nullopt, {}};
}

/// Largest number of arrivals in a window that begins between \p From and \p
/// To.
std::size_t mostInWindow(const LimitedEndpoint &E, TimePoint From,
                         TimePoint To = TimePoint::max()) {
  std::size_t Most = 0;
  for (auto First =
           std::lower_bound(E.Arrivals.begin(), E.Arrivals.end(), From);
       First != E.Arrivals.end() && *First < To; ++First) {
    const auto End =
        std::lower_bound(First, E.Arrivals.end(), *First + LimitWindow);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

std::size_t allowedInWindow(double PerSecond) {
  return static_cast<std::size_t>(
      PerSecond * std::chrono::duration<double>(LimitWindow).count() *
          LimitFactor +
      LimitSlack);
}

/// Whether another endpoint takes what the limited one may not, or all
/// endpoints have limits below the load.
enum class Spare { Enough, None };

/// A fleet whose first endpoint has a limit.
struct StartedFleet : LimitFleet {
  StartedFleet(std::size_t EntryCount, Spare Capacity)
      : LimitFleet(EntryCount, {limited("a"), Capacity == Spare::Enough
                                                  ? unlimited("b")
                                                  : limited("b", OtherLimit)}),
        Capacity(Capacity) {
    run(milliseconds(2'000), 0);
    REQUIRE(coordinatorCount() == 1);
    run(milliseconds(3'000), CallsPerSecond);
  }

  /// Checks all limits from the time at which the fleet knows of them, and that
  /// no call was rejected that an endpoint could take.
  void check() const {
    for (const LimitedEndpoint &E : Endpoints) {
      REQUIRE_FALSE(E.Arrivals.empty());
      if (E.PerSecond)
        CHECK(mostInWindow(E, E.Arrivals.front() + LearningTime) <=
              allowedInWindow(*E.PerSecond));
    }
    if (Capacity == Spare::Enough)
      CHECK(Outcomes.Rejected == 0);
    CHECK(Outcomes.LongestRejection <= LongestUndecided);
  }

  const Spare Capacity;
};

/// Runs \p Test with fleets of few and of \p Many entries, with and without
/// spare capacity.
void withFleets(const std::function<void(StartedFleet &)> &Test,
                std::size_t Many = 300) {
  for (const std::size_t EntryCount : {std::size_t{3}, Many})
    for (const Spare Capacity : {Spare::Enough, Spare::None}) {
      INFO(EntryCount << " entries, "
                      << (Capacity == Spare::Enough ? "spare" : "no spare")
                      << " capacity");
      StartedFleet F(EntryCount, Capacity);
      Test(F);
    }
}

} // namespace

// Guards against entries that keep a limit each for itself, or not at all, and
// against limits that are left unused.
TEST_CASE("the limit of an endpoint holds over few and many entries",
          "[endpoint_limit]") {
  withFleets([](StartedFleet &F) {
    F.run(milliseconds(6'000), CallsPerSecond);
    F.check();
    const TimePoint LastWindow = F.now() - LimitWindow - milliseconds(100);
    CHECK(mostInWindow(F.Endpoints[0], LastWindow) >=
          4 * Limit * (F.Capacity == Spare::None ? 0.8 : 0.4));
    if (F.Capacity == Spare::None)
      CHECK(mostInWindow(F.Endpoints[1], LastWindow) >= 4 * OtherLimit * 0.8);
  });
}

// Guards against callers that wait for a limited endpoint although none can
// take them, and that are not told when to return.
TEST_CASE("calls that no endpoint can take are rejected at once",
          "[endpoint_limit]") {
  for (const std::size_t EntryCount : {3, 300}) {
    StartedFleet F(EntryCount, Spare::None);
    F.run(milliseconds(6'000), CallsPerSecond);
    CHECK(F.Outcomes.Rejected > 0);
    CHECK(F.Outcomes.LongestRejection <= milliseconds(30));
    CHECK(F.Outcomes.ShortestRetryAfter > milliseconds(0));
  }
}

// Guards against entries that share out a limit without a coordinator, each
// part rounded up, and against a coordinator that returns and grants beside its
// successor.
TEST_CASE("the limit of an endpoint holds while the coordinator is away",
          "[endpoint_limit]") {
  withFleets([](StartedFleet &F) {
    const std::string First = F.coordinator();
    F.pause(First, true);
    F.run(milliseconds(5'000), CallsPerSecond);
    REQUIRE(F.coordinatorCount() == 2);
    F.pause(First, false);
    F.run(milliseconds(5'000), CallsPerSecond);
    CHECK(F.coordinatorCount() == 1);
    F.check();
  });
}

// Guards against grants of successive coordinators that add up.
TEST_CASE("the limit of an endpoint holds when the coordinator changes",
          "[endpoint_limit]") {
  withFleets([](StartedFleet &F) {
    for (const bool Planned : {true, false, true, false}) {
      const std::string Name = F.coordinator();
      REQUIRE_FALSE(Name.empty());
      if (Planned) {
        F.coordination(Name).beginStop();
        F.run(milliseconds(300), CallsPerSecond);
      }
      F.kill(Name);
      F.run(milliseconds(1'500), CallsPerSecond);
      F.start(Name);
      F.run(milliseconds(1'000), CallsPerSecond);
    }
    F.run(milliseconds(3'000), CallsPerSecond);
    F.check();
    // What an entry sent under the grants of others does not reduce its own.
    const TimePoint LastWindow = F.now() - LimitWindow - milliseconds(100);
    if (F.Capacity == Spare::None)
      CHECK(mostInWindow(F.Endpoints[0], LastWindow) >= 4 * Limit * 0.6);
  });
}

// Guards against both sides of a network partition granting the whole limit.
TEST_CASE("the limit of an endpoint holds while the fleet is parted",
          "[endpoint_limit]") {
  withFleets([](StartedFleet &F) {
    // The coordinator and others, a third of all, are on one side.
    std::set<std::string> Side{F.coordinator()};
    for (const std::string &Name : F.Names)
      if (Side.size() < F.Names.size() / 3)
        Side.insert(Name);
    F.Network.cut([&](const std::string &A, const std::string &B) {
      return Side.contains(A) != Side.contains(B);
    });
    F.run(milliseconds(8'000), CallsPerSecond);
    CHECK(F.coordinatorCount() == 2);
    F.Network.cut({});
    F.run(milliseconds(5'000), CallsPerSecond);
    CHECK(F.coordinatorCount() == 1);
    F.check();
  });
}

// Guards against parts of one entry each that round their shares up to one
// request. Every entry sends claims to all others, so there are fewer of them.
TEST_CASE("the limit of an endpoint holds in a fleet of single entries",
          "[endpoint_limit]") {
  withFleets(
      [](StartedFleet &F) {
        F.Network.cut([](const auto &, const auto &) { return true; });
        F.run(milliseconds(8'000), CallsPerSecond);
        CHECK(F.coordinatorCount() == F.Names.size());
        F.Network.cut({});
        F.run(milliseconds(5'000), CallsPerSecond);
        CHECK(F.coordinatorCount() == 1);
        F.check();
      },
      60);
}

// Guards against both sides of a network partition taking the other one for
// dead after some time, and granting the whole limit each. One side may also
// have lost the store.
TEST_CASE("the limit of an endpoint holds while the fleet is parted for long",
          "[endpoint_limit]") {
  for (const bool LosesStore : {false, true})
    for (const std::size_t EntryCount : {4, 60}) {
      StartedFleet F(EntryCount, Spare::None);
      std::set<std::string> Side;
      for (const std::string &Name : F.Names)
        if (Side.size() < F.Names.size() / 2)
          Side.insert(Name);
      F.Network.cut([Side](const std::string &A, const std::string &B) {
        return Side.contains(A) != Side.contains(B);
      });
      if (LosesStore)
        F.CutFromStore = Side;
      F.run(milliseconds(40'000), CallsPerSecond);
      CHECK(F.coordinatorCount() == 2);
      F.Network.cut({});
      F.CutFromStore.clear();
      F.run(milliseconds(20'000), CallsPerSecond);
      CHECK(F.coordinatorCount() == 1);
      F.check();
      CHECK(F.coordination(F.coordinator()).reportingShare() == 1);
    }
}

// Guards against entries that have ended but count as parted for ever.
TEST_CASE("entries that have ended leave their share of a limit to the others",
          "[endpoint_limit]") {
  StartedFleet F(6, Spare::None);
  for (std::size_t I = 0; I < 4; ++I)
    F.kill(F.Names[I]);
  F.run(milliseconds(20'000), CallsPerSecond);
  CHECK(F.coordination(F.coordinator()).reportingShare() == 1);
  F.check();
}

// Guards against new processes that do not know of a limit, and against a new
// process that gets another share of it.
TEST_CASE("the limit of an endpoint holds while entries start and restart",
          "[endpoint_limit]") {
  withFleets([](StartedFleet &F) {
    for (std::size_t I = 0; I < 12; ++I) {
      F.start(F.Names[I % F.Names.size()]);
      F.run(milliseconds(400), CallsPerSecond);
    }
    F.check();
  });
}

// Guards against a limit that is not lowered at once, or that stays in force
// after its end.
TEST_CASE("entries follow the limit of an endpoint when it changes or ends",
          "[endpoint_limit]") {
  for (const std::size_t EntryCount : {3, 300}) {
    StartedFleet F(EntryCount, Spare::Enough);
    LimitedEndpoint &E = F.Endpoints[0];
    E.PerSecond = 4;
    const TimePoint Lowered = F.now() + LearningTime;
    F.run(milliseconds(6'000), CallsPerSecond);
    CHECK(mostInWindow(E, Lowered) <= allowedInWindow(4));
    E.PerSecond = Limit;
    F.run(milliseconds(6'000), CallsPerSecond);
    CHECK(mostInWindow(E, Lowered) <= allowedInWindow(Limit));
    CHECK(mostInWindow(E, F.now() - LimitWindow - milliseconds(100)) >
          allowedInWindow(4));
    E.PerSecond.reset();
    F.run(milliseconds(6'000), CallsPerSecond);
    CHECK(mostInWindow(E, F.now() - LimitWindow - milliseconds(100)) >
          4 * Limit * 1.2);
    CHECK(F.Outcomes.Rejected == 0);
  }
}

} // namespace hyssoprail::gateway
