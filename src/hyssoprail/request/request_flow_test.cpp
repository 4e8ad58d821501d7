#include "hyssoprail/request/request_flow.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {
namespace {

/// A flow whose clock, key check, retry budget and messages a test controls.
class FlowHarness {
public:
  FlowHarness()
      : Events(1000, Time),
        Checks(Events, true), Context{
                                  Checks,
                                  Events,
                                  {},
                                  [this](std::string_view, std::string_view) {
                                    return KeyIsValid;
                                  },
                                  [this](const FlowSpec &, std::uint32_t,
                                         TimePoint) -> std::optional<Duration> {
                                    if (Retries-- <= 0)
                                      return std::nullopt;
                                    return milliseconds(5);
                                  }} {
    Spec.RequestId = "r1";
    Spec.Account = "acme";
    Spec.KeyDigest = "digest";
    Spec.Pool = "pool";
    Spec.DebitTokens = 14;
    Spec.Accepted = Time.now();
    Spec.Deadline = Time.now() + std::chrono::seconds(10);
    Spec.Completion.Prompt = "a b c d";
    Spec.Completion.PromptTokens = 4;
    Spec.Completion.MaxTokens = 10;
    Spec.Completion.Stream = true;
  }

  void begin(bool IsCall = false) {
    Flow = IsCall ? makeCallFlow(Spec, Context)
                  : makeCompletionFlow(Spec, Context);
    Flow->start(Time.now(), Out);
  }

  /// Brings a completion to the phase in which it waits for output tokens.
  void startDecoding() {
    begin();
    Flow->debited(std::monostate{}, Time.now(), Out);
    place("d1", "p1");
    reserveReply("d1", 1, true);
    prefillDone("p1", 1);
  }

  void place(const std::string &Decode, const std::string &Prefill) {
    Placement P;
    P.Decode = Decode;
    P.Prefill = Prefill;
    Flow->placed(P, Time.now(), Out);
  }

  wire::WorkRef work(std::uint32_t Attempt, wire::Leg Leg) const {
    wire::WorkRef W;
    W.set_request_id("r1");
    W.set_attempt(Attempt);
    W.set_leg(Leg);
    return W;
  }

  void reserveReply(const std::string &From, std::uint32_t Attempt,
                    bool Granted) {
    wire::Envelope M;
    *M.mutable_reserve_reply()->mutable_work() =
        work(Attempt, wire::LEG_DECODE);
    M.mutable_reserve_reply()->set_granted(Granted);
    Flow->received(From, M, Time.now(), Out);
  }

  void prefillDone(const std::string &From, std::uint32_t Attempt) {
    wire::Envelope M;
    *M.mutable_prefill_done()->mutable_work() =
        work(Attempt, wire::LEG_PREFILL);
    Flow->received(From, M, Time.now(), Out);
  }

  void chunk(const std::string &From, std::uint32_t Attempt,
             std::uint32_t Index, const std::vector<std::string> &Tokens) {
    wire::Envelope M;
    *M.mutable_chunk()->mutable_work() = work(Attempt, wire::LEG_DECODE);
    M.mutable_chunk()->set_index(Index);
    for (const std::string &T : Tokens)
      M.mutable_chunk()->add_tokens(T);
    Flow->received(From, M, Time.now(), Out);
  }

  void finished(const std::string &From, std::uint32_t Attempt,
                std::uint32_t Tokens) {
    wire::Envelope M;
    *M.mutable_finished()->mutable_work() = work(Attempt, wire::LEG_DECODE);
    M.mutable_finished()->set_output_tokens(Tokens);
    Flow->received(From, M, Time.now(), Out);
  }

  void failed(const std::string &From, std::uint32_t Attempt, wire::Leg Leg,
              bool NotRun) {
    wire::Envelope M;
    *M.mutable_failed()->mutable_work() = work(Attempt, Leg);
    M.mutable_failed()->set_reason(wire::REFUSAL_REASON_ENGINE);
    M.mutable_failed()->set_not_run(NotRun);
    Flow->received(From, M, Time.now(), Out);
  }

  void outcome(const std::string &From, wire::CallOutcome Outcome) {
    wire::Envelope M;
    *M.mutable_outcome_reply()->mutable_work() = work(1, wire::LEG_CALL);
    M.mutable_outcome_reply()->set_outcome(Outcome);
    Flow->received(From, M, Time.now(), Out);
  }

