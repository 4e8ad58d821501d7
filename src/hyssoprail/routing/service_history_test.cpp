#include "hyssoprail/routing/service_history.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

RoutePolicy route(const std::string &Prefix, const std::string &Service) {
  RoutePolicy R;
  R.Host = "h";
  R.PathPrefix = Prefix;
  R.Kind = RouteKind::Stream;
  R.Resumable = true;
  R.Services = {{Service, 1}};
  return R;
}

FleetConfig config(std::vector<RoutePolicy> Routes) {
  FleetConfig Out;
  Out.Routes = RouteTable(std::move(Routes));
  return Out;
}

RequestInfo resumed(const std::string &Path) {
  RequestInfo Out;
  Out.Id = "again";
  Out.Host = "H:80";
  Out.Path = Path;
  Out.Resumes = true;
  Out.FirstAttempt = "first";
  return Out;
}

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::chrono::seconds Lifetime{24};

} // namespace

// Guards against a stream that goes on at another service, as the operator has
// moved its route since it began.
TEST_CASE("a stream of a route that has moved may have begun elsewhere") {
  ServiceHistory H;
  H.replaced(config({route("/a/", "old"), route("/b/", "other")}),
             config({route("/a/", "new"), route("/b/", "other")}), Start,
             Start - Lifetime);
  CHECK(H.mayHaveBegunElsewhere(resumed("/a/1"), "new", Start - Lifetime));
  CHECK_FALSE(H.mayHaveBegunElsewhere(resumed("/a/1"), "old", {}));
  CHECK_FALSE(H.mayHaveBegunElsewhere(resumed("/b/1"), "other", {}));
  const TimePoint Later = Start + Lifetime + std::chrono::seconds(1);
  CHECK_FALSE(
      H.mayHaveBegunElsewhere(resumed("/a/1"), "new", Later - Lifetime));
}

// The same for a route that takes over a part of another one's paths, and for
// one whose paths fall back to another one.
TEST_CASE("routes with longer prefixes move streams when they come and go") {
  const FleetConfig Short = config({route("/a/", "old")});
  const FleetConfig Both = config({route("/a/", "old"), route("/a/b/", "new")});
  ServiceHistory Added;
  Added.replaced(Short, Both, Start, Start - Lifetime);
  CHECK(Added.mayHaveBegunElsewhere(resumed("/a/b/1"), "new", {}));
  CHECK_FALSE(Added.mayHaveBegunElsewhere(resumed("/a/1"), "old", {}));
  ServiceHistory Removed;
  Removed.replaced(Both, Short, Start, Start - Lifetime);
  CHECK(Removed.mayHaveBegunElsewhere(resumed("/a/b/1"), "old", {}));
  CHECK_FALSE(Removed.mayHaveBegunElsewhere(resumed("/a/1"), "old", {}));
}

// Guards against refused streams after changes that move no stream, such as a
// timeout, and of those that the new weights leave where they began.
TEST_CASE("a change of weights concerns the streams that it moves") {
  RoutePolicy Even = route("/a/", "old");
  Even.Services = {{"old", 1}, {"new", 1}};
  RoutePolicy Slow = Even;
  Slow.Timeout = milliseconds(9'000);
  RoutePolicy Shifted = Even;
  Shifted.Services = {{"old", 1}, {"new", 9}};
  ServiceHistory H;
  H.replaced(config({Even}), config({Slow}), Start, Start - Lifetime);
  ServiceHistory Moved;
  Moved.replaced(config({Slow}), config({Shifted}), Start, Start - Lifetime);
  unsigned Elsewhere = 0;
  for (int I = 0; I < 100; ++I) {
    RequestInfo R = resumed("/a/1");
    R.FirstAttempt = "first-" + std::to_string(I);
    const std::string Now = serviceFor(Shifted, R);
    CHECK_FALSE(H.mayHaveBegunElsewhere(R, Now, {}));
    CHECK(Moved.mayHaveBegunElsewhere(R, Now, {}) ==
          (serviceFor(Slow, R) != Now));
    Elsewhere += serviceFor(Slow, R) != Now ? 1 : 0;
  }
  CHECK(Elsewhere > 0);
  CHECK(Elsewhere < 100);
}

} // namespace hyssoprail::routing
