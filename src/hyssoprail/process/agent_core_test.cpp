#include <catch2/catch.hpp>

#include "hyssoprail/process/agent_test_support.hpp"

namespace hyssoprail::agent_test {

namespace {

DecodeTokens tokens(CallId Call, std::uint32_t Index,
                    std::vector<std::string> Words) {
  return {Call, Index, std::move(Words)};
}

/// Reserves and starts the decode of request \p Name. Returns its call.
CallId runDecode(Harness &H, TestEntry &From, const std::string &Name) {
  H.deliver(From, H.reserve(From, Name));
  H.deliver(From, H.decode(From, Name));
  return H.lastCall<DecodeCall>()->Call;
}

} // namespace

// Guards against a decode that loses tokens or its final message, or does not
// release its grant.
TEST_CASE("a decode streams chunks and releases its grant at the end") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  const CallId Call = runDecode(H, Entry, "r1");
  REQUIRE(H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().granted());
  CHECK(H.Core.stats().SlotsUsed == 1);
  H.result(tokens(Call, 0, {"x", "y"}));
  CHECK(H.lastSent(wire::Envelope::kChunk)->chunk().tokens_size() == 2);
  H.result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 2});
  CHECK(H.lastSent(wire::Envelope::kFinished)->finished().output_tokens() == 2);
  CHECK(H.Core.stats().SlotsUsed == 0);
  CHECK(H.Core.stats().PiecesUsed == 0);
}

// Guards against an agent that reports free slots while it still refuses new
// work: an entry then sends requests that are refused.
TEST_CASE("an agent reports no slots until it knows the work on its engine") {
  Harness H;
  TestEntry Entry{1, "p1"};
  const auto ReportedSlots = [&] {
    H.heartbeat(Entry);
    return H.lastSent(wire::Envelope::kHeartbeatAck)
        ->heartbeat_ack()
        .load()
        .slots();
  };
  CHECK(ReportedSlots() == 0);
  H.answerStatus("decode");
  CHECK(ReportedSlots() == 0);
  H.deliver(Entry, H.reserve(Entry, "r1", 1'000));
  CHECK_FALSE(
      H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().granted());
  H.answerHeld();
  CHECK(ReportedSlots() > 0);
  H.deliver(Entry, H.reserve(Entry, "r2", 1'000));
  CHECK(H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().granted());
}

// Guards against KV caches that stay on a prefill engine after their transfer.
TEST_CASE("a KV cache is cancelled when the entry no longer lists it") {
  Harness H;
  H.bringUp("prefill");
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.prefill(Entry, "r1"));
  PrefillResult Done;
  Done.Call = H.lastCall<PrefillCall>()->Call;
  Done.KvHandle = "h";
  Done.PromptTokens = 3;
  Done.KvTtl = milliseconds(5'000);
  H.result(Done);
  CHECK(H.lastSent(wire::Envelope::kPrefillDone)->prefill_done().kv_handle() ==
        "h");
  H.heartbeat(Entry, {key("r1", wire::LEG_PREFILL)});
  CHECK(H.count<CancelCall>() == 0);
  H.heartbeat(Entry);
  REQUIRE(H.count<CancelCall>() == 1);
  H.result(CancelResult{H.lastCall<CancelCall>()->Call, CallStatusCode::Ok});
  CHECK(H.Core.stats().PiecesUsed == 0);
}

// Guards against engine memory that stays held for the requests of a dead
// entry.
TEST_CASE("work of a silent entry is cancelled after the lease time") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  runDecode(H, Entry, "r1");
  for (int I = 0; I < 39; ++I)
    H.tick();
  CHECK(H.count<CancelCall>() == 0);
  H.tick();
  REQUIRE(H.count<CancelCall>() == 1);
  CHECK(H.count<AbandonCall>() == 1);
  // A failed cancellation is repeated until the engine confirms it.
  H.result(
      CancelResult{H.lastCall<CancelCall>()->Call, CallStatusCode::Timeout});
  CHECK(H.Core.stats().SlotsUsed == 1);
  H.tick();
  H.tick();
  CHECK(H.count<CancelCall>() == 2);
  H.result(CancelResult{H.lastCall<CancelCall>()->Call, CallStatusCode::Ok});
  CHECK(H.Core.stats().SlotsUsed == 0);
}

// Guards against a delayed start that is run after its request has ended.
TEST_CASE("a start older than a heartbeat that did not list it is refused") {
  Harness H;
  H.bringUp("prefill");
  TestEntry Entry{1, "p1"};
  const wire::Envelope Delayed = H.prefill(Entry, "r1");
  H.heartbeat(Entry);
  H.deliver(Entry, Delayed);
  CHECK(H.count<PrefillCall>() == 0);
  const wire::Failed &F = H.lastSent(wire::Envelope::kFailed)->failed();
  CHECK(F.reason() == wire::REFUSAL_REASON_STALE);
  CHECK(F.not_run());
}

// Guards against work that runs although its Cancel arrived first.
TEST_CASE("a start that arrives after its cancellation is refused") {
  Harness H;
  H.bringUp("prefill");
  TestEntry Entry{1, "p1"};
  const wire::Envelope Start = H.prefill(Entry, "r1");
  wire::Envelope Cancel = Entry.envelope();
  *Cancel.mutable_cancel()->mutable_work() =
      workRef(key("r1", wire::LEG_PREFILL));
  H.deliver(Entry, Cancel);
  H.deliver(Entry, Start);
  CHECK(H.count<PrefillCall>() == 0);
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().not_run());
}

// Guards against a duplicate start message that runs the same work again.
TEST_CASE("a repeated start is answered with the first result") {
  Harness H;
  H.bringUp("prefill");
  TestEntry Entry{1, "p1"};
  const wire::Envelope Start = H.prefill(Entry, "r1");
  H.deliver(Entry, Start);
  H.deliver(Entry, Start);
  PrefillResult Done;
  Done.Call = H.lastCall<PrefillCall>()->Call;
  Done.KvHandle = "h";
  H.result(Done);
  H.Sent.clear();
  H.deliver(Entry, Start);
  CHECK(H.count<PrefillCall>() == 1);
  CHECK(H.lastSent(wire::Envelope::kPrefillDone) != nullptr);
}

// Guards against starts that were addressed to an earlier agent process.
TEST_CASE("work for another incarnation of the agent is refused") {
  Harness H;
  H.bringUp("prefill");
  TestEntry Entry{1, "p1"};
  wire::Envelope Start = H.prefill(Entry, "r1");
  Start.set_to_incarnation(5);
  H.deliver(Entry, Start);
  CHECK(H.count<PrefillCall>() == 0);
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().reason() ==
        wire::REFUSAL_REASON_WRONG_ENDPOINT);
}

// Guards against tokens that are lost when a link breaks.
TEST_CASE("chunks and the result are sent again over a replaced link") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  const CallId Call = runDecode(H, Entry, "r1");
  H.result(tokens(Call, 0, {"x", "y", "z"}));
  H.result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 3});
  Entry.Peer = "p2";
  H.heartbeat(Entry, {key("r1", wire::LEG_DECODE)});
  CHECK(H.lastSent(wire::Envelope::kFinished, "p2") != nullptr);
  wire::Envelope Resend = Entry.envelope();
  *Resend.mutable_resend_request()->mutable_work() =
      workRef(key("r1", wire::LEG_DECODE));
  Resend.mutable_resend_request()->set_from_index(1);
  H.deliver(Entry, Resend);
  const wire::Chunk &Chunk = H.lastSent(wire::Envelope::kChunk, "p2")->chunk();
  CHECK(Chunk.index() == 1);
  REQUIRE(Chunk.tokens_size() == 2);
  CHECK(Chunk.tokens(0) == "y");
}

