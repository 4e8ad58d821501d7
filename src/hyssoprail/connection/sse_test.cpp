#include "hyssoprail/connection/sse.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail {
namespace {

std::vector<SseEvent> readAll(const std::vector<std::string> &Pieces) {
  std::vector<SseEvent> Events;
  SseReader Reader([&](SseEvent E) { Events.push_back(std::move(E)); });
  for (const std::string &Piece : Pieces)
    REQUIRE(succeeded(Reader.feed(Piece)));
  return Events;
}

std::vector<std::string> splitAt(const std::string &Text,
                                 const std::vector<std::size_t> &Sizes) {
  std::vector<std::string> Pieces;
  std::size_t At = 0;
  for (const std::size_t Size : Sizes) {
    Pieces.push_back(Text.substr(At, Size % 5));
    At = std::min(Text.size(), At + Size % 5);
  }
  Pieces.push_back(Text.substr(At));
  return Pieces;
}

} // namespace

// Guards against deviations from the format of the HTML standard.
TEST_CASE("events are read as the standard describes") {
  using Events = std::vector<SseEvent>;
  CHECK(readAll({"data: a\n\n"}) == Events{{"", "a"}});
  CHECK(readAll({"\xef\xbb\xbf"
                 "data:a\r\rdata:b\r\n\r\n"}) == Events{{"", "a"}, {"", "b"}});
  CHECK(readAll({": note\nevent: x\nid: 1\ndata\ndata:  b\n\n"}) ==
        Events{{"x", "\n b"}});
  CHECK(readAll({"event: x\n\n", "data: unfinished\n"}).empty());
  CHECK(sseEvent("a\nb", "x") == "event: x\ndata: a\ndata: b\n\n");
}

// Guards against lost or joined events when the network splits the stream.
TEST_CASE("events survive any split of the stream") {
  CHECK(rc::check([](const std::vector<std::string> &Texts,
                     const std::vector<std::size_t> &Sizes) {
    std::string Stream;
    std::vector<SseEvent> Expected;
    for (std::string Text : Texts) {
      std::erase(Text, '\r');
      Stream += sseEvent(Text);
      Expected.push_back({"", Text});
    }
    RC_ASSERT(readAll(splitAt(Stream, Sizes)) == Expected);
  }));
}

// Guards against results that depend on the split, for streams of any bytes.
TEST_CASE("a split never changes what is read") {
  const auto Byte =
      rc::gen::element('\r', '\n', ':', ' ', 'd', 'a', 't', '\xef', '\0');
  CHECK(rc::check([&](const std::vector<std::size_t> &Sizes) {
    std::string Stream = "data:x\r";
    Stream += *rc::gen::container<std::string>(Byte);
    RC_ASSERT(readAll(splitAt(Stream, Sizes)) == readAll({Stream}));
  }));
}

// Guards against an endpoint that fills the memory with an endless event.
TEST_CASE("an endless event is an error") {
  for (const std::string Piece : {"data: aaaa\n", "aaaaaaaa", "data:\n"}) {
    std::size_t Events = 0;
    SseReader Reader([&](const SseEvent &) { ++Events; }, 1000);
    bool Failed = false;
    for (int I = 0; I < 2'000 && !Failed; ++I)
      Failed = !succeeded(Reader.feed(Piece));
    CHECK(Failed);
    CHECK_FALSE(succeeded(Reader.feed("\n\ndata: b\n\n")));
    CHECK(Events == 0);
  }
}

// Guards against a truncated stream that is taken for a complete one.
TEST_CASE("a stream that ends inside an event is noticed") {
  SseReader Reader([](const SseEvent &) {});
  CHECK(Reader.atBoundary());
  Reader.feed("data: a\n");
  CHECK_FALSE(Reader.atBoundary());
  Reader.feed("\n");
  CHECK(Reader.atBoundary());
  Reader.feed("da");
  CHECK_FALSE(Reader.atBoundary());
}

} // namespace hyssoprail