  template <typename T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const FlowAction &A : Out)
      if (const T *Match = std::get_if<T>(&A))
        Found.push_back(*Match);
    return Found;
  }

  std::string text() const {
    std::string Text;
    for (const EmitTokens &E : all<EmitTokens>())
      for (const std::string &T : E.Tokens)
        Text += T;
    return Text;
  }

  /// Returns the number of messages of one kind sent to an endpoint.
  int sent(const std::string &To, wire::Envelope::BodyCase Kind) const {
    int Count = 0;
    for (const SendMessage &S : all<SendMessage>())
      Count += S.Endpoint == To && S.Message.body_case() == Kind ? 1 : 0;
    return Count;
  }

  ManualClock Time;
  Timeline Events;
  Invariants Checks;
  bool KeyIsValid = true;
  int Retries = 5;
  FlowContext Context;
  FlowSpec Spec;
  std::unique_ptr<RequestFlow> Flow;
  FlowActions Out;
};

} // namespace

// Guards against an answer that is truncated or duplicated, and against a wrong
// refund.
TEST_CASE("a completion delivers its answer and refunds unused tokens") {
  FlowHarness H;
  H.startDecoding();
  H.chunk("d1", 1, 0, {"x", "y"});
  H.chunk("d1", 1, 2, {"z"});
  H.finished("d1", 1, 3);
  CHECK(H.text() == "xyz");
  REQUIRE(H.all<FinishAnswer>().size() == 1);
  REQUIRE(H.all<RefundTokens>().size() == 1);
  CHECK(H.all<RefundTokens>().front().Tokens == 7);
  CHECK(H.Flow->liveLegs().empty());
  CHECK(H.Flow->finished());
}

// Guards against duplicated or reordered chunks, and chunks of another endpoint
// or attempt, in an answer.
TEST_CASE("chunks that do not continue the answer are dropped") {
  FlowHarness H;
  H.startDecoding();
  H.chunk("d1", 1, 0, {"x"});
  H.chunk("d1", 1, 0, {"x", "y"});
  H.chunk("d2", 1, 2, {"?"});
  H.chunk("d1", 2, 2, {"?"});
  H.chunk("d1", 1, 3, {"late"});
  CHECK(H.text() == "xy");
  CHECK(H.sent("d1", wire::Envelope::kResendRequest) == 1);
  H.finished("d1", 1, 4);
  CHECK(H.all<FinishAnswer>().empty());
  H.chunk("d1", 1, 2, {"z", "late"});
  CHECK(H.text() == "xyzlate");
  CHECK(H.all<FinishAnswer>().size() == 1);
}

// Guards against repeated or lost tokens when the decode endpoint is lost.
TEST_CASE("a completion resumes at another endpoint") {
  FlowHarness H;
  H.startDecoding();
  H.chunk("d1", 1, 0, {"x", "y"});
  H.Flow->endpointLost("d1", H.Time.now(), H.Out);
  H.Time.advance(milliseconds(5));
  H.Flow->tick(H.Time.now(), H.Out);
  H.place("d2", "p2");
  H.reserveReply("d2", 2, true);
  const auto Sent = H.all<SendMessage>();
  CHECK(Sent.back().Message.prefill_start().prompt() == "a b c d x y");
  CHECK(Sent.back().Message.prefill_start().resumed_tokens() == 2);
  H.prefillDone("p2", 2);
  CHECK(H.all<SendMessage>().back().Message.decode_start().first_index() == 2);
  H.chunk("d1", 1, 2, {"old"});
  H.chunk("d2", 2, 2, {"z"});
  H.finished("d2", 2, 3);
  CHECK(H.text() == "xyz");
  CHECK(H.all<FinishAnswer>().size() == 1);
}

// Guards against a refusal that says "not run" while an agent may have started
// the request or may still start it.
TEST_CASE("a refusal says not run only if every start was refused") {
  const bool Confirmed = GENERATE(true, false);
  FlowHarness H;
  H.Retries = 0;
  H.begin();
  H.Flow->debited(std::monostate{}, H.Time.now(), H.Out);
  H.place("d1", "p1");
  H.reserveReply("d1", 1, true);
  H.failed("p1", 1, wire::LEG_PREFILL, Confirmed);
  REQUIRE(H.all<RefuseRequest>().size() == 1);
  CHECK(H.all<RefuseRequest>().front().Details.NotRun == Confirmed);
}

// Guards against engine memory held for a caller that has disconnected.
TEST_CASE("a disconnect cancels the work at every agent and refunds once") {
  FlowHarness H;
  H.startDecoding();
  H.Flow->callerDisconnected(H.Time.now(), H.Out);
  H.Flow->callerDisconnected(H.Time.now(), H.Out);
  CHECK(H.sent("d1", wire::Envelope::kCancel) == 1);
  CHECK(H.sent("p1", wire::Envelope::kCancel) == 1);
  CHECK(H.all<RefundTokens>().size() == 1);
  CHECK(H.Flow->finished());
}

