#ifndef HYSSOPRAIL_REQUEST_FLOW_SIMULATION_HPP
#define HYSSOPRAIL_REQUEST_FLOW_SIMULATION_HPP

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/request/request_flow.hpp"

namespace hyssoprail::testing {

/// Probabilities of what goes wrong around a flow.
struct FlowFaults {
  double Lose = 0;      ///< a message is lost
  double Duplicate = 0; ///< a message arrives twice
  double Refuse = 0;    ///< an agent refuses a start, confirmed as not run
  double Fail = 0;      ///< an engine fails after it began
  double Restart = 0;   ///< an agent restarts, for each step
  double Replace = 0;   ///< a link is replaced, for each step
  double Leave = 0;     ///< the caller disconnects, for each step
  double Withdraw = 0;  ///< the key is withdrawn, for each step
};

/// A flow among simulated agents, links that lose, repeat and reorder, and a
/// scheduler that places at random. Everything follows from the seed.
class FlowSimulation {
public:
  FlowSimulation(std::uint64_t Seed, FlowFaults Faults, FlowSpec Given,
                 bool Call)
      : Random(Seed), Faults(Faults), Events(64, Time), Checks(Events, false),
        Context{Checks,
                Events,
                {},
                [this](std::string_view, std::string_view) { return KeyOk; },
                [this](const FlowSpec &, std::uint32_t Attempt,
                       TimePoint) -> std::optional<Duration> {
                  if (Attempt > 8)
                    return std::nullopt;
                  return milliseconds(Random.below(50));
                }} {
    Given.Deadline = Time.now() + std::chrono::seconds(20);
    Length = 1 + static_cast<std::uint32_t>(
                     Random.below(Given.Completion.MaxTokens + 1));
    Length = std::min(Length, std::max(1U, Given.Completion.MaxTokens));
    Flow = Call ? makeCallFlow(std::move(Given), Context)
                : makeCompletionFlow(std::move(Given), Context);
  }

  /// Runs until the flow has ended and no message is on its way.
  void run() {
    event([&](FlowActions &Out) { Flow->start(Time.now(), Out); });
    for (int Step = 0; Step < 20'000; ++Step) {
      if (Flow->finished() && Wire.empty())
        return;
      stepFaults();
      deliverDue();
      if (Flow->wakeAt() <= Time.now())
        event([&](FlowActions &Out) { Flow->tick(Time.now(), Out); });
      Time.advance(milliseconds(5));
    }
  }

  std::size_t terminals() const {
    return Finishes + Answers + Refusals.size() + Aborts;
  }

  /// The tokens that the caller received, or an empty list if one is wrong.
  bool textIsPrefix() const {
    for (std::size_t I = 0; I < Text.size(); ++I)
      if (Text[I] != token(I))
        return false;
    return true;
  }

  ManualClock Time;
  RandomSource Random;
  FlowFaults Faults;
  Timeline Events;
  Invariants Checks;
  FlowContext Context;
  std::unique_ptr<RequestFlow> Flow;
  bool KeyOk = true;
  bool Left = false;        ///< the caller has disconnected
  std::uint32_t Length = 0; ///< output tokens of the right answer
  std::vector<std::string> Text;
  std::size_t Finishes = 0;
  std::size_t Answers = 0;
  std::size_t Aborts = 0;
  std::vector<Refusal> Refusals;
  std::vector<std::uint64_t> Refunds;
  std::map<std::string, int> Runs; ///< by endpoint: starts that ran
  int CallRuns = 0;
  std::uint32_t FinishedTokens = 0;

private:
  struct Agent {
    std::uint64_t Incarnation = 1;
    std::set<std::string> Ended;         ///< will be rejected
    std::map<std::string, bool> Started; ///< true: an answer exists
    std::map<std::string, std::uint32_t> DecodeFrom;
  };

  struct Travelling {
    TimePoint At;
    bool ToAgent = false;
    std::string Endpoint;
    std::uint64_t Incarnation = 0;
    wire::Envelope Message;
  };

  static std::string token(std::size_t Index) {
    return "t" + std::to_string(Index);
  }

  static std::string key(const wire::WorkRef &Work) {
    return Work.request_id() + "/" + std::to_string(Work.attempt()) + "/" +
           std::to_string(Work.leg());
  }

  bool chance(double P) { return Random.unit() < P; }

  template <typename E> void event(E &&Event) {
    FlowActions Out;
    Event(Out);
    for (FlowAction &Action : Out)
      carryOut(Action);
  }

