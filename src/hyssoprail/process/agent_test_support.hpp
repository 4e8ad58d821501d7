#ifndef HYSSOPRAIL_PROCESS_AGENT_TEST_SUPPORT_HPP
#define HYSSOPRAIL_PROCESS_AGENT_TEST_SUPPORT_HPP

#include <string>
#include <utility>
#include <vector>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail::agent_test {

constexpr std::uint64_t AgentIncarnation = 77;

/// Configuration whose view a test sets directly.
class TestConfig : public AgentConfig {
public:
  bool apply(const wire::ConfigRecords &Records) override {
    if (Records.after_version() != Value.Version)
      return false;
    if (Records.records_size() > 0)
      Value.Version = Records.records(Records.records_size() - 1).offset();
    return true;
  }
  void restore(const wire::State &State) override {
    Value.Version = State.version();
  }
  AgentConfigView view() const override { return Value; }

  AgentConfigView Value;
};

/// An entry as an agent sees it. Numbers its messages.
struct TestEntry {
  std::uint64_t Incarnation = 0;
  std::string Peer;
  std::uint64_t Seq = 0;

  wire::Envelope envelope() {
    wire::Envelope E;
    E.set_sender(Peer);
    E.set_incarnation(Incarnation);
    E.set_seq(++Seq);
    E.set_to_incarnation(AgentIncarnation);
    return E;
  }
};

inline WorkKey key(const std::string &Request, wire::Leg Leg,
                   unsigned Attempt = 1) {
  return {Request, Attempt, Leg};
}

