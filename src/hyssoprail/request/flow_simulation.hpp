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

/// Probabilities of the faults that are injected around a flow.
struct FlowFaults {
  double LoseMessage = 0;      ///< a message is lost
  double DuplicateMessage = 0; ///< a message arrives twice
  double RefuseStart = 0;      ///< an agent refuses a reservation or a start;
                               ///< a refused start is confirmed as not run
  double FailEngine = 0;       ///< an engine fails after it started the work
  double RestartAgent = 0;     ///< an agent restarts; per step
  double ReplaceLink = 0;      ///< a link is replaced; per step
  double Disconnect = 0;       ///< the caller disconnects; per step
  double WithdrawKey = 0;      ///< the API key is withdrawn; per step
};

/// Runs a flow with simulated agents, connections that lose, duplicate and
/// reorder messages, and a scheduler that places at random. A run is determined
/// by its seed and its fault probabilities.
class FlowSimulation {
public:
  FlowSimulation(std::uint64_t Seed, FlowFaults Faults, FlowSpec Spec,
                 bool IsCall)
      : Random(Seed), Faults(Faults), Events(64, Time), Checks(Events, false),
        Context{
            Checks,
            Events,
            {},
            [this](std::string_view, std::string_view) { return KeyIsValid; },
            [this](const FlowSpec &, std::uint32_t Attempt,
                   TimePoint) -> std::optional<Duration> {
              if (Attempt > 8)
                return std::nullopt;
              return milliseconds(Random.below(50));
            }} {
    Spec.Deadline = Time.now() + std::chrono::seconds(20);
    AnswerLength = 1 + static_cast<std::uint32_t>(
                           Random.below(Spec.Completion.MaxTokens + 1));
    AnswerLength =
        std::min(AnswerLength, std::max(1U, Spec.Completion.MaxTokens));
    Flow = IsCall ? makeCallFlow(std::move(Spec), Context)
                  : makeCompletionFlow(std::move(Spec), Context);
  }

  /// Runs until the flow has finished and no message is in flight, or until a
  /// limit of steps is reached.
  void run() {
    applyEvent([&](FlowActions &Out) { Flow->start(Time.now(), Out); });
    for (int Step = 0; Step < 20'000; ++Step) {
      if (Flow->finished() && InFlight.empty())
        return;
      injectFaults();
      deliverDue();
      if (Flow->wakeAt() <= Time.now())
        applyEvent([&](FlowActions &Out) { Flow->tick(Time.now(), Out); });
      Time.advance(milliseconds(5));
    }
  }

  std::size_t terminalActions() const {
    return Finishes + Answers + Refusals.size() + Aborts;
  }

