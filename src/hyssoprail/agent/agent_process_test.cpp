#include <atomic>
#include <map>
#include <thread>

#include <catch2/catch.hpp>

#include "hyssoprail/agent/process_test_support.hpp"
#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::agent_test {
namespace {

wire::WorkRef ref(const std::string &Request, wire::Leg Leg) {
  wire::WorkRef R;
  R.set_request_id(Request);
  R.set_attempt(1);
  R.set_leg(Leg);
  return R;
}

/// Waits until the agent reports a free slot.
wire::Envelope awaitReady(EntryLink &Link) {
  return Link.await([](const wire::Envelope &E) {
    return E.heartbeat_ack().load().slots() > 0;
  });
}

wire::Envelope startPrefill(const std::string &Request,
                            const std::string &Prompt) {
  wire::Envelope E;
  wire::PrefillStart &P = *E.mutable_prefill_start();
  *P.mutable_work() = ref(Request, wire::LEG_PREFILL);
  P.set_prompt(Prompt);
  P.set_prompt_tokens(countTokens(Prompt));
  P.set_model("m");
  P.set_deadline_ms(10'000);
  return E;
}

wire::Envelope startDecode(const std::string &Request,
                           const std::string &Prompt,
                           const wire::PrefillDone &Kv) {
  wire::Envelope E;
  wire::DecodeStart &D = *E.mutable_decode_start();
  *D.mutable_work() = ref(Request, wire::LEG_DECODE);
  D.set_prompt(Prompt);
  D.set_model("m");
  D.set_kv_handle(Kv.kv_handle());
  D.set_kv_source(Kv.kv_source());
  D.set_max_tokens(20);
  D.set_deadline_ms(15'000);
  return E;
}

} // namespace

// Guards against an agent that speaks the engines' protocol wrongly.
TEST_CASE("a request runs over a prefill and a decode engine") {
  const ChildProcess PrefillEngine("standin-engine", {"--role=prefill"});
  const ChildProcess DecodeEngine("standin-engine", {"--role=decode"});
  AgentProcess PrefillAgent(PrefillEngine.http(), "engine");
  AgentProcess DecodeAgent(DecodeEngine.http(), "engine");
  EntryLink ToPrefill(PrefillAgent.value("peer"));
  EntryLink ToDecode(DecodeAgent.value("peer"));
  REQUIRE(awaitReady(ToPrefill).has_heartbeat_ack());
  REQUIRE(awaitReady(ToDecode).has_heartbeat_ack());

  const std::string Prompt = "one two three four";
  const wire::WorkRef Decode = ref("r1", wire::LEG_DECODE);
  const wire::WorkRef Prefill = ref("r1", wire::LEG_PREFILL);
  wire::Envelope Ask;
  *Ask.mutable_reserve_request()->mutable_work() = Decode;
  Ask.mutable_reserve_request()->set_prompt_tokens(4);
  Ask.mutable_reserve_request()->set_max_tokens(20);
  Ask.mutable_reserve_request()->set_wait_ms(1'000);
  ToDecode.send(Ask);
  REQUIRE(
      ToDecode
          .await([](const auto &E) { return E.has_reserve_reply(); }, {Decode})
          .reserve_reply()
          .granted());
  ToPrefill.send(startPrefill("r1", Prompt));
  const wire::Envelope Kv = ToPrefill.await(
      [](const auto &E) { return E.has_prefill_done(); }, {Prefill});
  REQUIRE(Kv.has_prefill_done());
  ToDecode.send(startDecode("r1", Prompt, Kv.prefill_done()));
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

// Guards against a cold engine that is given more than it bears: the stand-in
// restarts and fails its work when more than four run while it is cold.
TEST_CASE("a burst does not crash a cold engine") {
  const ChildProcess PrefillEngine("standin-engine",
                                   {"--role=prefill", "--kv_ttl_ms=30000"});
  const ChildProcess DecodeEngine("standin-engine", {"--role=decode"});
  const AgentProcess PrefillAgent(PrefillEngine.http(), "engine");
  const AgentProcess DecodeAgent(DecodeEngine.http(), "engine");
  EntryLink ToPrefill(PrefillAgent.value("peer"));
  EntryLink ToDecode(DecodeAgent.value("peer"));
  REQUIRE(awaitReady(ToPrefill).has_heartbeat_ack());
  REQUIRE(awaitReady(ToDecode).has_heartbeat_ack());
  constexpr std::size_t Burst = 12;
  std::vector<wire::WorkRef> Prefills;
  std::vector<wire::WorkRef> Decodes;
  for (std::size_t I = 0; I < Burst; ++I) {
    const std::string Request = "burst-" + std::to_string(I);
    Prefills.push_back(ref(Request, wire::LEG_PREFILL));
    Decodes.push_back(ref(Request, wire::LEG_DECODE));
    wire::Envelope Ask;
    *Ask.mutable_reserve_request()->mutable_work() = Decodes.back();
    Ask.mutable_reserve_request()->set_prompt_tokens(2);
    Ask.mutable_reserve_request()->set_max_tokens(20);
    Ask.mutable_reserve_request()->set_wait_ms(15'000);
    ToDecode.send(Ask);
    ToPrefill.send(startPrefill(Request, "word " + Request));
  }
  std::map<std::string, wire::PrefillDone> Kv;
  ToPrefill.await(
      [&](const wire::Envelope &E) {
        if (E.has_prefill_done())
          Kv[E.prefill_done().work().request_id()] = E.prefill_done();
        return Kv.size() == Burst;
      },
      Prefills);
  REQUIRE(Kv.size() == Burst);
  std::size_t Finished = 0;
  const auto Step = [&](const wire::Envelope &E) {
    const std::string &Granted = E.reserve_reply().work().request_id();
    if (E.reserve_reply().granted())
      ToDecode.send(startDecode(Granted, "word " + Granted, Kv[Granted]));
    Finished += E.has_finished() ? 1 : 0;
    return E.has_failed() || Finished == Burst;
  };
  // The KV caches are kept by heartbeats to the prefill agent.
  std::atomic<bool> Stop{false};
  std::thread Heartbeats([&] {
    while (!Stop)
      ToPrefill.await([&](const auto &) { return Stop.load(); }, Prefills);
  });
  const wire::Envelope Last = ToDecode.await(Step, Decodes);
  Stop = true;
  Heartbeats.join();
  INFO(Last.ShortDebugString());
  CHECK_FALSE(Last.has_failed());
  CHECK(Finished == Burst);
}

// Guards against a service call that is lost or stripped of its answer.
TEST_CASE("a call reaches a plain service once") {
  const ChildProcess Service("standin-service", {});
  const AgentProcess Agent(Service.http(), "service");
  EntryLink Link(Agent.value("peer"));
  REQUIRE(awaitReady(Link).has_heartbeat_ack());
  wire::Envelope Start;
  wire::CallStart &Call = *Start.mutable_call_start();
  *Call.mutable_work() = ref("c1", wire::LEG_CALL);
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
  const std::size_t Seen = Link.received().size();
  wire::Envelope Executions;
  wire::CallStart &List = *Executions.mutable_call_start();
  *List.mutable_work() = ref("c2", wire::LEG_CALL);
  List.set_method("GET");
  List.set_target("/executions");
  List.set_repeatable(true);
  Link.send(Executions);
  const wire::Envelope Counts = Link.await(
      [](const auto &E) {
        return E.has_call_reply() && E.call_reply().work().request_id() == "c2";
      },
      {List.work()}, Seen);
  INFO(Counts.call_reply().body());
  const auto Body = nlohmann::json::parse(Counts.call_reply().body());
  CHECK(Body.dump().find("\"c1\":1") != std::string::npos);
}

} // namespace hyssoprail::agent_test
