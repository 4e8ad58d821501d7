#include <catch2/catch.hpp>

#include "hyssoprail/process/agent_test_support.hpp"

namespace hyssoprail::agent_test {
namespace {

AgentOptions service() {
  AgentOptions O;
  O.Kind = AgentKind::Service;
  return O;
}

wire::CallOutcome outcome(Harness &H, TestEntry &From,
                          const std::string &Request,
                          const std::string &Claim = {}) {
  wire::Envelope Ask = From.envelope();
  *Ask.mutable_outcome_query()->mutable_work() =
      workRef(key(Request, wire::LEG_CALL));
  Ask.mutable_outcome_query()->set_claim(Claim);
  Ask.mutable_outcome_query()->set_started_incarnation(AgentIncarnation);
  H.deliver(From, Ask);
  return H.sent(wire::Envelope::kOutcomeReply)->outcome_reply().outcome();
}

ServiceResult reply(CallId Call, const std::string &Body) {
  ServiceResult R;
  R.Call = Call;
  R.Status = 200;
  R.Body = Body;
  return R;
}

} // namespace

// Guards against an order that is placed twice.
TEST_CASE("a repeated call gets the stored reply") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  const wire::Envelope Start = H.call(Entry, "r1");
  H.deliver(Entry, Start);
  H.deliver(Entry, Start);
  REQUIRE(H.count<ServiceCall>() == 1);
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_RUNNING);
  H.result(reply(H.last<ServiceCall>()->Call, "placed"));
  H.Sent.clear();
  H.deliver(Entry, H.call(Entry, "r1", false, 2));
  CHECK(H.count<ServiceCall>() == 1);
  CHECK(H.sent(wire::Envelope::kCallReply)->call_reply().body() == "placed");
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_DONE);
}

// Guards against a keyed call that runs again under another request id.
TEST_CASE("a call runs once per claim") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  wire::Envelope First = H.call(Entry, "r1");
  First.mutable_call_start()->set_claim("claim");
  H.deliver(Entry, First);
  H.result(reply(H.last<ServiceCall>()->Call, "placed"));
  wire::Envelope Second = H.call(Entry, "r2");
  Second.mutable_call_start()->set_claim("claim");
  H.deliver(Entry, Second);
  CHECK(H.count<ServiceCall>() == 1);
  CHECK(H.sent(wire::Envelope::kCallReply)->call_reply().work().request_id() ==
        "r2");
  CHECK(outcome(H, Entry, "other", "claim") == wire::CALL_OUTCOME_DONE);
}

// Guards against "not run" for a call that may have reached the service.
TEST_CASE("only a refused connection counts as not run") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "lost"));
  H.result(
      ServiceResult{H.last<ServiceCall>()->Call, CallEnd::Broken, 0, {}, {}});
  CHECK_FALSE(H.sent(wire::Envelope::kFailed)->failed().not_run());
  CHECK(outcome(H, Entry, "lost") == wire::CALL_OUTCOME_UNKNOWN);
  H.deliver(Entry, H.call(Entry, "refused"));
  CHECK(H.last<ServiceCall>()->FreshConnection);
  H.result(
      ServiceResult{H.last<ServiceCall>()->Call, CallEnd::NotSent, 0, {}, {}});
  CHECK(H.sent(wire::Envelope::kFailed)->failed().not_run());
  const std::size_t Before = H.count<ServiceCall>();
  H.deliver(Entry, H.call(Entry, "lost", false, 2));
  CHECK(H.count<ServiceCall>() == Before);
  H.deliver(Entry, H.call(Entry, "refused", false, 1));
  CHECK(H.count<ServiceCall>() == Before);
  H.deliver(Entry, H.call(Entry, "refused", false, 2));
  CHECK(H.count<ServiceCall>() == Before + 1);
}

// Guards against a delayed start that runs after the entry was told "not run".
TEST_CASE("a call reported as not run is refused later") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  const wire::Envelope Delayed = H.call(Entry, "r1");
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_NOT_RUN);
  H.deliver(Entry, Delayed);
  CHECK(H.count<ServiceCall>() == 0);
  CHECK(H.sent(wire::Envelope::kFailed)->failed().not_run());
}

