#include <atomic>
#include <map>
#include <thread>

#include <catch2/catch.hpp>

#include "hyssoprail/agent/process_test_support.hpp"
#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::agent_test {
namespace {

wire::WorkRef workRef(const std::string &Request, wire::Leg Leg) {
  wire::WorkRef R;
  R.set_request_id(Request);
  R.set_attempt(1);
  R.set_leg(Leg);
  return R;
}

/// Waits for a heartbeat acknowledgement in which the agent admits at least one
/// slot.
wire::Envelope awaitReady(EntryLink &Link) {
  return Link.await([](const wire::Envelope &E) {
    return E.heartbeat_ack().load().slots() > 0;
  });
}

wire::Envelope makePrefillStart(const std::string &Request,
                                const std::string &Prompt) {
  wire::Envelope E;
  wire::PrefillStart &P = *E.mutable_prefill_start();
  *P.mutable_work() = workRef(Request, wire::LEG_PREFILL);
  P.set_prompt(Prompt);
  P.set_prompt_tokens(countTokens(Prompt));
  P.set_model("m");
  P.set_deadline_ms(10'000);
  return E;
}

wire::Envelope makeDecodeStart(const std::string &Request,
                               const std::string &Prompt,
                               const wire::PrefillDone &PrefillReply) {
  wire::Envelope E;
  wire::DecodeStart &D = *E.mutable_decode_start();
  *D.mutable_work() = workRef(Request, wire::LEG_DECODE);
  D.set_prompt(Prompt);
  D.set_model("m");
  D.set_kv_handle(PrefillReply.kv_handle());
  D.set_kv_source(PrefillReply.kv_source());
  D.set_max_tokens(20);
  D.set_deadline_ms(15'000);
  return E;
}

} // namespace

// Guards against errors in the agent's HTTP calls to the engines: the request
// fails, or tokens are wrong or missing.
TEST_CASE("a request runs on a prefill engine and then on a decode engine") {
  const ChildProcess PrefillEngine("standin-engine", {"--role=prefill"});
  const ChildProcess DecodeEngine("standin-engine", {"--role=decode"});
  AgentProcess PrefillAgent(PrefillEngine.httpAddress(), "engine");
  AgentProcess DecodeAgent(DecodeEngine.httpAddress(), "engine");
  EntryLink ToPrefill(PrefillAgent.readyField("peer"));
  EntryLink ToDecode(DecodeAgent.readyField("peer"));
  REQUIRE(awaitReady(ToPrefill).has_heartbeat_ack());
  REQUIRE(awaitReady(ToDecode).has_heartbeat_ack());

  const std::string Prompt = "one two three four";
  const wire::WorkRef Decode = workRef("r1", wire::LEG_DECODE);
  const wire::WorkRef Prefill = workRef("r1", wire::LEG_PREFILL);
  wire::Envelope ReserveRequest;
  *ReserveRequest.mutable_reserve_request()->mutable_work() = Decode;
  ReserveRequest.mutable_reserve_request()->set_prompt_tokens(4);
  ReserveRequest.mutable_reserve_request()->set_max_tokens(20);
  ReserveRequest.mutable_reserve_request()->set_wait_ms(1'000);
  ToDecode.send(ReserveRequest);
  REQUIRE(
      ToDecode
          .await([](const auto &E) { return E.has_reserve_reply(); }, {Decode})
          .reserve_reply()
          .granted());
  ToPrefill.send(makePrefillStart("r1", Prompt));
  const wire::Envelope PrefillReply = ToPrefill.await(
      [](const auto &E) { return E.has_prefill_done(); }, {Prefill});
  REQUIRE(PrefillReply.has_prefill_done());
  ToDecode.send(makeDecodeStart("r1", Prompt, PrefillReply.prefill_done()));
  const wire::Envelope End = ToDecode.await(
      [](const auto &E) { return E.has_finished() || E.has_failed(); },
      {Decode});
  INFO(End.ShortDebugString());
  REQUIRE(End.has_finished());
  const std::uint32_t Length = std::min(20U, referenceLength(Prompt));
  CHECK(End.finished().output_tokens() == Length);
  std::uint32_t Next = 0;
  for (const wire::Envelope &E : ToDecode.received())
    for (const std::string &Token : E.chunk().tokens()) {
      CHECK(Token == referenceToken(Prompt, Next));
      ++Next;
    }
  CHECK(Next == Length);

  DecodeAgent.signal(SIGTERM);
  CHECK(DecodeAgent.wait() == 0);
}

// Guards against an agent that sends a cold engine too much concurrent work:
// the stand-in engine restarts and fails its work when more than four calls are
// active while it is cold.
TEST_CASE("a burst of requests does not crash a cold engine") {
  const ChildProcess PrefillEngine("standin-engine",
                                   {"--role=prefill", "--kv_ttl_ms=30000"});
  const ChildProcess DecodeEngine("standin-engine", {"--role=decode"});
  const AgentProcess PrefillAgent(PrefillEngine.httpAddress(), "engine");
  const AgentProcess DecodeAgent(DecodeEngine.httpAddress(), "engine");
  EntryLink ToPrefill(PrefillAgent.readyField("peer"));
  EntryLink ToDecode(DecodeAgent.readyField("peer"));
  REQUIRE(awaitReady(ToPrefill).has_heartbeat_ack());
  REQUIRE(awaitReady(ToDecode).has_heartbeat_ack());
  constexpr std::size_t Burst = 12;
  std::vector<wire::WorkRef> PrefillWork;
  std::vector<wire::WorkRef> DecodeWork;
  for (std::size_t I = 0; I < Burst; ++I) {
    const std::string Request = "burst-" + std::to_string(I);
    PrefillWork.push_back(workRef(Request, wire::LEG_PREFILL));
    DecodeWork.push_back(workRef(Request, wire::LEG_DECODE));
    wire::Envelope ReserveRequest;
    *ReserveRequest.mutable_reserve_request()->mutable_work() =
        DecodeWork.back();
    ReserveRequest.mutable_reserve_request()->set_prompt_tokens(2);
    ReserveRequest.mutable_reserve_request()->set_max_tokens(20);
    ReserveRequest.mutable_reserve_request()->set_wait_ms(15'000);
    ToDecode.send(ReserveRequest);
    ToPrefill.send(makePrefillStart(Request, "word " + Request));
  }
  std::map<std::string, wire::PrefillDone> PrefillReplies;
  ToPrefill.await(
      [&](const wire::Envelope &E) {
        if (E.has_prefill_done())
          PrefillReplies[E.prefill_done().work().request_id()] =
              E.prefill_done();
        return PrefillReplies.size() == Burst;
      },
      PrefillWork);
  REQUIRE(PrefillReplies.size() == Burst);
  std::size_t Finished = 0;
  const auto OnMessage = [&](const wire::Envelope &E) {
    if (E.has_reserve_reply() && !E.reserve_reply().granted())
      return true;
    const std::string &Granted = E.reserve_reply().work().request_id();
    if (E.reserve_reply().granted())
      ToDecode.send(
          makeDecodeStart(Granted, "word " + Granted, PrefillReplies[Granted]));
    Finished += E.has_finished() ? 1 : 0;
    return E.has_failed() || Finished == Burst;
  };
  // The prefill agent keeps the KV caches only while heartbeats list their
  // work.
  std::atomic<bool> Stop{false};
  std::thread Heartbeats([&] {
    while (!Stop)
      ToPrefill.await([&](const auto &) { return Stop.load(); }, PrefillWork);
  });
  const wire::Envelope Last = ToDecode.await(OnMessage, DecodeWork);
  Stop = true;
  Heartbeats.join();
  INFO(Last.ShortDebugString());
  CHECK_FALSE(Last.has_failed());
  CHECK_FALSE(Last.has_reserve_reply());
  CHECK(Finished == Burst);
}

// Guards against a service call that is lost, is executed again when its
// message is repeated, or loses its response.
TEST_CASE("a service executes a repeated call only once") {
  const ChildProcess Service("standin-service", {});
  const AgentProcess Agent(Service.httpAddress(), "service");
  EntryLink Link(Agent.readyField("peer"));
  REQUIRE(awaitReady(Link).has_heartbeat_ack());
  wire::Envelope Start;
  wire::CallStart &Call = *Start.mutable_call_start();
  *Call.mutable_work() = workRef("c1", wire::LEG_CALL);
  Call.set_method("POST");
  Call.set_target("/orders");
  Call.set_body(R"({"item":"apple","count":1})");
  Call.set_deadline_ms(5'000);
  Link.send(Start);
  Link.send(Start);
  const std::vector<wire::WorkRef> Live{Call.work()};
  const wire::Envelope Reply = Link.await(
      [](const auto &E) { return E.has_call_reply() || E.has_failed(); }, Live);
  INFO(Reply.ShortDebugString());
  REQUIRE(Reply.has_call_reply());
  CHECK(Reply.call_reply().status() < 300);
  const std::size_t ReceivedBefore = Link.received().size();
  wire::Envelope ListStart;
  wire::CallStart &ListCall = *ListStart.mutable_call_start();
  *ListCall.mutable_work() = workRef("c2", wire::LEG_CALL);
  ListCall.set_method("GET");
  ListCall.set_target("/executions");
  ListCall.set_repeatable(true);
  Link.send(ListStart);
  const wire::Envelope ListReply = Link.await(
      [](const auto &E) {
        return E.has_call_reply() && E.call_reply().work().request_id() == "c2";
      },
      {ListCall.work()}, ReceivedBefore);
  INFO(ListReply.call_reply().body());
  const auto Body = nlohmann::json::parse(ListReply.call_reply().body());
  CHECK(Body.dump().find("\"c1\":1") != std::string::npos);
}

} // namespace hyssoprail::agent_test
