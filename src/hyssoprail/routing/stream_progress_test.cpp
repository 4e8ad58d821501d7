#include "hyssoprail/routing/stream_progress.hpp"

#include <string>
#include <utility>
#include <vector>

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

// Guards against an error of the next engine in the middle of the stream, and
// against such a stream that counts as complete.
TEST_CASE("text of a continuation that is no event is not passed on") {
  StreamProgress P;
  CHECK(P.feed("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
  P.restart();
  CHECK(P.feed("id: 2\ndata: b\n\noverloaded\n\nid: 3\ndata: c\n\n") ==
        "id: 2\ndata: b\n\n");
  CHECK_FALSE(P.atEventEnd());
  CHECK(P.lastEventId() == 2);
  P.restart();
  CHECK(P.feed(": alive\n\n\n\ndata: no id\n\nid: 3\ndata: c\n\n") ==
        ": alive\n\n\n\ndata: no id\n\nid: 3\ndata: c\n\n");
  CHECK(P.atEventEnd());
}

// Guards against a check that changes the streams of a single engine.
TEST_CASE("the first engine's stream is passed on as it is") {
  StreamProgress P;
  P.restart();
  CHECK(P.feed("text\n\nid: 1\ndata: a\n\ntext\n\n") ==
        "text\n\nid: 1\ndata: a\n\ntext\n\n");
  CHECK(P.atEventEnd());
}

// Guards against a piece that comes twice: an engine that ignores where the
// stream goes on begins anew, with events that have no ids between the others.
TEST_CASE("events without ids are not repeated with those before them") {
  StreamProgress P;
  P.resumeAfter(2);
  P.restart();
  CHECK(
      P.feed("id: 1\ndata: a\n\ndata: between\n\nid: 2\ndata: b\n\n").empty());
  CHECK(P.feed(": alive\n\nid: 3\ndata: c\n\ndata: end\n\n") ==
        "id: 3\ndata: c\n\ndata: end\n\n");
}

// Guards against a missing piece: ids that only begin with the same number are
// not the same.
TEST_CASE("ids that are no numbers do not make events old") {
  StreamProgress P;
  const std::string Stream = "id: 7-1\ndata: a\n\nid: 7-2\ndata: b\n\n"
                             "id: 7\ndata: c\n\n";
  CHECK(P.feed(Stream) == Stream);
  CHECK(P.lastEventId() == 7);
}

// Guards against a missing piece: a single engine's events are passed on
// whatever their ids are, but no other engine can go on after them.
TEST_CASE("ids that do not grow do not make events old") {
  for (const std::string Next : {"id: 2\n", "id: 1\n", "id: 0\n"}) {
    CAPTURE(Next);
    StreamProgress P;
    P.restart();
    const std::string Stream = "id: 2\ndata: a\n\n" + Next + "data: b\n\n";
    CHECK(P.feed(Stream) == Stream);
    CHECK_FALSE(P.canContinue());
  }
}

// Guards against an event that comes twice in a continuation: two events that
// are taken for one have the id of the first.
TEST_CASE("events with any line ends have ids of their own") {
  const std::vector<std::pair<std::string, std::string>> Ends{
      {"\n", "\n"},   {"\n", "\r\n"}, {"\r\n", "\r\n"},
      {"\r\n", "\n"}, {"\r", "\r"},   {"\r", "\r\n"}};
  for (const auto &[End, Blank] : Ends) {
    CAPTURE(End, Blank);
    StreamProgress P;
    const std::string First = "id: 1" + End + "data: a" + End + Blank;
    const std::string Second = "id: 2" + End + "data: b" + End + Blank;
    std::string Received;
    for (const char Byte : First + Second)
      Received += P.feed(std::string_view(&Byte, 1));
    CHECK(P.lastEventId() == 2);
    CHECK(P.atEventEnd());
    CHECK(Received + P.rest() == First + Second);
    P.restart();
    Received = P.feed(First + Second + "id: 3" + End + End);
    CHECK(Received.find("data") == std::string::npos);
    CHECK(P.lastEventId() == 3);
  }
}

} // namespace hyssoprail::routing
