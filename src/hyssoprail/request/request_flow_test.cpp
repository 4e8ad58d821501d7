#include "hyssoprail/request/request_flow.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {
namespace {

/// A flow with surroundings that a test controls.
class Bench {
public:
  Bench()
      : Events(1000, Time),
        Checks(Events, true), Context{
                                  Checks,
                                  Events,
                                  {},
                                  [this](std::string_view, std::string_view) {
                                    return KeyOk;
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

  void begin(bool Call = false) {
    Flow =
        Call ? makeCallFlow(Spec, Context) : makeCompletionFlow(Spec, Context);
    Flow->start(Time.now(), Out);
  }

  /// Brings a completion to the state in which it waits for tokens.
  void decode() {
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

  /// Messages of one kind sent to an endpoint.
  int sent(const std::string &To, wire::Envelope::BodyCase Kind) const {
    int Count = 0;
    for (const SendMessage &S : all<SendMessage>())
      Count += S.Endpoint == To && S.Message.body_case() == Kind ? 1 : 0;
    return Count;
  }

  ManualClock Time;
  Timeline Events;
  Invariants Checks;
  bool KeyOk = true;
  int Retries = 5;
  FlowContext Context;
  FlowSpec Spec;
  std::unique_ptr<RequestFlow> Flow;
  FlowActions Out;
};

} // namespace

// Guards against an answer that is cut, doubled or refunded wrongly.
TEST_CASE("a completion runs to its end") {
  Bench B;
  B.decode();
  B.chunk("d1", 1, 0, {"x", "y"});
  B.chunk("d1", 1, 2, {"z"});
  B.finished("d1", 1, 3);
  CHECK(B.text() == "xyz");
  REQUIRE(B.all<FinishAnswer>().size() == 1);
  REQUIRE(B.all<RefundTokens>().size() == 1);
  CHECK(B.all<RefundTokens>().front().Tokens == 7);
  CHECK(B.Flow->liveLegs().empty());
  CHECK(B.Flow->finished());
}

// Guards against duplicated, crossed and reordered chunks in an answer.
TEST_CASE("chunks that do not continue the answer are dropped") {
  Bench B;
  B.decode();
  B.chunk("d1", 1, 0, {"x"});
  B.chunk("d1", 1, 0, {"x", "y"});
  B.chunk("d2", 1, 2, {"?"});
  B.chunk("d1", 2, 2, {"?"});
  B.chunk("d1", 1, 3, {"late"});
  CHECK(B.text() == "xy");
  CHECK(B.sent("d1", wire::Envelope::kResendRequest) == 1);
  B.finished("d1", 1, 4);
  CHECK(B.all<FinishAnswer>().empty());
  B.chunk("d1", 1, 2, {"z", "late"});
  CHECK(B.text() == "xyzlate");
  CHECK(B.all<FinishAnswer>().size() == 1);
}

// Guards against repeated or lost tokens when the decode endpoint dies.
TEST_CASE("a completion resumes at another endpoint") {
  Bench B;
  B.decode();
  B.chunk("d1", 1, 0, {"x", "y"});
  B.Flow->endpointLost("d1", B.Time.now(), B.Out);
  B.Time.advance(milliseconds(5));
  B.Flow->tick(B.Time.now(), B.Out);
  B.place("d2", "p2");
  B.reserveReply("d2", 2, true);
  const auto Sent = B.all<SendMessage>();
  CHECK(Sent.back().Message.prefill_start().prompt() == "a b c d x y");
  CHECK(Sent.back().Message.prefill_start().resumed_tokens() == 2);
  B.prefillDone("p2", 2);
  CHECK(B.all<SendMessage>().back().Message.decode_start().first_index() == 2);
  B.chunk("d1", 1, 2, {"old"});
  B.chunk("d2", 2, 2, {"z"});
  B.finished("d2", 2, 3);
  CHECK(B.text() == "xyz");
  CHECK(B.all<FinishAnswer>().size() == 1);
}

// Guards against "not run" in a refusal while an agent may still start it.
TEST_CASE("not run is said only if every start was refused") {
  const bool Confirmed = GENERATE(true, false);
  Bench B;
  B.Retries = 0;
  B.begin();
  B.Flow->debited(std::monostate{}, B.Time.now(), B.Out);
  B.place("d1", "p1");
  B.reserveReply("d1", 1, true);
  B.failed("p1", 1, wire::LEG_PREFILL, Confirmed);
  REQUIRE(B.all<RefuseRequest>().size() == 1);
  CHECK(B.all<RefuseRequest>().front().Details.NotRun == Confirmed);
}

// Guards against engine memory held for a caller who left.
TEST_CASE("a disconnect cancels at every agent and refunds once") {
  Bench B;
  B.decode();
  B.Flow->callerDisconnected(B.Time.now(), B.Out);
  B.Flow->callerDisconnected(B.Time.now(), B.Out);
  CHECK(B.sent("d1", wire::Envelope::kCancel) == 1);
  CHECK(B.sent("p1", wire::Envelope::kCancel) == 1);
  CHECK(B.all<RefundTokens>().size() == 1);
  CHECK(B.Flow->finished());
}

// Guards against tokens lost to an account whose caller left before the debit
// was answered.
TEST_CASE("a debit granted after a disconnect is refunded in full") {
  Bench B;
  B.begin();
  B.Flow->callerDisconnected(B.Time.now(), B.Out);
  CHECK_FALSE(B.Flow->finished());
  B.Flow->debited(std::monostate{}, B.Time.now(), B.Out);
  REQUIRE(B.all<RefundTokens>().size() == 1);
  CHECK(B.all<RefundTokens>().front().Tokens == 14);
  CHECK(B.Flow->finished());
}

// Guards against work for a key that was withdrawn while the request waited.
TEST_CASE("a withdrawn key stops a request that waits") {
  Bench B;
  B.begin();
  B.Flow->debited(std::monostate{}, B.Time.now(), B.Out);
  B.KeyOk = false;
  SECTION("when the configuration changes") {
    B.Flow->recheckKey(B.Time.now(), B.Out);
  }
  SECTION("at dispatch") { B.place("d1", "p1"); }
  REQUIRE(B.all<RefuseRequest>().size() == 1);
  CHECK(B.all<RefuseRequest>().front().Details.NotRun);
  CHECK(B.all<SendMessage>().empty());
}

// Guards against a non-repeatable call that runs twice, and against "not run"
// for one whose start may have arrived.
TEST_CASE("a non-repeatable call is sent once and its outcome asked for") {
  Bench B;
  B.begin(true);
  B.Flow->debited(std::monostate{}, B.Time.now(), B.Out);
  B.place("s1", "");
  B.Flow->linkReplaced("s1", B.Time.now(), B.Out);
  CHECK(B.sent("s1", wire::Envelope::kCallStart) == 1);
  CHECK(B.sent("s1", wire::Envelope::kOutcomeQuery) == 1);
  SECTION("done") {
    B.outcome("s1", wire::CALL_OUTCOME_DONE);
    CHECK(B.all<AnswerCall>().size() == 1);
  }
  SECTION("not run") {
    B.outcome("s1", wire::CALL_OUTCOME_NOT_RUN);
    REQUIRE(B.all<RefuseRequest>().size() == 1);
    CHECK(B.all<RefuseRequest>().front().Details.NotRun);
  }
  SECTION("unknown after the deadline") {
    B.outcome("s1", wire::CALL_OUTCOME_RUNNING);
    B.Time.advance(std::chrono::seconds(11));
    B.Flow->tick(B.Time.now(), B.Out);
    REQUIRE(B.all<RefuseRequest>().size() == 1);
    const Refusal Cause = B.all<RefuseRequest>().front().Details;
    CHECK_FALSE(Cause.NotRun);
    CHECK(Cause.Cause.Kind == ErrorKind::OutcomeUnknown);
  }
  CHECK(B.sent("s1", wire::Envelope::kCallStart) == 1);
}

// Guards against a keyed call that runs again when it is retried.
TEST_CASE("a claimed call is not sent by the request that lost the claim") {
  Bench B;
  B.Spec.Call.ClaimId = "claim";
  B.Spec.Call.RequestDigest = "digest";
  B.begin(true);
  B.Flow->debited(std::monostate{}, B.Time.now(), B.Out);
  B.place("s1", "");
  REQUIRE(B.all<AppendClaim>().size() == 1);
  CHECK(B.sent("s1", wire::Envelope::kCallStart) == 0);
  wire::ClaimState Winner;
  Winner.mutable_claim()->set_request_id("other");
  Winner.mutable_claim()->set_endpoint("s2");
  SECTION("with another body") {
    B.Flow->claimed(Winner, B.Time.now(), B.Out);
    CHECK(B.all<RefuseRequest>().front().Details.Cause.Kind ==
          ErrorKind::IdempotencyKeyReused);
  }
  SECTION("whose outcome is recorded") {
    Winner.mutable_claim()->set_request_digest("digest");
    Winner.set_done(true);
    B.Flow->claimed(Winner, B.Time.now(), B.Out);
    CHECK(B.all<AnswerCall>().size() == 1);
  }
  SECTION("whose outcome the agent knows") {
    Winner.mutable_claim()->set_request_digest("digest");
    B.Flow->claimed(Winner, B.Time.now(), B.Out);
    CHECK(B.sent("s2", wire::Envelope::kOutcomeQuery) == 1);
  }
  CHECK(B.sent("s1", wire::Envelope::kCallStart) == 0);
  CHECK(B.sent("s2", wire::Envelope::kCallStart) == 0);
}

} // namespace hyssoprail
