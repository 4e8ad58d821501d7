#include <catch2/catch.hpp>

#include "hyssoprail/gateway/limit_fleet.hpp"

namespace hyssoprail::gateway {
namespace {

using testing::LimitFleet;

constexpr milliseconds StartTime{3'000};
constexpr milliseconds Step{50};

/// The first of the entries that are not \p Coordinator become late.
std::vector<std::string> makeLate(LimitFleet &F, std::size_t Count,
                                  const std::string &Coordinator,
                                  milliseconds Round) {
  std::vector<std::string> Late;
  for (const std::string &Name : F.Names)
    if (Name != Coordinator && Late.size() < Count) {
      Late.push_back(Name);
      F.setLate(Name, Round);
    }
  return Late;
}

} // namespace

// Guards against an entry that takes its own delay for the silence of its
// coordinator, claims the office and draws others over.
TEST_CASE("entries that are late keep their coordinator", "[late_entry]") {
  for (const std::size_t Count : {3, 115, 300})
    for (const milliseconds Round : {milliseconds(700), milliseconds(1'500)}) {
      LimitFleet F(Count, {});
      F.run(StartTime, 0);
      const std::string Coordinator = F.coordinator();
      REQUIRE_FALSE(Coordinator.empty());
      makeLate(F, std::max<std::size_t>(1, Count / 4), Coordinator, Round);
      std::size_t Most = 0;
      for (milliseconds At{0}; At < milliseconds(5'000); At += Step) {
        F.run(Step, 0);
        Most = std::max(Most, F.coordinatorCount());
      }
      CAPTURE(Count, Round.count());
      CHECK(Most == 1);
      CHECK(F.coordinator() == Coordinator);
    }
}

// Guards against a fleet that waits for entries without processor time when its
// coordinator is lost.
TEST_CASE("a lost coordinator is replaced beside late entries",
          "[late_entry]") {
  for (const std::size_t Count : {3, 115}) {
    LimitFleet F(Count, {});
    F.run(StartTime, 0);
    const std::string Coordinator = F.coordinator();
    const auto Late = makeLate(F, std::max<std::size_t>(1, Count / 4),
                               Coordinator, milliseconds(700));
    F.run(milliseconds(1'000), 0);
    F.kill(Coordinator);
    F.run(milliseconds(1'500), 0);
    CAPTURE(Count);
    CHECK(F.coordinatorCount() == 1);
    CHECK(std::find(Late.begin(), Late.end(), F.coordinator()) == Late.end());
  }
}

} // namespace hyssoprail::gateway
