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
using testing::Send;

constexpr double CallsPerSecond = 300;

/// Time in which all entries that the coordinator reaches know that an endpoint
/// leaves, from the first response that says so.
constexpr milliseconds TellingTime{600};

/// A fleet whose first endpoint makes statements, from a time on.
struct StatingFleet : LimitFleet {
  explicit StatingFleet(std::size_t EntryCount)
      : LimitFleet(EntryCount,
                   {{"a", std::nullopt, {}}, {"b", std::nullopt, {}}}) {
    run(milliseconds(2'000), 0);
    REQUIRE(coordinatorCount() == 1);
    run(milliseconds(1'000), CallsPerSecond);
    REQUIRE_FALSE(Endpoints[0].Sends.empty());
  }

  /// No process may send to an endpoint after it has read that the endpoint
  /// leaves, or during a pause of which it has read.
  void check() const {
    for (const LimitedEndpoint &E : Endpoints)
      CHECK(std::none_of(E.Sends.begin(), E.Sends.end(), [](const Send &S) {
        return S.KnewLeaving || S.KnewPause;
      }));
    CHECK(Outcomes.Rejected == 0);
  }

  std::size_t sendsSince(TimePoint From) const {
    const auto &Sends = Endpoints[0].Sends;
    return static_cast<std::size_t>(
        std::count_if(Sends.begin(), Sends.end(),
                      [&](const Send &S) { return S.At >= From; }));
  }
};

void withFleets(const std::function<void(StatingFleet &)> &Test) {
  for (const std::size_t EntryCount : {3, 300}) {
    INFO(EntryCount << " entries");
    StatingFleet F(EntryCount);
    F.Endpoints[0].Leaving = true;
    Test(F);
    F.check();
  }
}

} // namespace

// Guards against entries that send work to a leaving endpoint until they have
// read it in a response of their own.
TEST_CASE("all entries stop using an endpoint that leaves",
          "[endpoint_statements]") {
  withFleets([](StatingFleet &F) {
    F.run(TellingTime, CallsPerSecond);
    CHECK(F.entriesUsing("a") == 0);
    const TimePoint Told = F.now();
    F.run(milliseconds(3'000), CallsPerSecond);
    CHECK(F.sendsSince(Told) == 0);
  });
}

// Guards against a registration of the same incarnation that says ready, and
// against a new incarnation that stays out of use because entries tell each
// other of the last one.
TEST_CASE("only a new incarnation of a leaving endpoint is used again",
          "[endpoint_statements]") {
  withFleets([](StatingFleet &F) {
    F.run(TellingTime, CallsPerSecond);
    F.registerEndpoint(F.Endpoints[0], 2);
    const TimePoint Ready = F.now();
    F.run(milliseconds(2'000), CallsPerSecond);
    CHECK(F.sendsSince(Ready) == 0);
    F.Endpoints[0].Leaving = false;
    F.Endpoints[0].StartedAtMs = 2;
    F.registerEndpoint(F.Endpoints[0], 1);
    F.run(milliseconds(2'000), CallsPerSecond);
    CHECK(F.entriesUsing("a") == F.Names.size());
    CHECK(F.sendsSince(Ready) > 0);
  });
}

// Guards against the loss of what was told when another entry coordinates,
// whether or not the last coordinator could hand over.
TEST_CASE("an endpoint that leaves stays unused when the coordinator changes",
          "[endpoint_statements]") {
  withFleets([](StatingFleet &F) {
    F.run(TellingTime, CallsPerSecond);
    for (const bool Planned : {true, false, true}) {
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
      CHECK(F.entriesUsing("a") == 0);
    }
  });
}

// Guards against the same while the endpoint begins to leave as the coordinator
// dies.
TEST_CASE("an endpoint leaves while no coordinator is there",
          "[endpoint_statements]") {
  withFleets([](StatingFleet &F) {
    F.kill(F.coordinator());
    F.run(milliseconds(2'500), CallsPerSecond);
    CHECK(F.entriesUsing("a") == 0);
  });
}

// Guards against an entry that forgets what it has read while it hears nobody,
// and against parts of a fleet that do not tell each other afterwards.
TEST_CASE("an endpoint that leaves stays unused while the fleet is parted",
          "[endpoint_statements]") {
  for (const std::size_t EntryCount : {3, 300}) {
    StatingFleet F(EntryCount);
    std::set<std::string> Side{F.coordinator()};
    for (const std::string &Name : F.Names)
      if (Side.size() < F.Names.size() / 3)
        Side.insert(Name);
    F.Network.cut([&](const std::string &A, const std::string &B) {
      return Side.contains(A) != Side.contains(B);
    });
    F.Endpoints[0].Leaving = true;
    F.run(milliseconds(5'000), CallsPerSecond);
    CHECK(F.coordinatorCount() == 2);
    CHECK(F.entriesUsing("a") == 0);
    F.Network.cut({});
    F.run(milliseconds(4'000), CallsPerSecond);
    CHECK(F.entriesUsing("a") == 0);
    F.check();
  }
}

// Guards against the same with entries that hear nobody at all: each one only
// has its own responses.
TEST_CASE("single entries keep to what their own responses state",
          "[endpoint_statements]") {
  StatingFleet F(12);
  F.Network.cut([](const auto &, const auto &) { return true; });
  F.Endpoints[0].Leaving = true;
  F.run(milliseconds(4'000), CallsPerSecond);
  CHECK(F.entriesUsing("a") == 0);
  F.Network.cut({});
  F.run(milliseconds(4'000), CallsPerSecond);
  F.check();
}

// Guards against new processes that use the endpoint for longer than it takes
// the coordinator to tell them, and that undo what the others know.
TEST_CASE("entries that restart are told of endpoints that leave",
          "[endpoint_statements]") {
  withFleets([](StatingFleet &F) {
    F.run(TellingTime, CallsPerSecond);
    for (std::size_t I = 0; I < 8; ++I) {
      F.start(F.Names[I % F.Names.size()]);
      F.run(milliseconds(800), CallsPerSecond);
      CHECK(F.entriesUsing("a") <= 1);
    }
    F.run(milliseconds(1'500), CallsPerSecond);
    CHECK(F.entriesUsing("a") == 0);
  });
}

// Guards against entries that send work during the pause that an endpoint asked
// them for, while the coordinator changes and the fleet is parted.
TEST_CASE("entries keep to the pauses that an endpoint asks them for",
          "[endpoint_statements]") {
  for (const std::size_t EntryCount : {3, 300}) {
    INFO(EntryCount << " entries");
    StatingFleet F(EntryCount);
    F.Endpoints[0].Pause = milliseconds(1'500);
    F.run(milliseconds(4'000), CallsPerSecond);
    F.kill(F.coordinator());
    F.run(milliseconds(2'000), CallsPerSecond);
    const std::set<std::string> Side(
        F.Names.begin(), F.Names.begin() + static_cast<long>(EntryCount / 3));
    F.Network.cut([&](const std::string &A, const std::string &B) {
      return Side.contains(A) != Side.contains(B);
    });
    F.run(milliseconds(3'000), CallsPerSecond);
    F.Endpoints[0].Pause.reset();
    const TimePoint Ended = F.now();
    F.run(milliseconds(3'000), CallsPerSecond);
    CHECK(F.sendsSince(Ended + milliseconds(1'500)) > 0);
    F.check();
  }
}

// Guards against an endpoint that loses the traffic of all entries because it
// asked one for a pause. That one may be the coordinator, which also grants the
// requests of the others as the endpoint states a limit.
TEST_CASE("a pause concerns only the entry that was asked for it",
          "[endpoint_statements]") {
  for (const double Limit : {0.0, 40.0})
    for (const std::size_t EntryCount : {3, 300}) {
      INFO(EntryCount << " entries, limit " << Limit);
      StatingFleet F(EntryCount);
      if (Limit > 0)
        F.Endpoints[0].PerSecond = Limit;
      F.Endpoints[0].PausedEntry = F.coordinator();
      F.Endpoints[0].Pause = milliseconds(120'000);
      F.run(milliseconds(2'000), CallsPerSecond);
      const TimePoint From = F.now();
      F.run(milliseconds(3'000), CallsPerSecond);
      const double Expected = (Limit > 0 ? Limit : CallsPerSecond / 2) * 3;
      CHECK(static_cast<double>(F.sendsSince(From)) > Expected / 2);
      F.check();
    }
}

// Guards against calls that wait while all endpoints have asked for pauses.
TEST_CASE("calls are rejected at once while all endpoints are paused",
          "[endpoint_statements]") {
  for (const std::size_t EntryCount : {3, 300}) {
    INFO(EntryCount << " entries");
    StatingFleet F(EntryCount);
    for (LimitedEndpoint &E : F.Endpoints)
      E.Pause = milliseconds(60'000);
    F.run(milliseconds(6'000), CallsPerSecond);
    CHECK(F.Outcomes.Rejected > 0);
    // A call is turned away by both endpoints first.
    CHECK(F.Outcomes.LongestRejection <= milliseconds(100));
    F.Outcomes.Rejected = 0;
    F.check();
  }
}

} // namespace hyssoprail::gateway