// Guards against an account that loses tokens because the caller disconnects
// before the debit is granted.
TEST_CASE("a debit granted after a disconnect is refunded in full") {
  FlowHarness H;
  H.begin();
  H.Flow->callerDisconnected(H.Time.now(), H.Out);
  CHECK_FALSE(H.Flow->finished());
  H.Flow->debited(std::monostate{}, H.Time.now(), H.Out);
  REQUIRE(H.all<RefundTokens>().size() == 1);
  CHECK(H.all<RefundTokens>().front().Tokens == 14);
  CHECK(H.Flow->finished());
}

// Guards against starting work for a key that was withdrawn while the request
// waited for a placement.
TEST_CASE("a waiting request is refused when its key is withdrawn") {
  FlowHarness H;
  H.begin();
  H.Flow->debited(std::monostate{}, H.Time.now(), H.Out);
  H.KeyIsValid = false;
  SECTION("when the configuration changes") {
    H.Flow->recheckKey(H.Time.now(), H.Out);
  }
  SECTION("at dispatch") { H.place("d1", "p1"); }
  REQUIRE(H.all<RefuseRequest>().size() == 1);
  CHECK(H.all<RefuseRequest>().front().Details.NotRun);
  CHECK(H.all<SendMessage>().empty());
}

// Guards against a non-repeatable call that runs twice, and against reporting a
// call as not run although its start may have arrived.
TEST_CASE("a non-repeatable call is sent once and its outcome is queried") {
  FlowHarness H;
  H.begin(true);
  H.Flow->debited(std::monostate{}, H.Time.now(), H.Out);
  H.place("s1", "");
  H.Flow->linkReplaced("s1", H.Time.now(), H.Out);
  CHECK(H.sent("s1", wire::Envelope::kCallStart) == 1);
  CHECK(H.sent("s1", wire::Envelope::kOutcomeQuery) == 1);
  SECTION("done") {
    H.outcome("s1", wire::CALL_OUTCOME_DONE);
    CHECK(H.all<AnswerCall>().size() == 1);
  }
  SECTION("not run") {
    H.outcome("s1", wire::CALL_OUTCOME_NOT_RUN);
    REQUIRE(H.all<RefuseRequest>().size() == 1);
    CHECK(H.all<RefuseRequest>().front().Details.NotRun);
  }
  SECTION("unknown after the deadline") {
    H.outcome("s1", wire::CALL_OUTCOME_RUNNING);
    H.Time.advance(std::chrono::seconds(11));
    H.Flow->tick(H.Time.now(), H.Out);
    REQUIRE(H.all<RefuseRequest>().size() == 1);
    const Refusal Rejected = H.all<RefuseRequest>().front().Details;
    CHECK_FALSE(Rejected.NotRun);
    CHECK(Rejected.Cause.Kind == ErrorKind::OutcomeUnknown);
  }
  CHECK(H.sent("s1", wire::Envelope::kCallStart) == 1);
}

// Guards against a call with an idempotency key that runs again when the caller
// retries it.
TEST_CASE("a call is not sent if another request has claimed its key") {
  FlowHarness H;
  H.Spec.Call.ClaimId = "claim";
  H.Spec.Call.RequestDigest = "digest";
  H.begin(true);
  H.Flow->debited(std::monostate{}, H.Time.now(), H.Out);
  H.place("s1", "");
  REQUIRE(H.all<AppendClaim>().size() == 1);
  CHECK(H.sent("s1", wire::Envelope::kCallStart) == 0);
  wire::ClaimState Winner;
  Winner.mutable_claim()->set_request_id("other");
  Winner.mutable_claim()->set_endpoint("s2");
  SECTION("with another body") {
    H.Flow->claimed(Winner, H.Time.now(), H.Out);
    CHECK(H.all<RefuseRequest>().front().Details.Cause.Kind ==
          ErrorKind::IdempotencyKeyReused);
  }
  SECTION("whose outcome is recorded") {
    Winner.mutable_claim()->set_request_digest("digest");
    Winner.set_done(true);
    H.Flow->claimed(Winner, H.Time.now(), H.Out);
    CHECK(H.all<AnswerCall>().size() == 1);
  }
  SECTION("whose outcome the agent knows") {
    Winner.mutable_claim()->set_request_digest("digest");
    H.Flow->claimed(Winner, H.Time.now(), H.Out);
    CHECK(H.sent("s2", wire::Envelope::kOutcomeQuery) == 1);
  }
  CHECK(H.sent("s1", wire::Envelope::kCallStart) == 0);
  CHECK(H.sent("s2", wire::Envelope::kCallStart) == 0);
}

} // namespace hyssoprail
