#include "hyssoprail/routing/coordinator_election.hpp"

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::Start;

CoordinatorClaim claim(const std::string &Name, std::uint64_t Term,
                       std::size_t Followers = 10, std::size_t Known = 10) {
  CoordinatorClaim C;
  C.Name = Name;
  C.Incarnation = 1;
  C.Address = "10.0.0.1:7600";
  C.Term = Term;
  C.Followers = Followers;
  C.Known = Known;
  return C;
}

TimePoint after(int Millis) { return Start + milliseconds(Millis); }

} // namespace

// Guards against a fleet without a coordinator after the present one is lost,
// and against two deputies that claim at the same time.
TEST_CASE("the deputies of a silent coordinator claim one after another") {
  CoordinatorElection First("first", 1);
  CoordinatorElection Second("second", 1);
  CoordinatorClaim C = claim("lost", 7);
  C.Deputies = {"first", "second"};
  REQUIRE(First.handleClaim(C, true, Start));
  REQUIRE(Second.handleClaim(C, true, Start));
  REQUIRE_FALSE(First.tick(1, 1, after(400)));
  REQUIRE(First.tick(1, 1, after(410)));
  REQUIRE(First.currentClaim()->Term == 8);
  REQUIRE_FALSE(Second.tick(1, 1, after(410)));
  REQUIRE(Second.handleClaim(*First.currentClaim(), true, after(415)));
  REQUIRE_FALSE(Second.tick(1, 1, after(600)));
}

// Replays the start of hundreds of entries, each of which is busy with the list
// of endpoints for longer than the silence timeout: all of them used to claim.
TEST_CASE("a paused entry does not consider its coordinator silent") {
  CoordinatorElection Entry("entry", 1);
  CoordinatorClaim C = claim("busy", 7);
  C.Deputies = {"entry"};
  Entry.start(5, Start);
  REQUIRE_FALSE(Entry.tick(1, 10, Start));
  REQUIRE(Entry.handleClaim(C, true, after(40)));
  REQUIRE_FALSE(Entry.tick(1, 10, after(50)));
  REQUIRE_FALSE(Entry.tick(1, 10, after(1'050)));
  REQUIRE(Entry.hasCoordinator(after(1'050)));
  REQUIRE_FALSE(Entry.tick(1, 10, after(1'200)));
  REQUIRE_FALSE(Entry.handleClaim(C, true, after(1'210)));
  REQUIRE_FALSE(Entry.tick(1, 10, after(1'250)));
  // Repeated pauses do not delay the claim forever.
  REQUIRE_FALSE(Entry.tick(1, 10, after(1'600)));
  REQUIRE(Entry.tick(1, 10, after(1'900)));
}

// Guards against an entry that was partitioned for a moment and then draws the
// other entries away from their coordinator.
TEST_CASE(
    "a claim with a minority does not replace a coordinator with a majority") {
  CoordinatorElection Entry("entry", 1);
  REQUIRE(Entry.handleClaim(claim("majority", 3), true, Start));
  REQUIRE_FALSE(
      Entry.handleClaim(claim("minority", 4, 1, 10), true, after(50)));
  REQUIRE(Entry.currentClaim()->Name == "majority");
  CoordinatorElection Minority("minority", 1);
  Minority.start(0, Start);
  REQUIRE(Minority.tick(1, 10, after(300)));
  Minority.tick(1, 10, after(350));
  REQUIRE(Minority.handleClaim(claim("majority", 1), true, after(400)));
  REQUIRE_FALSE(Minority.isCoordinator());
}

// Replays a coordinator whose process was suspended while another one took
// over: it still counts all entries as its followers.
TEST_CASE("of two coordinators with a majority the newer one stays") {
  CoordinatorElection Resumed("resumed", 1);
  Resumed.start(0, Start);
  REQUIRE(Resumed.tick(1, 1, after(300)));
  REQUIRE_FALSE(Resumed.tick(10, 10, after(350)));
  REQUIRE_FALSE(
      Resumed.handleClaim(claim("other", 1, 2, 10), true, after(400)));
  REQUIRE(Resumed.handleClaim(claim("other", 2), true, after(450)));
  REQUIRE_FALSE(Resumed.isCoordinator());
}

// Replays a network that passes packets one way only: the coordinator's updates
// arrive, but it does not receive our reports, so its decisions never come.
TEST_CASE("a coordinator that does not receive our reports is abandoned") {
  CoordinatorElection Entry("entry", 1);
  REQUIRE(Entry.handleClaim(claim("c", 1), true, Start));
  bool Claimed = false;
  for (int Ms = 100; Ms <= 1'200 && !Claimed; Ms += 50) {
    Entry.handleClaim(claim("c", 1), false, after(Ms));
    Claimed = Entry.tick(1, 10, after(Ms));
  }
  REQUIRE(Claimed);
  REQUIRE_FALSE(Entry.handleClaim(claim("c", 1), false, after(1'300)));
  REQUIRE(Entry.isCoordinator());
  REQUIRE(Entry.handleClaim(claim("c", 1), true, after(1'400)));
}

// Guards against a planned shutdown that leaves the entries without decisions
// until the silence timeout.
TEST_CASE("a coordinator that shuts down is replaced at once") {
  CoordinatorElection Leaving("leaving", 1);
  Leaving.start(0, Start);
  REQUIRE(Leaving.tick(1, 1, after(300)));
  Leaving.resign(after(310));
  REQUIRE_FALSE(Leaving.isCoordinator());
  CoordinatorElection Deputy("deputy", 1);
  CoordinatorClaim C = claim("leaving", 1);
  C.Deputies = {"deputy"};
  REQUIRE(Deputy.handleClaim(C, true, after(300)));
  C.Leaving = true;
  Deputy.handleClaim(C, true, after(310));
  REQUIRE(Deputy.tick(1, 9, after(320)));
  REQUIRE(Leaving.handleClaim(claim("deputy", 2, 1, 1), true, after(330)));
}

// Replays a rolling restart: the first restarted entry is the only deputy, and
// used to wait for a coordinator like any entry that starts.
TEST_CASE("a coordinator that shuts down hands over to a newly started entry") {
  CoordinatorElection Restarted("restarted", 2);
  Restarted.start(3, Start);
  CoordinatorClaim C = claim("leaving", 4);
  C.Leaving = true;
  C.Deputies = {"restarted"};
  Restarted.handleClaim(C, false, after(30));
  REQUIRE(Restarted.tick(1, 4, after(50)));
  REQUIRE(Restarted.currentClaim()->Term == 5);
}

// Guards against a fleet of one entry that serves nobody while it shuts down.
TEST_CASE("an entry that shuts down coordinates again if nobody else does") {
  CoordinatorElection Alone("alone", 1);
  Alone.start(0, Start);
  REQUIRE(Alone.tick(1, 1, after(300)));
  Alone.resign(after(400));
  REQUIRE_FALSE(Alone.tick(1, 1, after(500)));
  REQUIRE(Alone.tick(1, 1, after(1'500)));
}

} // namespace hyssoprail::routing
