#include <catch2/catch.hpp>

#include "hyssoprail/process/agent_test_support.hpp"

namespace hyssoprail::agent_test {
namespace {

/// Runs decodes with low latency until the cold-start limit reaches all slots.
void warmUp(Harness &H, TestEntry &From) {
  for (int I = 0; H.Core.stats().Cold; ++I) {
    REQUIRE(I < 50);
    const std::string Name = "warm-" + std::to_string(I);
    std::vector<CallId> Running;
    for (unsigned N = 0; N < H.Core.stats().Slots; ++N) {
      const std::string Request = Name + "-" + std::to_string(N);
      H.deliver(From, H.reserve(From, Request));
      const std::size_t CallsBefore = H.count<DecodeCall>();
      H.deliver(From, H.decode(From, Request));
      if (H.count<DecodeCall>() > CallsBefore)
        Running.push_back(H.lastCall<DecodeCall>()->Call);
      H.answerStatus("decode", "e1", H.Core.stats().Slots,
                     H.Core.stats().Pieces);
    }
    for (std::uint32_t Token = 0; Token < 2; ++Token) {
      H.tick(milliseconds(60));
      for (const CallId Call : Running)
        H.result(DecodeTokens{Call, Token, {"x"}});
    }
    for (const CallId Call : Running)
      H.result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 2});
    H.heartbeat(From);
    H.confirmCancels();
  }
}

/// Requests the start of \p Name. Returns its call, or 0 if it has to wait.
CallId startDecode(Harness &H, TestEntry &From, const std::string &Name) {
  const std::size_t CallsBefore = H.count<DecodeCall>();
  H.deliver(From, H.decode(From, Name));
  return H.count<DecodeCall>() > CallsBefore ? H.lastCall<DecodeCall>()->Call
                                             : 0;
}

bool granted(const Harness &H, const std::string &Request) {
  bool Found = false;
  for (const SendMessage &S : H.Sent)
    if (S.Message.reserve_reply().work().request_id() == Request)
      Found = S.Message.reserve_reply().granted();
  return Found;
}

} // namespace

