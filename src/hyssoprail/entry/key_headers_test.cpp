#include "hyssoprail/entry/key_headers.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/entry/config_freshness.hpp"
#include "hyssoprail/entry/membership_recorder.hpp"

namespace hyssoprail::entry {

// Guards against a key that reaches an endpoint in any header or in the query.
TEST_CASE("headers and parameters with the key are removed") {
  const std::string Key = "secret-1";
  const HttpHeaders Out = forwardedHeaders({{"authorization", "Bearer x"},
                                            {"Proxy-Authorization", "x"},
                                            {"COOKIE", "a=b"},
                                            {"x-api-key", "x"},
                                            {"Connection", "close"},
                                            {"X-Custom", "v secret-1"},
                                            {"X-Encoded", "secret%2d1"},
                                            {"Accept", "*/*"}},
                                           Key);
  REQUIRE(Out.size() == 1);
  CHECK(Out.front().Name == "Accept");
  CHECK(forwardedTarget("/a?x=1&k=secret-1&y=2", Key) == "/a?x=1&y=2");
  CHECK(forwardedTarget("/a?k=secret%2D1", Key) == "/a");
  CHECK(forwardedTarget("/a?k=%", Key) == "/a?k=%");
  CHECK(forwardedTarget("/a?x=1", "") == "/a?x=1");
}

// Guards against a key that is missed because of the scheme's case.
TEST_CASE("a key is read from either header") {
  HttpRequest Request;
  Request.Headers = {{"Authorization", "bearer  k1"}};
  CHECK(presentedKey(Request) == "k1");
  Request.Headers = {{"X-Api-Key", "k2"}};
  CHECK(presentedKey(Request) == "k2");
  Request.Headers = {{"Authorization", "Basic abc"}};
  CHECK(presentedKey(Request).empty());
}

// Guards against keyed work by an entry that cannot know of withdrawn keys,
// and against an interruption in a plain outage of the log.
TEST_CASE("keys are trusted while the log or a peer confirms them") {
  ManualClock Time;
  ConfigFreshness Freshness({});
  CHECK(Freshness.whyStale(Time.now(), 7, {}));
  Freshness.logRead(Time.now());
  Time.advance(milliseconds(4'000));
  CHECK_FALSE(Freshness.whyStale(Time.now(), 7, {2}));
  Time.advance(milliseconds(2'000));
  // Cut off from the log and from the other member.
  CHECK(Freshness.whyStale(Time.now(), 7, {2}));
  SECTION("a peer that reads the log confirms the version") {
    Freshness.peerHeard(2, {Time.now(), Time.now(), 7});
    CHECK_FALSE(Freshness.whyStale(Time.now(), 7, {2}));
    Freshness.peerHeard(2, {Time.now(), Time.now(), 8});
    CHECK(Freshness.whyStale(Time.now(), 7, {2}));
  }
  SECTION("all members are in the same outage") {
    const TimePoint Read = Time.now() - milliseconds(6'000);
    Freshness.peerHeard(2, {Time.now(), Read, 7});
    CHECK_FALSE(Freshness.whyStale(Time.now(), 7, {2}));
    CHECK(Freshness.whyStale(Time.now(), 7, {2, 3}));
    Time.advance(milliseconds(115'000));
    Freshness.peerHeard(2, {Time.now(), Read, 7});
    CHECK(Freshness.whyStale(Time.now(), 7, {2}));
  }
}

// Guards against an entry that never joins, and one that removes a live entry
// because the log was down.
TEST_CASE("an entry joins and removes the members that are gone") {
  ManualClock Time;
  wire::Member Self;
  Self.set_incarnation(1);
  MembershipRecorder Recorder(Self);
  const auto Silent = [](std::uint64_t) { return Liveness::Gone; };
  const auto Suspected = [](std::uint64_t) { return Liveness::Suspected; };
  std::vector<wire::MemberState> Members;
  CHECK_FALSE(Recorder.next(Time.now(), Members, Silent, false));
  const auto Own = Recorder.next(Time.now(), Members, Silent, true);
  REQUIRE(Own);
  CHECK(Own->incarnation() == 1);
  for (std::uint64_t Incarnation : {1, 2})
    Members.emplace_back().mutable_member()->set_incarnation(Incarnation);
  Time.advance(milliseconds(2'000));
  CHECK_FALSE(Recorder.next(Time.now(), Members, Silent, true));
  CHECK_FALSE(Recorder.next(Time.now(), Members, Silent, false));
  Time.advance(milliseconds(9'000));
  CHECK_FALSE(Recorder.next(Time.now(), Members, Silent, true));
  Time.advance(milliseconds(10'000));
  CHECK_FALSE(Recorder.next(Time.now(), Members, Suspected, true));
  const auto Gone = Recorder.next(Time.now(), Members, Silent, true);
  REQUIRE(Gone);
  CHECK(Gone->incarnation() == 2);
  CHECK(Gone->gone());
}

} // namespace hyssoprail::entry
