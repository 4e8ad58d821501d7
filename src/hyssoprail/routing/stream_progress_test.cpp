#include "hyssoprail/routing/stream_progress.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {

// Guards against delivering events twice after a stream resumed at another
// engine.
TEST_CASE("events that the caller has received are not passed on again") {
  StreamProgress P;
  CHECK(P.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK_FALSE(P.atEventEnd());
  P.restart();
  CHECK_FALSE(P.gotNewEvent());
  CHECK(P.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(P.atEventEnd());
  CHECK(P.events() == 2);
  CHECK(P.lastEventId() == 2);
}

TEST_CASE("a resumed request gets only later events") {
  StreamProgress P;
  P.resumeAfter(3);
  CHECK(P.feed("id: 3\ndata: c\n\n").empty());
  CHECK_FALSE(P.gotNewEvent());
  CHECK(P.feed("id: 4\ndata: d\n\n") == "id: 4\ndata: d\n\n");
}

} // namespace hyssoprail::routing
