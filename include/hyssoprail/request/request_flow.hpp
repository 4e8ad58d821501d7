#ifndef HYSSOPRAIL_REQUEST_REQUEST_FLOW_HPP
#define HYSSOPRAIL_REQUEST_REQUEST_FLOW_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/invariants.hpp"
#include "hyssoprail/request/completion_request.hpp"
#include "hyssoprail/request/flow_action.hpp"

namespace hyssoprail {

/// A plain call as it goes to a service.
struct CallRequest {
  std::string Method;
  std::string Target;
  HttpHeaders Headers; ///< without headers that carry the key
  std::string Body;
  bool Repeatable = false;
  std::string ClaimId;       ///< set for keyed non-repeatable calls
  std::string RequestDigest; ///< digest of method, target and body
  std::optional<wire::ClaimState> ExistingClaim;
};

/// What a flow knows of its request when it is accepted.
struct FlowSpec {
  std::string RequestId;
  std::string Account;   ///< empty on routes open to all
  std::string KeyDigest; ///< empty on routes open to all
  std::string Route;
  std::string Pool;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  std::uint32_t Weight = 1; ///< the account's rate, tokens per second
  std::uint64_t DebitTokens = 0;
  TimePoint Accepted;
  TimePoint FirstTokenBy = TimePoint::max();
  TimePoint Deadline = TimePoint::max(); ///< of the whole answer
  CompletionRequest Completion;
  CallRequest Call;
};

/// Endpoints that the scheduler chose for one attempt.
struct Placement {
  std::string Decode; ///< or the service endpoint of a plain call
  std::string Prefill;
  bool ReserveFirst = true;        ///< reserve before the prefill starts
  milliseconds NeededIn{0};        ///< when the decode slot is needed
  milliseconds ReserveWait{0};     ///< longest wait in the agent's queue
  milliseconds PrefillEstimate{0}; ///< queue and computation
  milliseconds TransferEstimate{0};
  std::uint64_t Version = 0; ///< configuration version of the decision
};

/// Time limits of a flow.
struct FlowTiming {
  milliseconds ReserveSlack{1'000};  ///< beyond the agent's longest wait
  milliseconds PrefillSlack{2'000};  ///< beyond four times the estimate
  milliseconds TransferSlack{1'000}; ///< beyond four times the estimate
  milliseconds ResendAfter{500};     ///< without a chunk
  milliseconds StallAfter{2'500};    ///< without a chunk
  milliseconds RefusedPause{10};     ///< before another placement is asked for
  milliseconds OutcomeEvery{250};    ///< between two questions for an outcome
};

/// What a flow needs from its surroundings.
struct FlowContext {
  Invariants &Checks;
  Timeline &Events;
  FlowTiming Timing;
  /// True while the key with this digest belongs to this account.
  std::function<bool(std::string_view KeyDigest, std::string_view Account)>
      KeyValid;
  /// Takes a retry from the budgets of the account and the pool and returns
  /// the pause before it, or nothing if a budget is used up.
  std::function<std::optional<Duration>(const FlowSpec &Spec,
                                        std::uint32_t Attempt, TimePoint Now)>
      TakeRetry;
};

/// Work that an agent may hold for a request.
struct LiveLeg {
  std::string Endpoint;
  wire::WorkRef Work;
};

/// State machine of one request, without I/O. Every event gets the time and
/// appends actions. Exactly one of FinishAnswer, AnswerCall, RefuseRequest and
/// AbortAnswer is ever requested, unless the caller has gone.
class RequestFlow {
public:
  virtual ~RequestFlow() = default;

  /// Begins the request; called once, first.
  virtual void start(TimePoint Now, FlowActions &Out) = 0;

  /// Answer to DebitAccount.
  void debited(const Status &Answer, TimePoint Now, FlowActions &Out);

  /// Answers to FindPlacement.
  virtual void placed(const Placement &Where, TimePoint Now,
                      FlowActions &Out) = 0;
  virtual void notPlaced(const Error &Why, TimePoint Now, FlowActions &Out) = 0;

  /// Answer to AppendClaim: the claim that won, or why none could be recorded.
  virtual void claimed(const Result<wire::ClaimState> &Answer, TimePoint Now,
                       FlowActions &Out);

  /// A message from the agent of \p Endpoint.
  virtual void received(std::string_view Endpoint,
                        const wire::Envelope &Message, TimePoint Now,
                        FlowActions &Out) = 0;

  /// The agent of \p Endpoint restarted or cannot be reached any more.
  virtual void endpointLost(std::string_view Endpoint, TimePoint Now,
                            FlowActions &Out) = 0;

  /// The link to the agent of \p Endpoint was replaced; messages may be lost.
  virtual void linkReplaced(std::string_view Endpoint, TimePoint Now,
                            FlowActions &Out) = 0;

  /// The caller disconnected.
  void callerDisconnected(TimePoint Now, FlowActions &Out);

  /// The configuration changed; a request that waits is refused if its key was
  /// withdrawn.
  void recheckKey(TimePoint Now, FlowActions &Out);

  /// Time passed; to be called at wakeAt().
  virtual void tick(TimePoint Now, FlowActions &Out) = 0;

  /// Next time at which tick has something to do.
  virtual TimePoint wakeAt() const = 0;

  /// True if the flow will request nothing more and can be dropped.
  bool finished() const { return Done && !DebitPending; }

  /// Work that agents may hold for this request.
  const std::vector<LiveLeg> &liveLegs() const { return Legs; }

  const FlowSpec &spec() const { return Spec; }

protected:
  RequestFlow(FlowSpec Spec, FlowContext &Context)
      : Spec(std::move(Spec)), Context(Context) {}

  /// The debit was granted, or none was needed.
  virtual void admitted(TimePoint Now, FlowActions &Out) = 0;

  /// True while nothing of the request is at an agent.
  virtual bool waiting() const = 0;

  /// Tokens of the debit that were used when the request ends now.
  virtual std::uint64_t usedTokens() const = 0;

  void askDebit(FlowActions &Out);

  /// Requests the one terminal action and ends the flow.
  void finish(FlowAction Terminal, FlowActions &Out);
  void refuse(Error Cause, FlowActions &Out);

  /// Adds a leg that an agent may hold from now on.
  void addLeg(const std::string &Endpoint, wire::Leg Which);
  const LiveLeg *findLeg(wire::Leg Which) const;
  void endLeg(wire::Leg Which, WorkEndReason Reason, bool SendCancel,
              FlowActions &Out);
  void endAllLegs(WorkEndReason Reason, FlowActions &Out);
  wire::WorkRef work(wire::Leg Which) const;
  /// True if \p Work names the current attempt's leg at \p Endpoint.
  bool concerns(const wire::WorkRef &Work, std::string_view Endpoint) const;

  /// Checks the key again, and refuses the request if it was withdrawn.
  /// Returns false if so.
  bool mayDispatch(FlowActions &Out);

  /// A start for \p Account is about to be sent.
  void startSent(std::string_view Account);
  void startConfirmedNotRun();
  bool notRun() const { return OpenStarts == 0 && !Ran; }

  void record(EventKind Kind, std::string_view Endpoint,
              std::string Detail = {}) const;

  FlowSpec Spec;
  FlowContext &Context;
  std::uint32_t Attempt = 0;
  std::uint32_t EmittedTokens = 0;
  bool Ran = false; ///< some agent has run a part of the request
  bool Done = false;

private:
  bool DebitPending = false;
  bool DebitGranted = false;
  bool Refunded = false;
  std::uint32_t OpenStarts = 0; ///< starts not confirmed as "not run"
  std::uint32_t Terminals = 0;
  std::vector<LiveLeg> Legs;
};

/// Makes the flow of a completion.
std::unique_ptr<RequestFlow> makeCompletionFlow(FlowSpec Spec,
                                                FlowContext &Context);

/// Makes the flow of a plain call.
std::unique_ptr<RequestFlow> makeCallFlow(FlowSpec Spec, FlowContext &Context);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REQUEST_FLOW_HPP