  void carryOut(FlowAction &Action) {
    if (std::holds_alternative<DebitAccount>(Action))
      return event([&](FlowActions &Out) {
        Flow->debited(std::monostate{}, Time.now(), Out);
      });
    if (auto *A = std::get_if<RefundTokens>(&Action))
      Refunds.push_back(A->Tokens);
    if (std::holds_alternative<FindPlacement>(Action))
      return place();
    if (auto *A = std::get_if<SendMessage>(&Action))
      send(true, A->Endpoint, A->Message);
    if (auto *A = std::get_if<EmitTokens>(&Action))
      Text.insert(Text.end(), A->Tokens.begin(), A->Tokens.end());
    if (auto *A = std::get_if<FinishAnswer>(&Action)) {
      ++Finishes;
      FinishedTokens = A->OutputTokens;
    }
    if (std::holds_alternative<AnswerCall>(Action))
      ++Answers;
    if (auto *A = std::get_if<RefuseRequest>(&Action))
      Refusals.push_back(A->Details);
    if (std::holds_alternative<AbortAnswer>(Action))
      ++Aborts;
  }

  void place() {
    Placement P;
    P.Decode = "d" + std::to_string(Random.below(3));
    P.Prefill = "p" + std::to_string(Random.below(3));
    P.ReserveFirst = chance(0.8);
    event([&](FlowActions &Out) { Flow->placed(P, Time.now(), Out); });
  }

  void send(bool ToAgent, const std::string &Endpoint,
            const wire::Envelope &Message) {
    const int Copies = chance(Faults.Duplicate) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      if (!chance(Faults.Lose))
        Wire.push_back({Time.now() + milliseconds(Random.below(100)), ToAgent,
                        Endpoint, Agents[Endpoint].Incarnation, Message});
  }

  void deliverDue() {
    // Random order among the due ones: messages cross.
    std::vector<Travelling> Due;
    for (std::size_t I = 0; I < Wire.size();) {
      if (Wire[I].At > Time.now()) {
        ++I;
        continue;
      }
      Due.push_back(std::move(Wire[I]));
      Wire[I] = std::move(Wire.back());
      Wire.pop_back();
    }
    for (const Travelling &T : Due) {
      if (T.Incarnation != Agents[T.Endpoint].Incarnation)
        continue;
      if (T.ToAgent)
        atAgent(T.Endpoint, T.Message);
      else
        event([&](FlowActions &Out) {
          Flow->received(T.Endpoint, T.Message, Time.now(), Out);
        });
    }
  }

  void stepFaults() {
    if (chance(Faults.Restart)) {
      const std::string Endpoint =
          (chance(0.5) ? "d" : "p") + std::to_string(Random.below(3));
      Agent &A = Agents[Endpoint];
      A = Agent{A.Incarnation + 1, {}, {}, {}};
      event([&](FlowActions &Out) {
        Flow->endpointLost(Endpoint, Time.now(), Out);
      });
    }
    if (chance(Faults.Replace)) {
      const std::string Endpoint = "d" + std::to_string(Random.below(3));
      event([&](FlowActions &Out) {
        Flow->linkReplaced(Endpoint, Time.now(), Out);
      });
    }
    if (chance(Faults.Leave)) {
      Left = Left || !Flow->finished();
      event(
          [&](FlowActions &Out) { Flow->callerDisconnected(Time.now(), Out); });
    }
    if (chance(Faults.Withdraw)) {
      KeyOk = false;
      event([&](FlowActions &Out) { Flow->recheckKey(Time.now(), Out); });
    }
  }

  void atAgent(const std::string &Endpoint, const wire::Envelope &M) {
    if (M.has_reserve_request())
      return onReserve(Endpoint, M.reserve_request().work());
    if (M.has_prefill_start())
      return onPrefill(Endpoint, M.prefill_start().work());
    if (M.has_decode_start())
      return onDecode(Endpoint, M.decode_start());
    if (M.has_resend_request())
      return onResend(Endpoint, M.resend_request());
    if (M.has_call_start())
      return onCall(Endpoint, M.call_start().work());
    if (M.has_outcome_query())
      return onQuery(Endpoint, M.outcome_query().work());
    if (M.has_cancel())
      Agents[Endpoint].Ended.insert(key(M.cancel().work()));
  }

