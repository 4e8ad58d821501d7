#include "hyssoprail/routing/fleet_config.hpp"

#include <set>

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

// Guards against a stream whose second part comes from another service: the
// caller takes it up with an attempt of its own id.
TEST_CASE("a stream that is taken up goes on at the service that began it") {
  RoutePolicy R = route("split", "/a/");
  R.Services = {{"old", 50}, {"new", 50}};
  R.Kind = RouteKind::Stream;
  R.Resumable = true;
  RequestInfo First;
  RequestInfo Again;
  Again.Resumes = true;
  for (int I = 0; I < 100; ++I) {
    First.Id = "attempt-" + std::to_string(I);
    Again.Id = "again-" + std::to_string(I);
    Again.FirstAttempt = First.Id;
    CHECK(serviceFor(R, Again) == serviceFor(R, First));
  }
}

// Guards against a caller who chooses the service of requests that begin anew.
TEST_CASE("only a stream that is taken up is bound to an earlier attempt") {
  RoutePolicy R = route("split", "/a/");
  R.Services = {{"old", 50}, {"new", 50}};
  for (const RouteKind Kind : {RouteKind::IdempotentCall, RouteKind::Stream}) {
    R.Kind = Kind;
    std::set<std::string> Chosen;
    for (int I = 0; I < 100; ++I) {
      RequestInfo Info;
      Info.Id = "again-" + std::to_string(I);
      Info.Resumes = Kind != RouteKind::Stream;
      Info.FirstAttempt = "attempt";
      Chosen.insert(serviceFor(R, Info));
    }
    CHECK(Chosen.size() == 2);
  }
}

} // namespace hyssoprail::routing
