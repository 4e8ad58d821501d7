#include "hyssoprail/routing/fleet_config.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

RoutePolicy route(const std::string &Name, const std::string &Prefix) {
  RoutePolicy R;
  R.Name = Name;
  R.Host = "shop.example";
  R.PathPrefix = Prefix;
  R.Services = {{"assistant", 1}};
  return R;
}

} // namespace

// Guards against a shorter prefix taking precedence over a longer one.
TEST_CASE("the longest prefix of the host selects the route") {
  FleetConfig C;
  C.Routes = {route("short", "/a/"), route("long", "/a/b/")};
  REQUIRE(C.route("shop.example", "/a/b/c")->Name == "long");
  REQUIRE(C.route("SHOP.example:8080", "/a/x")->Name == "short");
  REQUIRE(C.route("shop.example", "/a") == nullptr);
  REQUIRE(C.route("other.example", "/a/b/c") == nullptr);
}

// Guards against an API key that stays valid after its account was removed.
TEST_CASE("a key without its account is not valid") {
  FleetConfig C;
  C.AccountByKey["key"] = "gone";
  REQUIRE(C.accountOfKey("key") == nullptr);
  C.Accounts["gone"] = {"gone", std::nullopt, 1, 1, 1};
  REQUIRE(C.accountOfKey("key")->Name == "gone");
}

// Guards against ignored weights, and against a hash at the end of the range
// that selects no service.
TEST_CASE("a split route divides requests by weight") {
  RoutePolicy R = route("split", "/a/");
  R.Services = {{"old", 90}, {"new", 10}};
  constexpr std::uint64_t Steps = 1'000;
  unsigned New = 0;
  for (std::uint64_t I = 0; I < Steps; ++I)
    New += chooseService(R, I * (UINT64_MAX / Steps)) == "new" ? 1 : 0;
  REQUIRE(New == 100);
  REQUIRE(chooseService(R, UINT64_MAX) == "new");
}

} // namespace hyssoprail::routing
