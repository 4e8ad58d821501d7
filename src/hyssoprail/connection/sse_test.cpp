#include "hyssoprail/connection/sse.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail {
namespace {

std::vector<SseEvent> readAll(const std::vector<std::string> &Chunks) {
  std::vector<SseEvent> Events;
  SseReader Reader([&](SseEvent E) { Events.push_back(std::move(E)); });
  for (const std::string &Chunk : Chunks)
    REQUIRE(succeeded(Reader.feed(Chunk)));
  return Events;
}

std::vector<std::string> splitAt(const std::string &Text,
                                 const std::vector<std::size_t> &Sizes) {
  std::vector<std::string> Chunks;
  std::size_t Offset = 0;
  for (const std::size_t Size : Sizes) {
    Chunks.push_back(Text.substr(Offset, Size % 5));
    Offset = std::min(Text.size(), Offset + Size % 5);
  }
  Chunks.push_back(Text.substr(Offset));
  return Chunks;
}

} // namespace

// Guards against deviations from the event stream format of the HTML standard.
TEST_CASE("events are parsed as the HTML standard specifies") {
  using Events = std::vector<SseEvent>;
  CHECK(readAll({"data: a\n\n"}) == Events{{"", "a"}});
  CHECK(readAll({"\xef\xbb\xbf"
                 "data:a\r\rdata:b\r\n\r\n"}) == Events{{"", "a"}, {"", "b"}});
  CHECK(readAll({": note\nevent: x\nid: 1\ndata\ndata:  b\n\n"}) ==
        Events{{"x", "\n b"}});
  CHECK(readAll({"event: x\n\n", "data: unfinished\n"}).empty());
  CHECK(sseEvent("a\nb", "x") == "event: x\ndata: a\ndata: b\n\n");
}

// Guards against lost or merged events when the stream arrives in chunks.
TEST_CASE("events are independent of how the stream is split") {
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

// Guards against results that depend on the split, for arbitrary bytes.
TEST_CASE("arbitrary streams parse the same however they are split") {
  const auto Byte =
      rc::gen::element('\r', '\n', ':', ' ', 'd', 'a', 't', '\xef', '\0');
  CHECK(rc::check([&](const std::vector<std::size_t> &Sizes) {
    std::string Stream = "data:x\r";
    Stream += *rc::gen::container<std::string>(Byte);
    RC_ASSERT(readAll(splitAt(Stream, Sizes)) == readAll({Stream}));
  }));
}

// Guards against an endpoint that exhausts memory with an event that never
// ends.
TEST_CASE("an event over the size limit is an error") {
  for (const std::string Chunk : {"data: aaaa\n", "aaaaaaaa", "data:\n"}) {
    std::size_t Events = 0;
    SseReader Reader([&](const SseEvent &) { ++Events; }, 1000);
    bool Failed = false;
    for (int I = 0; I < 2'000 && !Failed; ++I)
      Failed = !succeeded(Reader.feed(Chunk));
    CHECK(Failed);
    CHECK_FALSE(succeeded(Reader.feed("\n\ndata: b\n\n")));
    CHECK(Events == 0);
  }
}

// Guards against a truncated stream that is taken for a complete one.
TEST_CASE("a stream that ends inside an event is detected") {
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