/// An AgentCore with its dependencies. Collects its messages and calls.
class Harness {
public:
  explicit Harness(AgentOptions Options = {})
      : Events(1'000, Clock), Checks(Events, true),
        Options(withNames(std::move(Options))),
        Core(this->Options, Config, Events, Checks, Clock.now()) {
    collect();
  }

  TimePoint now() const { return Clock.now(); }

  void collect() {
    for (AgentAction &A : Core.takeActions()) {
      if (auto *Send = std::get_if<SendMessage>(&A))
        Sent.push_back(std::move(*Send));
      else
        Calls.push_back(std::move(A));
    }
  }

  void deliver(TestEntry &From, const wire::Envelope &Message) {
    Core.onMessage(From.Peer, Message, now());
    collect();
  }

  void result(const AgentResult &R) {
    Core.onResult(R, now());
    collect();
  }

  void tick(milliseconds Step = milliseconds(50)) {
    Clock.advance(Step);
    Core.onTick(now());
    collect();
  }

  /// Returns the last call of type \p T, or null.
  template <typename T> const T *lastCall() const {
    for (auto It = Calls.rbegin(); It != Calls.rend(); ++It)
      if (auto *Found = std::get_if<T>(&*It))
        return Found;
    return nullptr;
  }

  template <typename T> std::size_t count() const {
    std::size_t N = 0;
    for (const AgentAction &A : Calls)
      N += std::holds_alternative<T>(A) ? 1 : 0;
    return N;
  }

  CallId lastQuery(EngineQuery Which) const {
    for (auto It = Calls.rbegin(); It != Calls.rend(); ++It)
      if (auto *Found = std::get_if<QueryCall>(&*It);
          Found != nullptr && Found->Query == Which)
        return Found->Call;
    return 0;
  }

  /// Answers the last status query.
  void answerStatus(const std::string &Role,
                    const std::string &Incarnation = "e1", unsigned Slots = 4,
                    unsigned Pieces = 16, bool Cold = false) {
    StatusResult R;
    R.Call = lastQuery(EngineQuery::Status);
    R.Incarnation = Incarnation;
    R.Uptime =
        std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
    R.Role = Role;
    R.Cold = Cold;
    R.Slots = Slots;
    R.Pieces = Pieces;
    R.PieceTokens = 2'048;
    result(R);
  }

  void answerHeld(std::vector<HeldWork> Work = {}) {
    result(HeldResult{lastQuery(EngineQuery::Held), CallStatusCode::Ok,
                      std::move(Work)});
  }

  /// Confirms all cancellations requested so far and clears Calls.
  void confirmCancels() {
    for (const AgentAction &A : std::exchange(Calls, {}))
      if (auto *Cancel = std::get_if<CancelCall>(&A))
        result(CancelResult{Cancel->Call, CallStatusCode::Ok});
  }

  /// Brings up an engine that holds no work.
  void bringUp(const std::string &Role, unsigned Slots = 4,
               unsigned Pieces = 16) {
    answerStatus(Role, "e1", Slots, Pieces);
    answerHeld();
  }

  /// Returns the last message of a kind, to \p Peer if given, or null.
  const wire::Envelope *lastSent(wire::Envelope::BodyCase Body,
                                 const std::string &Peer = {}) const {
    for (auto It = Sent.rbegin(); It != Sent.rend(); ++It)
      if (It->Message.body_case() == Body && (Peer.empty() || It->Peer == Peer))
        return &It->Message;
    return nullptr;
  }

  void heartbeat(TestEntry &From, const std::vector<WorkKey> &Live = {}) {
    wire::Envelope E = From.envelope();
    E.mutable_heartbeat();
    for (const WorkKey &Key : Live)
      *E.mutable_heartbeat()->add_live() = workRef(Key);
    deliver(From, E);
  }

  wire::Envelope reserve(TestEntry &From, const std::string &Request,
                         unsigned WaitMs = 0, unsigned NeededInMs = 0,
                         unsigned Tokens = 2'000) {
    wire::Envelope E = From.envelope();
    wire::ReserveRequest &R = *E.mutable_reserve_request();
    *R.mutable_work() = workRef(key(Request, wire::LEG_DECODE));
    R.set_account("acme");
    R.set_route_class(wire::ROUTE_CLASS_INTERACTIVE);
    R.set_prompt_tokens(Tokens / 2);
    R.set_max_tokens(Tokens - Tokens / 2);
    R.set_wait_ms(WaitMs);
    R.set_needed_in_ms(NeededInMs);
    return E;
  }

  wire::Envelope decode(TestEntry &From, const std::string &Request) {
    wire::Envelope E = From.envelope();
    wire::DecodeStart &D = *E.mutable_decode_start();
    *D.mutable_work() = workRef(key(Request, wire::LEG_DECODE));
    D.set_prompt("a b c");
    D.set_max_tokens(100);
    D.set_kv_handle("kv-" + Request);
    D.set_deadline_ms(20'000);
    return E;
  }

  wire::Envelope prefill(TestEntry &From, const std::string &Request) {
    wire::Envelope E = From.envelope();
    wire::PrefillStart &P = *E.mutable_prefill_start();
    *P.mutable_work() = workRef(key(Request, wire::LEG_PREFILL));
    P.set_account("acme");
    P.set_prompt("a b c");
    P.set_prompt_tokens(3);
    P.set_deadline_ms(5'000);
    return E;
  }

  wire::Envelope call(TestEntry &From, const std::string &Request,
                      bool Repeatable = false, unsigned Attempt = 1) {
    wire::Envelope E = From.envelope();
    wire::CallStart &C = *E.mutable_call_start();
    *C.mutable_work() = workRef(key(Request, wire::LEG_CALL, Attempt));
    C.set_method("POST");
    C.set_target("/orders");
    C.set_repeatable(Repeatable);
    C.set_deadline_ms(5'000);
    return E;
  }

  ManualClock Clock;
  Timeline Events;
  Invariants Checks;
  TestConfig Config;
  AgentOptions Options;
  AgentCore Core;
  std::vector<SendMessage> Sent;
  std::vector<AgentAction> Calls;

private:
  static AgentOptions withNames(AgentOptions O) {
    O.Name = "agent-1";
    O.Endpoint = "endpoint-1";
    O.EngineAddress = "127.0.0.1:1";
    O.Incarnation = AgentIncarnation;
    return O;
  }
};

} // namespace hyssoprail::agent_test

#endif // HYSSOPRAIL_PROCESS_AGENT_TEST_SUPPORT_HPP
