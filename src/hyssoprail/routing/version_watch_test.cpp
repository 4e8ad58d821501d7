#include "hyssoprail/routing/version_watch.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

using Versions = std::set<std::string>;

constexpr milliseconds Step{500};

/// An entry that looks at the registered versions regularly.
struct WatchFixture {
  void observe(const Versions &Registered, Duration Behind = {}) {
    Now += Step;
    Watch.observe(Registered, Behind, Now);
  }

  TimePoint Now{std::chrono::hours(1)};
  VersionWatch Watch;
};

} // namespace

// Guards against a version that counts as the only one before another one could
// have been noticed.
TEST_CASE("a single version counts from the time when it was first seen") {
  WatchFixture B;
  B.observe({"v1"});
  const TimePoint First = B.Now;
  B.observe({"v1"});
  CHECK(B.Watch.onlySince(First) == "v1");
  CHECK_FALSE(B.Watch.onlySince(First - milliseconds(1)));
  CHECK_FALSE(B.Watch.severalSince(First));
}

// Guards against a version that is forgotten as soon as it has left, or that
// registered and left between two looks.
TEST_CASE("another version starts the time of a single one anew") {
  WatchFixture B;
  B.observe({"v1"});
  const TimePoint First = B.Now;
  SECTION("registered for a while") { B.observe({"v1", "v2"}); }
  SECTION("registered between two looks") { B.Watch.note("v2", B.Now); }
  const TimePoint Last = B.Now;
  B.observe({"v1"});
  CHECK_FALSE(B.Watch.onlySince(Last));
  CHECK(B.Watch.onlySince(B.Now) == "v1");
  CHECK(B.Watch.severalSince(First));
}

// Guards against a guess of an entry that was cut off or stood still: another
// version may have come and gone meanwhile.
TEST_CASE("an entry that was behind the others has seen nothing before") {
  WatchFixture B;
  B.observe({"v1"});
  const TimePoint First = B.Now;
  SECTION("cut off") { B.observe({"v1"}, MaxVersionLag + milliseconds(1)); }
  SECTION("stood still") { B.Now += MaxVersionLag; }
  B.observe({"v1"});
  CHECK_FALSE(B.Watch.onlySince(First));
  CHECK(B.Watch.onlySince(B.Now) == "v1");
}

// Guards against a version that counts while no endpoint of it is registered.
TEST_CASE("a service without endpoints has no single version") {
  WatchFixture B;
  B.observe({"v1"});
  B.observe({});
  CHECK_FALSE(B.Watch.onlySince(B.Now));
}

} // namespace hyssoprail::routing