// Guards against "not run" about a call that an earlier agent may have run.
TEST_CASE("nothing is claimed about calls to an earlier incarnation") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  wire::Envelope Start = H.call(Entry, "r1");
  Start.set_to_incarnation(AgentIncarnation - 1);
  H.deliver(Entry, Start);
  CHECK(H.count<ServiceCall>() == 0);
  CHECK_FALSE(H.sent(wire::Envelope::kFailed)->failed().not_run());
  wire::Envelope Ask = Entry.envelope();
  Ask.mutable_outcome_query()->set_started_incarnation(AgentIncarnation - 1);
  *Ask.mutable_outcome_query()->mutable_work() =
      workRef(key("r2", wire::LEG_CALL));
  H.deliver(Entry, Ask);
  CHECK(H.sent(wire::Envelope::kOutcomeReply)->outcome_reply().outcome() ==
        wire::CALL_OUTCOME_UNKNOWN);
}

// Guards against a call that is forgotten when its entry dies.
TEST_CASE("a call outlives its entry and its outcome stays known") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  for (int I = 0; I < 50; ++I)
    H.tick();
  CHECK(H.count<AbandonCall>() == 0);
  H.result(reply(H.last<ServiceCall>()->Call, "placed"));
  TestEntry Other{2, "p2"};
  CHECK(outcome(H, Other, "r1") == wire::CALL_OUTCOME_DONE);
}

// Guards against a service that is held to one call at a time because it was
// idle for a moment between two calls.
TEST_CASE("a service that has just answered takes calls side by side") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  H.tick(milliseconds(60));
  H.result(reply(H.last<ServiceCall>()->Call, "done"));
  H.deliver(Entry, H.call(Entry, "r2"));
  H.deliver(Entry, H.call(Entry, "r3"));
  CHECK(H.count<ServiceCall>() == 3);
}

// Guards against calls that reach a service all at once after it was idle long
// enough to have restarted.
TEST_CASE("a service that was idle gets one call first") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  H.tick(milliseconds(60));
  H.result(reply(H.last<ServiceCall>()->Call, "done"));
  H.tick(milliseconds(150));
  H.deliver(Entry, H.call(Entry, "r2"));
  H.deliver(Entry, H.call(Entry, "r3"));
  CHECK(H.count<ServiceCall>() == 2);
}

// Guards against credentials that reach a service.
TEST_CASE("credential headers are removed") {
  Harness H(service());
  TestEntry Entry{1, "p1"};
  wire::Envelope Start = H.call(Entry, "r1");
  for (const char *Name : {"Authorization", "COOKIE", "x-api-key", "Accept"})
    Start.mutable_call_start()->add_headers()->set_name(Name);
  H.deliver(Entry, Start);
  const wire::CallStart &Sent = H.last<ServiceCall>()->Start;
  REQUIRE(Sent.headers_size() == 1);
  CHECK(Sent.headers(0).name() == "Accept");
}

// Guards against an outcome store that grows without bound or forgets early.
TEST_CASE("outcomes are kept for their time and never dropped before it") {
  CallOutcomes Outcomes({milliseconds(1'000), 2, 4});
  TimePoint Now{};
  wire::CallReply Reply;
  Reply.set_body("abc");
  for (const char *Id : {"r1", "r2"}) {
    Outcomes.recordStart(Id, 1, std::string("claim-") + Id, Now);
    Outcomes.recordResult(Id, wire::CALL_OUTCOME_DONE, Reply, Now);
  }
  CHECK(Outcomes.full());
  // The older body is dropped, the record is not.
  CHECK(Outcomes.find("r1", "")->Outcome == wire::CALL_OUTCOME_UNKNOWN);
  CHECK(Outcomes.find("x", "claim-r2")->Outcome == wire::CALL_OUTCOME_DONE);
  Outcomes.expire(Now + milliseconds(999));
  CHECK(Outcomes.size() == 2);
  Outcomes.expire(Now + milliseconds(1'001));
  CHECK(Outcomes.size() == 0);
}

} // namespace hyssoprail::agent_test
