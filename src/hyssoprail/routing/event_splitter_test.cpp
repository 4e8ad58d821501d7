#include "hyssoprail/routing/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail::routing {

// Guards against events that are changed, lost or merged when the stream
// arrives in chunks of any size.
TEST_CASE("events are complete and unchanged however the stream is chunked") {
  const std::string Stream = "id: 1\ndata: a\n\n"
                             "x-version: 7\nid:2\ndata: b\ndata: c\n\n"
                             "data: no id\r\n\r\n"
                             "id: 3\ndata: d\n\n";
  const bool Passed = rc::check("any chunk sizes", [&] {
    EventSplitter Splitter;
    std::string Joined;
    std::vector<std::optional<std::uint64_t>> Ids;
    std::size_t At = 0;
    while (At < Stream.size()) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, 9);
      Splitter.feed(std::string_view(Stream).substr(At, Size));
      At += Size;
      while (auto Event = Splitter.next()) {
        Joined += Event->Bytes;
        Ids.push_back(Event->Id);
      }
    }
    RC_ASSERT(Joined == Stream);
    RC_ASSERT(Ids == (std::vector<std::optional<std::uint64_t>>{
                         1, 2, std::nullopt, 3}));
    RC_ASSERT(Splitter.atBoundary());
  });
  REQUIRE(Passed);
}

// Guards against delivering a truncated event when the engine crashes.
TEST_CASE("an incomplete event is not delivered") {
  EventSplitter Splitter;
  Splitter.feed("id: 1\ndata: hal");
  REQUIRE_FALSE(Splitter.next().has_value());
  REQUIRE_FALSE(Splitter.atBoundary());
}

// Guards against events that are taken for text, and the reverse.
TEST_CASE("text without any field of an event is recognised") {
  const auto IsForeign = [](const std::string &Text) {
    EventSplitter Splitter;
    Splitter.feed(Text);
    return Splitter.next()->IsForeignText;
  };
  for (const char *Event :
       {"data: a\n\n", "data\n\n", "id: 1\r\ndata: a\r\n\r\n", ": comment\n\n",
        "event: end\n\n", "retry: 5\n\n", "x-version: 7\ndata: b\n\n", "\n\n"})
    CHECK_FALSE(IsForeign(Event));
  for (const char *Text : {"overloaded\n\n", "{\n  \"data\": 1\n}\n\n",
                           "<html>\r\n\r\n", "database: down\n\n"})
    CHECK(IsForeign(Text));
}

} // namespace hyssoprail::routing