// Guards against grants that exceed the memory of the engine.
TEST_CASE("grants stay within slots and pieces") {
  Harness H;
  H.bringUp("decode", 4, 6);
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  H.deliver(Entry, H.reserve(Entry, "a", 0, 0, 4'096)); // two pieces
  H.deliver(Entry, H.reserve(Entry, "b", 0, 0, 4'097)); // three pieces
  H.deliver(Entry, H.reserve(Entry, "c", 0, 0, 4'096));
  CHECK(granted(H, "a"));
  CHECK(granted(H, "b"));
  CHECK_FALSE(granted(H, "c"));
  CHECK(H.Core.stats().PiecesUsed == 5);
}

// Guards against waiting reservations that are lost or overtaken.
TEST_CASE("a waiting reservation is granted on release or refused on timeout") {
  Harness H;
  H.bringUp("decode", 2, 64);
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  H.deliver(Entry, H.reserve(Entry, "a"));
  H.deliver(Entry, H.reserve(Entry, "b"));
  H.deliver(Entry, H.reserve(Entry, "c", 1'000));
  H.deliver(Entry, H.reserve(Entry, "d", 200));
  CHECK_FALSE(granted(H, "c"));
  wire::Envelope Cancel = Entry.envelope();
  *Cancel.mutable_cancel()->mutable_work() =
      workRef(key("a", wire::LEG_DECODE));
  H.deliver(Entry, Cancel);
  CHECK(granted(H, "c"));
  H.tick(milliseconds(250));
  CHECK_FALSE(granted(H, "d"));
  CHECK(H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().reason() ==
        wire::REFUSAL_REASON_FULL);
}

// Guards against an advance reservation without a predicted release, and
// against a slot that was reserved in advance but is given to other work.
TEST_CASE("a slot is reserved in advance against a predicted release") {
  Harness H;
  H.bringUp("decode", 1, 64);
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  H.deliver(Entry, H.reserve(Entry, "a", 0, 0, 40)); // 20 output tokens
  const CallId Call = startDecode(H, Entry, "a");
  REQUIRE(Call != 0);
  H.deliver(Entry, H.reserve(Entry, "soon", 0, 100));
  CHECK_FALSE(granted(H, "soon"));
  H.deliver(Entry, H.reserve(Entry, "later", 0, 5'000));
  CHECK(granted(H, "later"));
  H.deliver(Entry, H.reserve(Entry, "next", 2'000));
  CHECK(startDecode(H, Entry, "later") == 0);
  H.result(DecodeTokens{Call, 0, {"x"}});
  H.result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 1});
  CHECK(H.lastCall<DecodeCall>()->Id == "later/1/decode");
  CHECK_FALSE(granted(H, "next"));
}

// Guards against grants that an entry keeps without using them.
TEST_CASE("an unused grant is released") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.reserve(Entry, "a"));
  CHECK(H.Core.stats().SlotsUsed == 1);
  for (int I = 0; I < 70; ++I) {
    H.tick(milliseconds(240));
    H.heartbeat(Entry, {key("a", wire::LEG_DECODE)});
  }
  CHECK(H.Core.stats().SlotsUsed == 0);
}

// Guards against new work in a zone that is out of service.
TEST_CASE("a zone out of service accepts no new work") {
  Harness H;
  H.bringUp("decode", 1, 16);
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.reserve(Entry, "a"));
  H.deliver(Entry, H.reserve(Entry, "b"));
  H.deliver(Entry, H.reserve(Entry, "waits", 5'000));
  H.Config.Value.ZoneOut = true;
  wire::Envelope Records = Entry.envelope();
  Records.mutable_config_records()->add_records()->set_offset(1);
  H.deliver(Entry, Records);
  H.tick();
  CHECK_FALSE(granted(H, "waits"));
  H.deliver(Entry, H.reserve(Entry, "c"));
  CHECK(H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().reason() ==
        wire::REFUSAL_REASON_ZONE_OUT);
}

// Guards against overloading an engine that has just started.
TEST_CASE("a cold engine gets one request first") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  for (const char *Name : {"a", "b", "c", "d"})
    H.deliver(Entry, H.reserve(Entry, Name));
  CHECK(startDecode(H, Entry, "a") != 0);
  CHECK(startDecode(H, Entry, "b") == 0);
  CHECK_FALSE(granted(H, "c"));
}

// Guards against full load on an engine that restarted while it was idle.
TEST_CASE("an idle engine gets one start until it answers") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  for (const char *Name : {"a", "b"})
    H.deliver(Entry, H.reserve(Entry, Name));
  CHECK(startDecode(H, Entry, "a") != 0);
  CHECK(startDecode(H, Entry, "b") == 0);
  const std::size_t CallsBefore = H.count<DecodeCall>();
  H.answerStatus("decode");
  CHECK(H.count<DecodeCall>() == CallsBefore + 1);
}

// Guards against further load on an engine that has just failed a call.
TEST_CASE("a failed call suspends starts until the status is known") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  for (const char *Name : {"a", "b", "c"})
    H.deliver(Entry, H.reserve(Entry, Name));
  const CallId Call = startDecode(H, Entry, "a");
  H.answerStatus("decode");
  REQUIRE(startDecode(H, Entry, "b") != 0);
  H.result(DecodeEnd{Call, CallStatusCode::Busy, {}, 0});
  CHECK(startDecode(H, Entry, "c") == 0);
  const std::size_t CallsBefore = H.count<DecodeCall>();
  H.answerStatus("decode");
  CHECK(H.count<DecodeCall>() == CallsBefore + 1);
}

// Guards against an unnoticed restart, after which grants and limits of the
// earlier engine process would be applied to the new one.
TEST_CASE("an engine restart fails its work and begins a cold start") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  warmUp(H, Entry);
  H.deliver(Entry, H.reserve(Entry, "a"));
  REQUIRE(startDecode(H, Entry, "a") != 0);
  H.tick(milliseconds(200));
  H.answerStatus("decode", "e2");
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().reason() ==
        wire::REFUSAL_REASON_ENGINE);
  CHECK(H.Core.stats().Cold);
  CHECK(H.Core.stats().SlotsUsed == 0);
  CHECK_FALSE(H.Core.ready());
  H.answerHeld();
  CHECK(H.Core.ready());
}

// Guards against engine memory that stays held after a restart of the agent.
TEST_CASE("held work that no entry claims is cancelled") {
  Harness H;
  H.answerStatus("prefill");
  CHECK_FALSE(H.Core.ready());
  H.answerHeld({{"old/1/prefill", 2, "kv"},
                {"kept/1/prefill", 2, "kv"},
                {"gone/1/prefill", 1, "prefill"}});
  CHECK(H.count<CancelCall>() == 1);
  CHECK(H.lastCall<CancelCall>()->Id == "gone/1/prefill");
  CHECK(H.Core.stats().PiecesUsed == 5);
  TestEntry Entry{1, "p1"};
  for (int I = 0; I < 9; ++I) {
    H.tick(milliseconds(240));
    H.heartbeat(Entry, {key("kept", wire::LEG_PREFILL)});
  }
  CHECK(H.lastCall<CancelCall>()->Id == "old/1/prefill");
  H.heartbeat(Entry);
  CHECK(H.lastCall<CancelCall>()->Id == "kept/1/prefill");
}

// Guards against one account or entry starving the others.
TEST_CASE("the queue is fair between accounts and between entries") {
  AgentQueue Queue;
  for (int I = 0; I < 30; ++I) {
    const std::string N = std::to_string(I);
    Queue.push({key("big" + N, wire::LEG_DECODE), 1, "big",
                wire::ROUTE_CLASS_INTERACTIVE, 10, 1});
    if (I < 10)
      Queue.push({key("small" + N, wire::LEG_DECODE), 2, "small",
                  wire::ROUTE_CLASS_INTERACTIVE, 10, 1});
    if (I < 10)
      Queue.push({key("other" + N, wire::LEG_DECODE), 3, "big",
                  wire::ROUTE_CLASS_INTERACTIVE, 10, 1});
  }
  int Small = 0;
  int Other = 0;
  for (int I = 0; I < 20; ++I) {
    const QueuedWork W = Queue.take();
    Small += W.Account == "small" ? 1 : 0;
    Other += W.Entry == 3 ? 1 : 0;
  }
  CHECK(Small == 10);
  CHECK(Other == 5);
}

// Guards against batch work that starves while interactive work fills the
// engine.
TEST_CASE("a waiting batch request is served within nine dispatches") {
  AgentQueue Queue;
  Queue.push(
      {key("batch", wire::LEG_DECODE), 1, "a", wire::ROUTE_CLASS_BATCH, 1, 1});
  for (int I = 0; I < 20; ++I)
    Queue.push({key("chat" + std::to_string(I), wire::LEG_DECODE), 1, "b",
                wire::ROUTE_CLASS_INTERACTIVE, 1, 1});
  int Dispatches = 0;
  while (Queue.take().Class != wire::ROUTE_CLASS_BATCH)
    ++Dispatches;
  CHECK(Dispatches == 8);
}

// Guards against a limit that grows without load at the limit or ignores
// latency.
TEST_CASE("the cold-start limit grows under load and halves on high latency") {
  ColdStartRamp Ramp(RampOptions{});
  TimePoint Now{};
  Ramp.restart(Now);
  Ramp.setMax(8);
  const auto Sample = [&](double Latency, unsigned Running) {
    Now += milliseconds(60);
    Ramp.addSample(Latency, Running, Now);
  };
  for (int I = 0; I < 10; ++I)
    Sample(0.1, 0); // below the limit, must not raise it
  CHECK(Ramp.limit() == 1);
  Sample(0.1, Ramp.limit());
  CHECK(Ramp.limit() == 2);
  Sample(0.1, Ramp.limit());
  CHECK(Ramp.limit() == 4);
  Now += milliseconds(1'000);
  Sample(1.5, 4);
  CHECK(Ramp.limit() == 2);
  for (int I = 0; I < 20; ++I)
    Sample(0.1, Ramp.limit());
  CHECK_FALSE(Ramp.cold());
  CHECK(Ramp.limit() == 8);
  Ramp.setReportedCold(true, Now);
  CHECK(Ramp.limit() == 1);
  for (int I = 0; I < 16; ++I)
    Sample(0.1, Ramp.limit());
  CHECK(Ramp.limit() == 1);
  Sample(0.1, Ramp.limit());
  CHECK(Ramp.limit() == 2);
}

} // namespace hyssoprail::agent_test
