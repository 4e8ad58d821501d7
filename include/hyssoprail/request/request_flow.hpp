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

/// A plain call (not a completion) as it is sent to a service endpoint.
struct CallRequest {
  std::string Method;
  std::string Target;
  HttpHeaders Headers; ///< without the headers that carry the API key
  std::string Body;
  bool Repeatable = false;
  std::string ClaimId; ///< set for non-repeatable calls with an idempotency key
  std::string RequestDigest; ///< digest of method, target and body
  /// Claim of the same idempotency key that was already recorded.
  std::optional<wire::ClaimState> ExistingClaim;
};

/// Properties of a request that are known when it is accepted.
struct FlowSpec {
  std::string RequestId;
  std::string Account;   ///< empty on routes that need no API key
  std::string KeyDigest; ///< empty on routes that need no API key
  std::string Route;
  std::string Pool;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  std::uint32_t Weight = 1; ///< the account's rate, tokens per second
  std::uint64_t DebitTokens = 0;
  TimePoint Accepted;
  TimePoint FirstTokenBy = TimePoint::max();
  TimePoint Deadline = TimePoint::max(); ///< for the complete answer
  CompletionRequest Completion;
  CallRequest Call;
};

/// Endpoints that the scheduler chose for one attempt.
struct Placement {
  std::string Decode; ///< decode endpoint, or service endpoint of a plain call
  std::string Prefill;
  bool ReserveFirst = true;        ///< reserve the decode slot before prefill
  milliseconds NeededIn{0};        ///< time until the decode slot is needed
  milliseconds ReserveWait{0};     ///< longest wait in the agent's queue
  milliseconds PrefillEstimate{0}; ///< queueing and computation
  milliseconds TransferEstimate{0};
  std::uint64_t Version = 0; ///< configuration version used for the decision
};