// Guards against a stalled KV transfer that holds its grant until the deadline
// of the leg.
TEST_CASE("a decode without a first token fails after the transfer timeout") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  runDecode(H, Entry, "r1");
  for (int I = 0; I < 24; ++I) {
    H.tick(milliseconds(200));
    H.heartbeat(Entry, {key("r1", wire::LEG_DECODE)});
  }
  CHECK(H.lastSent(wire::Envelope::kFailed) == nullptr);
  H.tick(milliseconds(250));
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().reason() ==
        wire::REFUSAL_REASON_TIMEOUT);
}

// Guards against a shutdown that aborts live requests or accepts new ones.
TEST_CASE("a draining agent finishes its work and refuses new work") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  const CallId Call = runDecode(H, Entry, "r1");
  H.Core.drain(H.now());
  H.collect();
  H.deliver(Entry, H.reserve(Entry, "r2"));
  CHECK(H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().reason() ==
        wire::REFUSAL_REASON_LEAVING);
  H.heartbeat(Entry, {key("r1", wire::LEG_DECODE)});
  CHECK(H.lastSent(wire::Envelope::kHeartbeatAck)->heartbeat_ack().leaving());
  CHECK_FALSE(H.Core.drained(H.now()));
  H.result(tokens(Call, 0, {"x"}));
  H.result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 1});
  H.tick(milliseconds(400));
  CHECK(H.Core.drained(H.now()));
}

// Guards against an agent that continues with an outdated configuration.
TEST_CASE("records are requested when an entry has a newer version") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  wire::Envelope Beat = Entry.envelope();
  Beat.mutable_heartbeat()->set_version(9);
  H.deliver(Entry, Beat);
  REQUIRE(H.lastSent(wire::Envelope::kConfigRequest) != nullptr);
  wire::Envelope Records = Entry.envelope();
  Records.mutable_config_records()->add_records()->set_offset(9);
  H.deliver(Entry, Records);
  H.heartbeat(Entry);
  CHECK(H.lastSent(wire::Envelope::kHeartbeatAck)->heartbeat_ack().version() ==
        9);
}

} // namespace hyssoprail::agent_test
