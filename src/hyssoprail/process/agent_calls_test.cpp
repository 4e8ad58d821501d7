#include <catch2/catch.hpp>

#include "hyssoprail/process/agent_test_support.hpp"

namespace hyssoprail::agent_test {
namespace {

AgentOptions serviceOptions() {
  AgentOptions O;
  O.Kind = AgentKind::Service;
  return O;
}

wire::CallOutcome outcome(Harness &H, TestEntry &From,
                          const std::string &Request,
                          const std::string &Claim = {}) {
  wire::Envelope Query = From.envelope();
  *Query.mutable_outcome_query()->mutable_work() =
      workRef(key(Request, wire::LEG_CALL));
  Query.mutable_outcome_query()->set_claim(Claim);
  Query.mutable_outcome_query()->set_started_incarnation(AgentIncarnation);
  H.deliver(From, Query);
  return H.lastSent(wire::Envelope::kOutcomeReply)->outcome_reply().outcome();
}

ServiceResult reply(CallId Call, const std::string &Body) {
  ServiceResult R;
  R.Call = Call;
  R.Status = 200;
  R.Body = Body;
  return R;
}

} // namespace

// Guards against a non-repeatable call that runs twice, such as an order that
// is placed twice.
TEST_CASE("a repeated call receives the stored reply") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  const wire::Envelope Start = H.call(Entry, "r1");
  H.deliver(Entry, Start);
  H.deliver(Entry, Start);
  REQUIRE(H.count<ServiceCall>() == 1);
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_RUNNING);
  H.result(reply(H.lastCall<ServiceCall>()->Call, "placed"));
  H.Sent.clear();
  H.deliver(Entry, H.call(Entry, "r1", false, 2));
  CHECK(H.count<ServiceCall>() == 1);
  CHECK(H.lastSent(wire::Envelope::kCallReply)->call_reply().body() ==
        "placed");
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_DONE);
}

// Guards against a call with a claim that runs again under another request id.
TEST_CASE("a call runs once per claim") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  wire::Envelope First = H.call(Entry, "r1");
  First.mutable_call_start()->set_claim("claim");
  H.deliver(Entry, First);
  H.result(reply(H.lastCall<ServiceCall>()->Call, "placed"));
  wire::Envelope Second = H.call(Entry, "r2");
  Second.mutable_call_start()->set_claim("claim");
  H.deliver(Entry, Second);
  CHECK(H.count<ServiceCall>() == 1);
  CHECK(H.lastSent(wire::Envelope::kCallReply)
            ->call_reply()
            .work()
            .request_id() == "r2");
  CHECK(outcome(H, Entry, "other", "claim") == wire::CALL_OUTCOME_DONE);
}

// Guards against reporting a call as not run if it may have reached the
// service.
TEST_CASE("only a refused connection counts as not run") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "lost"));
  H.result(ServiceResult{H.lastCall<ServiceCall>()->Call,
                         CallStatusCode::ConnectionLost,
                         0,
                         {},
                         {}});
  CHECK_FALSE(H.lastSent(wire::Envelope::kFailed)->failed().not_run());
  CHECK(outcome(H, Entry, "lost") == wire::CALL_OUTCOME_UNKNOWN);
  H.deliver(Entry, H.call(Entry, "refused"));
  CHECK(H.lastCall<ServiceCall>()->FreshConnection);
  H.result(ServiceResult{
      H.lastCall<ServiceCall>()->Call, CallStatusCode::NotSent, 0, {}, {}});
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().not_run());
  const std::size_t CallsBefore = H.count<ServiceCall>();
  H.deliver(Entry, H.call(Entry, "lost", false, 2));
  CHECK(H.count<ServiceCall>() == CallsBefore);
  H.deliver(Entry, H.call(Entry, "refused", false, 1));
  CHECK(H.count<ServiceCall>() == CallsBefore);
  H.deliver(Entry, H.call(Entry, "refused", false, 2));
  CHECK(H.count<ServiceCall>() == CallsBefore + 1);
}

// Guards against a delayed start that runs after it was reported as not run.
TEST_CASE("a call that was reported as not run is refused later") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  const wire::Envelope Delayed = H.call(Entry, "r1");
  CHECK(outcome(H, Entry, "r1") == wire::CALL_OUTCOME_NOT_RUN);
  H.deliver(Entry, Delayed);
  CHECK(H.count<ServiceCall>() == 0);
  CHECK(H.lastSent(wire::Envelope::kFailed)->failed().not_run());
}

