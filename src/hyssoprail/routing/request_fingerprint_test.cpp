#include "hyssoprail/routing/request_fingerprint.hpp"

#include <set>

#include <catch2/catch.hpp>

namespace hyssoprail::routing {

// Guards against counting different requests as one, and one request that comes
// again with another id as two.
TEST_CASE("a fingerprint tells requests apart by what endpoints process") {
  const HttpRequest R{"POST", "/o/1?a=1", {{"X-Id", "1"}}, "body"};
  const auto With = [&](auto Change) {
    HttpRequest Changed = R;
    Change(Changed);
    return requestFingerprint(Changed, "h", "t1");
  };
  const std::string Original = requestFingerprint(R, "h", "t1");
  REQUIRE(Original.size() == 16);
  REQUIRE(With([](HttpRequest &C) { C.Headers[0].Value = "2"; }) == Original);
  const std::set<std::string> All{
      Original,
      requestFingerprint(R, "h2", "t1"),
      requestFingerprint(R, "h", "t2"),
      requestFingerprint(R, "", "ht1"),
      With([](HttpRequest &C) { C.Method = "PUT"; }),
      With([](HttpRequest &C) { C.Target = "/o/1?a=2"; }),
      With([](HttpRequest &C) { C.Body = ""; }),
      With([](HttpRequest &C) {
        C.Target = "/o/1?a=1b";
        C.Body = "ody";
      }),
  };
  REQUIRE(All.size() == 8);
}

// Guards against counting one request as several, as callers reach the entries
// under names that differ in port or case, which routes ignore.
TEST_CASE("a fingerprint ignores the port and the case of the host") {
  const HttpRequest R{"POST", "/o/1", {}, "body"};
  const std::string Original = requestFingerprint(R, "orders.example", "t1");
  CHECK(requestFingerprint(R, "orders.example:8001", "t1") == Original);
  CHECK(requestFingerprint(R, "Orders.Example:8002", "t1") == Original);
}

} // namespace hyssoprail::routing