  void onReserve(const std::string &Endpoint, const wire::WorkRef &Work) {
    wire::Envelope Out;
    *Out.mutable_reserve_reply()->mutable_work() = Work;
    Out.mutable_reserve_reply()->set_granted(!chance(Faults.Refuse));
    Out.mutable_reserve_reply()->set_reason(wire::REFUSAL_REASON_FULL);
    send(false, Endpoint, Out);
  }

  /// Decides what becomes of a start. Returns true if it runs to its end.
  bool begins(const std::string &Endpoint, const wire::WorkRef &Work) {
    Agent &A = Agents[Endpoint];
    if (A.Ended.contains(key(Work)) || A.Started.contains(key(Work)))
      return false;
    wire::Envelope Out;
    *Out.mutable_failed()->mutable_work() = Work;
    Out.mutable_failed()->set_reason(wire::REFUSAL_REASON_ENGINE);
    if (chance(Faults.Refuse)) {
      A.Ended.insert(key(Work));
      Out.mutable_failed()->set_not_run(true);
      send(false, Endpoint, Out);
      return false;
    }
    ++Runs[Endpoint];
    A.Started[key(Work)] = false;
    if (chance(Faults.Fail)) {
      send(false, Endpoint, Out);
      return false;
    }
    A.Started[key(Work)] = true;
    return true;
  }

  void onPrefill(const std::string &Endpoint, const wire::WorkRef &Work) {
    if (!begins(Endpoint, Work))
      return;
    wire::Envelope Out;
    *Out.mutable_prefill_done()->mutable_work() = Work;
    send(false, Endpoint, Out);
  }

  void onDecode(const std::string &Endpoint, const wire::DecodeStart &Start) {
    if (!begins(Endpoint, Start.work()))
      return;
    Agents[Endpoint].DecodeFrom[key(Start.work())] = Start.first_index();
    sendTokens(Endpoint, Start.work(), Start.first_index());
  }

  void onResend(const std::string &Endpoint,
                const wire::ResendRequest &Request) {
    Agent &A = Agents[Endpoint];
    const auto It = A.DecodeFrom.find(key(Request.work()));
    if (It != A.DecodeFrom.end() && !A.Ended.contains(key(Request.work())))
      sendTokens(Endpoint, Request.work(),
                 std::max(It->second, Request.from_index()));
  }

  void sendTokens(const std::string &Endpoint, const wire::WorkRef &Work,
                  std::uint32_t From) {
    while (From < Length) {
      wire::Envelope Out;
      *Out.mutable_chunk()->mutable_work() = Work;
      Out.mutable_chunk()->set_index(From);
      const auto Count = 1 + static_cast<std::uint32_t>(Random.below(3));
      for (std::uint32_t I = 0; I < Count && From < Length; ++I, ++From)
        Out.mutable_chunk()->add_tokens(token(From));
      send(false, Endpoint, Out);
    }
    wire::Envelope Out;
    *Out.mutable_finished()->mutable_work() = Work;
    Out.mutable_finished()->set_output_tokens(Length);
    Out.mutable_finished()->set_finish_reason("stop");
    send(false, Endpoint, Out);
  }

  void onCall(const std::string &Endpoint, const wire::WorkRef &Work) {
    const int Before = Runs[Endpoint];
    const bool Answered = begins(Endpoint, Work);
    CallRuns += Runs[Endpoint] - Before;
    if (!Answered)
      return;
    wire::Envelope Out;
    *Out.mutable_call_reply()->mutable_work() = Work;
    send(false, Endpoint, Out);
  }

  void onQuery(const std::string &Endpoint, const wire::WorkRef &Work) {
    Agent &A = Agents[Endpoint];
    wire::Envelope Out;
    wire::OutcomeReply &Reply = *Out.mutable_outcome_reply();
    *Reply.mutable_work() = Work;
    const auto It = A.Started.find(key(Work));
    if (It != A.Started.end())
      Reply.set_outcome(It->second ? wire::CALL_OUTCOME_DONE
                                   : wire::CALL_OUTCOME_UNKNOWN);
    else if (A.Incarnation > 1)
      // A restarted agent does not know what the former one did.
      Reply.set_outcome(wire::CALL_OUTCOME_UNKNOWN);
    else {
      A.Ended.insert(key(Work));
      Reply.set_outcome(wire::CALL_OUTCOME_NOT_RUN);
    }
    send(false, Endpoint, Out);
  }

  std::map<std::string, Agent> Agents;
  std::vector<Travelling> Wire;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_REQUEST_FLOW_SIMULATION_HPP