// Guards against reporting a call as not run if an earlier agent may have run
// it.
TEST_CASE("calls to an earlier incarnation have an unknown outcome") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  wire::Envelope Start = H.call(Entry, "r1");
  Start.set_to_incarnation(AgentIncarnation - 1);
  H.deliver(Entry, Start);
  CHECK(H.count<ServiceCall>() == 0);
  CHECK_FALSE(H.lastSent(wire::Envelope::kFailed)->failed().not_run());
  wire::Envelope Query = Entry.envelope();
  Query.mutable_outcome_query()->set_started_incarnation(AgentIncarnation - 1);
  *Query.mutable_outcome_query()->mutable_work() =
      workRef(key("r2", wire::LEG_CALL));
  H.deliver(Entry, Query);
  CHECK(H.lastSent(wire::Envelope::kOutcomeReply)->outcome_reply().outcome() ==
        wire::CALL_OUTCOME_UNKNOWN);
}

// Guards against a call whose outcome is lost when its entry dies.
TEST_CASE("a call outlives its entry and its outcome stays known") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  for (int I = 0; I < 50; ++I)
    H.tick();
  CHECK(H.count<AbandonCall>() == 0);
  H.result(reply(H.lastCall<ServiceCall>()->Call, "placed"));
  TestEntry Other{2, "p2"};
  CHECK(outcome(H, Other, "r1") == wire::CALL_OUTCOME_DONE);
}

// Guards against a service that is limited to one call at a time after a short
// idle time between two calls.
TEST_CASE("a service that has just answered gets concurrent calls") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  H.tick(milliseconds(60));
  H.result(reply(H.lastCall<ServiceCall>()->Call, "done"));
  H.deliver(Entry, H.call(Entry, "r2"));
  H.deliver(Entry, H.call(Entry, "r3"));
  CHECK(H.count<ServiceCall>() == 3);
}

// Guards against full load on a service that may have restarted while it was
// idle.
TEST_CASE("a service that was idle gets one call first") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.call(Entry, "r1"));
  H.tick(milliseconds(60));
  H.result(reply(H.lastCall<ServiceCall>()->Call, "done"));
  H.tick(milliseconds(150));
  H.deliver(Entry, H.call(Entry, "r2"));
  H.deliver(Entry, H.call(Entry, "r3"));
  CHECK(H.count<ServiceCall>() == 2);
}

// Guards against credentials that are forwarded to a service.
TEST_CASE("credential headers are removed") {
  Harness H(serviceOptions());
  TestEntry Entry{1, "p1"};
  wire::Envelope Start = H.call(Entry, "r1");
  for (const char *Name : {"Authorization", "COOKIE", "x-api-key", "Accept"})
    Start.mutable_call_start()->add_headers()->set_name(Name);
  H.deliver(Entry, Start);
  const wire::CallStart &Sent = H.lastCall<ServiceCall>()->Start;
  REQUIRE(Sent.headers_size() == 1);
  CHECK(Sent.headers(0).name() == "Accept");
}

// Guards against an outcome store that grows without bound or drops records too
// early.
TEST_CASE("outcomes are kept for their retention time and then dropped") {
  CallOutcomes Outcomes({milliseconds(1'000), 2, 4});
  TimePoint Now{};
  wire::CallReply Reply;
  Reply.set_body("abc");
  for (const char *Id : {"r1", "r2"}) {
    Outcomes.recordStart(Id, 1, std::string("claim-") + Id, Now);
    Outcomes.recordResult(Id, wire::CALL_OUTCOME_DONE, Reply, Now);
  }
  CHECK(Outcomes.full());
  // The older body is dropped, but not its record.
  CHECK(Outcomes.find("r1", "")->Outcome == wire::CALL_OUTCOME_UNKNOWN);
  CHECK(Outcomes.find("x", "claim-r2")->Outcome == wire::CALL_OUTCOME_DONE);
  Outcomes.expire(Now + milliseconds(999));
  CHECK(Outcomes.size() == 2);
  Outcomes.expire(Now + milliseconds(1'001));
  CHECK(Outcomes.size() == 0);
}

} // namespace hyssoprail::agent_test
