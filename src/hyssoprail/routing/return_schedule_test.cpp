#include "hyssoprail/routing/return_schedule.hpp"

#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail::routing {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{100s};

ReturnNeed need(std::uint32_t Prompt, int Priority = 0, double Tokens = 1'000) {
  return {"acme", Prompt, Priority, Tokens};
}

} // namespace

// Guards against a crowd that is refused together and returns together: a
// second's room takes ten requests, so forty need four seconds.
TEST_CASE("promises made at once are spread over the time with room") {
  ReturnSchedule S;
  std::map<std::int64_t, int> BySecond;
  for (int I = 0; I < 60; ++I)
    if (const auto At =
            S.promise(need(1), 10'000, Start + 1s, Start + 5s, Start)) {
      REQUIRE(*At >= Start + 1s);
      REQUIRE(*At <= Start + 5s);
      ++BySecond[(*At - Start) / 1s];
    }
  for (const auto &[Second, Count] : BySecond)
    CHECK(Count <= 11);
  CHECK(S.size() >= 40);
  CHECK(S.size() <= 42);
}

// Guards against room that is given to two callers, whatever their sizes.
TEST_CASE("the room of a time is promised once") {
  const bool Passed = rc::check("room", [] {
    ReturnSchedule S;
    double Promised = 0;
    TimePoint Last = Start;
    for (int I = 0; I < 80; ++I) {
      const double Tokens = *rc::gen::inRange(100, 4'000);
      if (const auto At =
              S.promise(need(1, 0, Tokens), 10'000, Start, Start + 4s, Start)) {
        RC_ASSERT(*At >= Last);
        // All that was promised before is free by then.
        const double Free =
            std::chrono::duration<double>(*At - Start + 100ms).count() * 10'000;
        RC_ASSERT(Promised <= Free);
        Promised += Tokens;
        Last = *At;
      }
    }
  });
  REQUIRE(Passed);
}

// Guards against a promise that two callers use, or one that returns at another
// time or with another request.
TEST_CASE("a promise is redeemed once and at its time") {
  ReturnSchedule S;
  const auto At = S.promise(need(7, 2), 10'000, Start + 1s, Start + 4s, Start);
  REQUIRE(At);
  CHECK(S.due(Start).empty());
  CHECK(S.due(*At).at({2, "acme"}) == 1'000);
  CHECK_FALSE(S.redeem("acme", 7, *At - 200ms));
  CHECK_FALSE(S.redeem("other", 7, *At));
  CHECK_FALSE(S.redeem("acme", 8, *At));
  CHECK(S.redeem("acme", 7, *At + 50ms) == 2);
  CHECK_FALSE(S.redeem("acme", 7, *At + 50ms));
  CHECK(S.due(*At).empty());
}

} // namespace hyssoprail::routing