  /// Returns whether the tokens that the caller received are a prefix of the
  /// correct answer.
  bool receivedTokensAreCorrect() const {
    for (std::size_t I = 0; I < ReceivedTokens.size(); ++I)
      if (ReceivedTokens[I] != token(I))
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
  bool KeyIsValid = true;
  bool CallerDisconnected = false; ///< before the flow finished
  std::uint32_t AnswerLength = 0;  ///< output tokens of the correct answer
  std::vector<std::string> ReceivedTokens;
  std::size_t Finishes = 0;
  std::size_t Answers = 0;
  std::size_t Aborts = 0;
  std::vector<Refusal> Refusals;
  std::vector<std::uint64_t> Refunds;
  std::map<std::string, int> Runs; ///< number of starts that ran, by endpoint
  int CallRuns = 0;
  std::uint32_t FinishedTokens = 0;

private:
  struct Agent {
    std::uint64_t Incarnation = 1;
    std::set<std::string> Ended; ///< cancelled or refused; never started
    std::map<std::string, bool> Started; ///< true if the work ran to its end
    std::map<std::string, std::uint32_t> DecodeFirstIndex;
  };

  struct InFlightMessage {
    TimePoint At;
    bool ToAgent = false;
    std::string Endpoint;
    std::uint64_t Incarnation = 0;
    wire::Envelope Message;
  };

  static std::string token(std::size_t Index) {
    return "t" + std::to_string(Index);
  }

  static std::string workKey(const wire::WorkRef &Work) {
    return Work.request_id() + "/" + std::to_string(Work.attempt()) + "/" +
           std::to_string(Work.leg());
  }

  bool chance(double P) { return Random.unit() < P; }

  template <typename E> void applyEvent(E &&Event) {
    FlowActions Out;
    Event(Out);
    for (FlowAction &Action : Out)
      perform(Action);
  }

  void perform(FlowAction &Action) {
    if (std::holds_alternative<DebitAccount>(Action))
      return applyEvent([&](FlowActions &Out) {
        Flow->debited(std::monostate{}, Time.now(), Out);
      });
    if (auto *A = std::get_if<RefundTokens>(&Action))
      Refunds.push_back(A->Tokens);
    if (std::holds_alternative<FindPlacement>(Action))
      return sendPlacement();
    if (auto *A = std::get_if<SendMessage>(&Action))
      send(true, A->Endpoint, A->Message);
    if (auto *A = std::get_if<EmitTokens>(&Action))
      ReceivedTokens.insert(ReceivedTokens.end(), A->Tokens.begin(),
                            A->Tokens.end());
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

  void sendPlacement() {
    Placement P;
    P.Decode = "d" + std::to_string(Random.below(3));
    P.Prefill = "p" + std::to_string(Random.below(3));
    P.ReserveFirst = chance(0.8);
    applyEvent([&](FlowActions &Out) { Flow->placed(P, Time.now(), Out); });
  }

  void send(bool ToAgent, const std::string &Endpoint,
            const wire::Envelope &Message) {
    const int Copies = chance(Faults.DuplicateMessage) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      if (!chance(Faults.LoseMessage))
        InFlight.push_back({Time.now() + milliseconds(Random.below(100)),
                            ToAgent, Endpoint, Agents[Endpoint].Incarnation,
                            Message});
  }

  void deliverDue() {
    // Removing a message moves the last one into its place, and the random
    // delays differ, so that messages overtake each other.
    std::vector<InFlightMessage> Due;
    for (std::size_t I = 0; I < InFlight.size();) {
      if (InFlight[I].At > Time.now()) {
        ++I;
        continue;
      }
      Due.push_back(std::move(InFlight[I]));
      InFlight[I] = std::move(InFlight.back());
      InFlight.pop_back();
    }
    for (const InFlightMessage &T : Due) {
      if (T.Incarnation != Agents[T.Endpoint].Incarnation)
        continue;
      if (T.ToAgent)
        deliverToAgent(T.Endpoint, T.Message);
      else
        applyEvent([&](FlowActions &Out) {
          Flow->received(T.Endpoint, T.Message, Time.now(), Out);
        });
    }
  }

  void injectFaults() {
    if (chance(Faults.RestartAgent)) {
      const std::string Endpoint =
          (chance(0.5) ? "d" : "p") + std::to_string(Random.below(3));
      Agent &A = Agents[Endpoint];
      A = Agent{A.Incarnation + 1, {}, {}, {}};
      applyEvent([&](FlowActions &Out) {
        Flow->endpointLost(Endpoint, Time.now(), Out);
      });
    }
    if (chance(Faults.ReplaceLink)) {
      const std::string Endpoint = "d" + std::to_string(Random.below(3));
      applyEvent([&](FlowActions &Out) {
        Flow->linkReplaced(Endpoint, Time.now(), Out);
      });
    }
    if (chance(Faults.Disconnect)) {
      CallerDisconnected = CallerDisconnected || !Flow->finished();
      applyEvent(
          [&](FlowActions &Out) { Flow->callerDisconnected(Time.now(), Out); });
    }
    if (chance(Faults.WithdrawKey)) {
      KeyIsValid = false;
      applyEvent([&](FlowActions &Out) { Flow->recheckKey(Time.now(), Out); });
    }
  }

  void deliverToAgent(const std::string &Endpoint, const wire::Envelope &M) {
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
      return onOutcomeQuery(Endpoint, M.outcome_query().work());
    if (M.has_cancel())
      Agents[Endpoint].Ended.insert(workKey(M.cancel().work()));
  }

  void onReserve(const std::string &Endpoint, const wire::WorkRef &Work) {
    wire::Envelope Out;
    *Out.mutable_reserve_reply()->mutable_work() = Work;
    Out.mutable_reserve_reply()->set_granted(!chance(Faults.RefuseStart));
    Out.mutable_reserve_reply()->set_reason(wire::REFUSAL_REASON_FULL);
    send(false, Endpoint, Out);
  }

  /// Handles a start: ignores, refuses, fails or runs it. Returns true if it
  /// runs to its end.
  bool startWork(const std::string &Endpoint, const wire::WorkRef &Work) {
    Agent &A = Agents[Endpoint];
    if (A.Ended.contains(workKey(Work)) || A.Started.contains(workKey(Work)))
      return false;
    wire::Envelope Out;
    *Out.mutable_failed()->mutable_work() = Work;
    Out.mutable_failed()->set_reason(wire::REFUSAL_REASON_ENGINE);
    if (chance(Faults.RefuseStart)) {
      A.Ended.insert(workKey(Work));
      Out.mutable_failed()->set_not_run(true);
      send(false, Endpoint, Out);
      return false;
    }
    ++Runs[Endpoint];
    A.Started[workKey(Work)] = false;
    if (chance(Faults.FailEngine)) {
      send(false, Endpoint, Out);
      return false;
    }
    A.Started[workKey(Work)] = true;
    return true;
  }

  void onPrefill(const std::string &Endpoint, const wire::WorkRef &Work) {
    if (!startWork(Endpoint, Work))
      return;
    wire::Envelope Out;
    *Out.mutable_prefill_done()->mutable_work() = Work;
    send(false, Endpoint, Out);
  }

  void onDecode(const std::string &Endpoint, const wire::DecodeStart &Start) {
    if (!startWork(Endpoint, Start.work()))
      return;
    Agents[Endpoint].DecodeFirstIndex[workKey(Start.work())] =
        Start.first_index();
    sendTokens(Endpoint, Start.work(), Start.first_index());
  }

  void onResend(const std::string &Endpoint,
                const wire::ResendRequest &Request) {
    Agent &A = Agents[Endpoint];
    const auto It = A.DecodeFirstIndex.find(workKey(Request.work()));
    if (It != A.DecodeFirstIndex.end() &&
        !A.Ended.contains(workKey(Request.work())))
      sendTokens(Endpoint, Request.work(),
                 std::max(It->second, Request.from_index()));
  }

  void sendTokens(const std::string &Endpoint, const wire::WorkRef &Work,
                  std::uint32_t From) {
    while (From < AnswerLength) {
      wire::Envelope Out;
      *Out.mutable_chunk()->mutable_work() = Work;
      Out.mutable_chunk()->set_index(From);
      const auto Count = 1 + static_cast<std::uint32_t>(Random.below(3));
      for (std::uint32_t I = 0; I < Count && From < AnswerLength; ++I, ++From)
        Out.mutable_chunk()->add_tokens(token(From));
      send(false, Endpoint, Out);
    }
    wire::Envelope Out;
    *Out.mutable_finished()->mutable_work() = Work;
    Out.mutable_finished()->set_output_tokens(AnswerLength);
    Out.mutable_finished()->set_finish_reason("stop");
    send(false, Endpoint, Out);
  }

  void onCall(const std::string &Endpoint, const wire::WorkRef &Work) {
    const int RunsBefore = Runs[Endpoint];
    const bool RanToEnd = startWork(Endpoint, Work);
    CallRuns += Runs[Endpoint] - RunsBefore;
    if (!RanToEnd)
      return;
    wire::Envelope Out;
    *Out.mutable_call_reply()->mutable_work() = Work;
    send(false, Endpoint, Out);
  }

  void onOutcomeQuery(const std::string &Endpoint, const wire::WorkRef &Work) {
    Agent &A = Agents[Endpoint];
    wire::Envelope Out;
    wire::OutcomeReply &Reply = *Out.mutable_outcome_reply();
    *Reply.mutable_work() = Work;
    const auto It = A.Started.find(workKey(Work));
    if (It != A.Started.end())
      Reply.set_outcome(It->second ? wire::CALL_OUTCOME_DONE
                                   : wire::CALL_OUTCOME_UNKNOWN);
    else if (A.Incarnation > 1)
      // A restarted agent does not know what ran before its restart.
      Reply.set_outcome(wire::CALL_OUTCOME_UNKNOWN);
    else {
      A.Ended.insert(workKey(Work));
      Reply.set_outcome(wire::CALL_OUTCOME_NOT_RUN);
    }
    send(false, Endpoint, Out);
  }

  std::map<std::string, Agent> Agents;
  std::vector<InFlightMessage> InFlight;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_REQUEST_FLOW_SIMULATION_HPP