/// Time limits of a flow.
struct FlowTiming {
  milliseconds ReserveSlack{1'000};  ///< added to Placement::ReserveWait
  milliseconds PrefillSlack{2'000};  ///< added to four times the estimate
  milliseconds TransferSlack{1'000}; ///< added to four times the estimate
  milliseconds ResendTimeout{500};   ///< without a chunk, requests a resend
  milliseconds StallTimeout{2'500};  ///< without a chunk, fails the attempt
  milliseconds RefusalBackoff{10};   ///< times the number of refusals so far
  milliseconds OutcomePollInterval{250}; ///< between two outcome queries
};

/// Dependencies of a flow.
struct FlowContext {
  Invariants &Checks;
  Timeline &Events;
  FlowTiming Timing;
  /// Returns whether the key with this digest is valid and belongs to this
  /// account.
  std::function<bool(std::string_view KeyDigest, std::string_view Account)>
      KeyValid;
  /// Takes one retry from the retry budgets of the account and the pool.
  /// Returns the backoff before the retry, or nothing if a budget is used up.
  std::function<std::optional<Duration>(const FlowSpec &Spec,
                                        std::uint32_t Attempt, TimePoint Now)>
      TakeRetry;
};

/// One leg of the current attempt: work at one endpoint that the endpoint's
/// agent may still hold for the request.
struct LiveLeg {
  std::string Endpoint;
  wire::WorkRef Work;
};

/// State machine of one request, without I/O. Every event handler is given the
/// current time and appends actions for the owner of the flow to perform.
/// Exactly one terminal action (FinishAnswer, AnswerCall, RefuseRequest or
/// AbortAnswer) is requested, or none if the caller has disconnected before.
class RequestFlow {
public:
  virtual ~RequestFlow() = default;

  /// Starts the request. Called once, before any other event.
  virtual void start(TimePoint Now, FlowActions &Out) = 0;

  /// Result of DebitAccount.
  void debited(const Status &Answer, TimePoint Now, FlowActions &Out);

  /// Results of FindPlacement.
  virtual void placed(const Placement &Where, TimePoint Now,
                      FlowActions &Out) = 0;
  virtual void notPlaced(const Error &Why, TimePoint Now, FlowActions &Out) = 0;

  /// Result of AppendClaim: the first claim recorded for the key, which may be
  /// of another request, or why no claim could be recorded.
  virtual void claimed(const Result<wire::ClaimState> &Answer, TimePoint Now,
                       FlowActions &Out);

  /// A message from the agent of \p Endpoint.
  virtual void received(std::string_view Endpoint,
                        const wire::Envelope &Message, TimePoint Now,
                        FlowActions &Out) = 0;

  /// The agent of \p Endpoint restarted or is no longer reachable.
  virtual void endpointLost(std::string_view Endpoint, TimePoint Now,
                            FlowActions &Out) = 0;

  /// The connection to the agent of \p Endpoint was replaced; messages may have
  /// been lost.
  virtual void linkReplaced(std::string_view Endpoint, TimePoint Now,
                            FlowActions &Out) = 0;

  /// The caller disconnected.
  void callerDisconnected(TimePoint Now, FlowActions &Out);

  /// The configuration changed. Refuses the request if its key was withdrawn
  /// and no agent holds work for it yet.
  void recheckKey(TimePoint Now, FlowActions &Out);

  /// Handles timeouts. Must be called at the time that wakeAt() returns.
  virtual void tick(TimePoint Now, FlowActions &Out) = 0;

  /// Returns the time of the next timeout.
  virtual TimePoint wakeAt() const = 0;

  /// Returns true if the flow will request no more actions and can be
  /// destroyed.
  bool finished() const { return Done && !DebitPending; }

  /// Legs that agents may still hold for this request.
  const std::vector<LiveLeg> &liveLegs() const { return Legs; }

  const FlowSpec &spec() const { return Spec; }

protected:
  RequestFlow(FlowSpec Spec, FlowContext &Context)
      : Spec(std::move(Spec)), Context(Context) {}

  /// The debit was granted, or none was needed.
  virtual void onAdmitted(TimePoint Now, FlowActions &Out) = 0;

  /// Returns true while no agent holds work for the request.
  virtual bool waiting() const = 0;

  /// Returns how many of the debited tokens are used up if the request ends
  /// now.
  virtual std::uint64_t usedTokens() const = 0;

  void requestDebit(FlowActions &Out);

  /// Requests the terminal action, cancels the live legs and ends the flow.
  void finish(FlowAction TerminalAction, FlowActions &Out);
  /// Refuses the request, or aborts the answer if a part of it was streamed.
  void refuse(Error Cause, FlowActions &Out);

  /// Adds a leg, before the message that creates it at the agent is sent.
  void addLeg(const std::string &Endpoint, wire::Leg Which);
  const LiveLeg *findLeg(wire::Leg Which) const;
  void endLeg(wire::Leg Which, WorkEndReason Reason, bool SendCancel,
              FlowActions &Out);
  void endAllLegs(WorkEndReason Reason, FlowActions &Out);
  wire::WorkRef work(wire::Leg Which) const;
  /// Returns true if \p Work is a live leg of the current attempt at \p
  /// Endpoint.
  bool matchesLiveLeg(const wire::WorkRef &Work,
                      std::string_view Endpoint) const;

  /// Checks the API key again. Refuses the request and returns false if the key
  /// was withdrawn.
  bool ensureKeyValid(FlowActions &Out);

  /// Counts a start message for \p Account that is about to be sent.
  void onStartSent(std::string_view Account);
  /// An agent confirmed that it did not run a start and will not run it later.
  void onStartConfirmedNotRun();
  /// Returns true if no agent has run, or may still run, a part of the request.
  bool notRun() const { return OpenStarts == 0 && !Ran; }

  void record(EventKind Kind, std::string_view Endpoint,
              std::string Detail = {}) const;

  FlowSpec Spec;
  FlowContext &Context;
  std::uint32_t Attempt = 0;
  std::uint32_t EmittedTokens = 0;
  bool Ran = false; ///< an agent has run a part of the request
  bool Done = false;

private:
  bool DebitPending = false;
  bool DebitGranted = false;
  bool Refunded = false;
  std::uint32_t OpenStarts = 0; ///< starts sent and not confirmed as not run
  std::uint32_t TerminalActions = 0;
  std::vector<LiveLeg> Legs;
};

/// Creates the flow of a completion.
std::unique_ptr<RequestFlow> makeCompletionFlow(FlowSpec Spec,
                                                FlowContext &Context);

/// Creates the flow of a plain call.
std::unique_ptr<RequestFlow> makeCallFlow(FlowSpec Spec, FlowContext &Context);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REQUEST_FLOW_HPP
