#include "hyssoprail/timeline/merge.hpp"

#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail::timeline {
namespace {

FetchedTimeline fetched(const std::string &Process, std::int64_t Now = 0) {
  FetchedTimeline F;
  F.Of.Process = Process;
  F.Of.NowUnixMicros = Now;
  return F;
}

ReceivedEvent entryOf(const std::string &Request, const std::string &Kind,
                      std::int64_t At) {
  ReceivedEvent E;
  E.UnixMicros = At;
  E.Kind = Kind;
  E.RequestId = Request;
  return E;
}

std::size_t positionOf(const MergedTimeline &In, const std::string &Request,
                       const std::string &Kind) {
  const auto It = std::find_if(
      In.Events.begin(), In.Events.end(), [&](const MergedEvent &E) {
        return E.Event.RequestId == Request && E.Event.Kind == Kind;
      });
  return static_cast<std::size_t>(It - In.Events.begin());
}

} // namespace

// Guards against an order in which an answer comes before its question, and
// against an estimate outside of its own error, with clocks that differ by up
// to an hour.
TEST_CASE("merged events are in order of sending under skewed clocks") {
  const bool Passed = rc::check("order under skewed clocks", [] {
    constexpr std::int64_t Hour = 3'600'000'000;
    const auto Skew = [] { return *rc::gen::inRange(-Hour, Hour); };
    const auto Delay = [] { return *rc::gen::inRange<std::int64_t>(0, 5'000); };
    const std::int64_t EntryOffset = Skew();
    const std::int64_t AgentOffset = Skew();
    FetchedTimeline Entry = fetched("entry");
    FetchedTimeline Agent = fetched("agent");
    std::int64_t True = 1'000'000'000'000;
    const int Requests = *rc::gen::inRange(1, 10);
    for (int I = 0; I < Requests; ++I) {
      const std::string Id = std::to_string(I);
      Entry.Of.Events.push_back(
          entryOf(Id, "request_accepted", True + EntryOffset));
      True += Delay();
      Agent.Of.Events.push_back(
          entryOf(Id, "decode_started", True + AgentOffset));
      True += Delay();
      Agent.Of.Events.push_back(
          entryOf(Id, "decode_finished", True + AgentOffset));
      True += Delay();
      Entry.Of.Events.push_back(
          entryOf(Id, "request_finished", True + EntryOffset));
      True += Delay();
    }
    for (FetchedTimeline *Of : {&Entry, &Agent}) {
      Of->AskedUnixMicros = True;
      True += 100 * Delay();
      Of->Of.NowUnixMicros = True + (Of == &Entry ? EntryOffset : AgentOffset);
      True += 100 * Delay();
      Of->AnsweredUnixMicros = True;
    }
    const MergedTimeline Merged = mergeTimelines({Agent, Entry});
    RC_ASSERT(Merged.Consistent);
    const auto Off = [&](std::size_t I, std::int64_t TrueOffset) {
      return std::abs(Merged.Clocks[I].Micros -
                      static_cast<double>(TrueOffset));
    };
    RC_ASSERT(Off(0, AgentOffset) <= Merged.Clocks[0].ErrorMicros);
    RC_ASSERT(Off(1, EntryOffset) <= Merged.Clocks[1].ErrorMicros);
    for (int I = 0; I < Requests; ++I) {
      const std::string Id = std::to_string(I);
      RC_ASSERT(positionOf(Merged, Id, "request_accepted") <
                positionOf(Merged, Id, "decode_started"));
      RC_ASSERT(positionOf(Merged, Id, "decode_finished") <
                positionOf(Merged, Id, "request_finished"));
    }
  });
  CHECK(Passed);
}

// Guards against a tool that fails or hides it when a clock was set.
TEST_CASE("pairs that contradict each other are reported") {
  FetchedTimeline Entry = fetched("entry", 1'000);
  FetchedTimeline Agent = fetched("agent", 1'000);
  Entry.AskedUnixMicros = Agent.AskedUnixMicros = 990;
  Entry.AnsweredUnixMicros = Agent.AnsweredUnixMicros = 1'010;
  Entry.Of.Events = {entryOf("r", "request_accepted", 900)};
  Agent.Of.Events = {entryOf("r", "decode_started", 100)};
  const MergedTimeline Merged = mergeTimelines({Entry, Agent});
  CHECK_FALSE(Merged.Consistent);
  CHECK(Merged.Events.size() == 2);
}

// Guards against encoders and decoders that drift apart, and against a crash
// on the answer of another program.
TEST_CASE("a time line survives encoding, and other bodies are refused") {
  Event E;
  E.Kind = EventKind::LimitGranted;
  E.RequestId = "r";
  E.Attempt = 2;
  E.Detail = "10 tokens";
  E.UnixMicros = 5;
  const auto Read = decodeTimeline(encodeTimeline("entry-1", 7, {E}));
  REQUIRE(succeeded(Read));
  CHECK(valueOf(Read).Process == "entry-1");
  CHECK(valueOf(Read).NowUnixMicros == 7);
  REQUIRE(valueOf(Read).Events.size() == 1);
  CHECK(valueOf(Read).Events[0].Kind == "limit_granted");
  CHECK(valueOf(Read).Events[0].Attempt == 2);
  for (const char *Body : {"", "[]", "{\"process\":1}", "{\"events\":[{}]}"})
    CHECK_FALSE(succeeded(decodeTimeline(Body)));
}

} // namespace hyssoprail::timeline
