#ifndef HYSSOPRAIL_REQUEST_FLOW_ACTION_HPP
#define HYSSOPRAIL_REQUEST_FLOW_ACTION_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/request/refusal.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Debit \p Tokens from the account's token budget; the result is passed to
/// RequestFlow::debited.
struct DebitAccount {
  std::uint64_t Tokens = 0;
};

/// Return the unused part of the debit to the account.
struct RefundTokens {
  std::uint64_t Tokens = 0;
};

/// Ask the scheduler for endpoints; the result is passed to RequestFlow::placed
/// or RequestFlow::notPlaced.
struct FindPlacement {
  std::uint32_t Attempt = 1;
  std::uint32_t ResumedTokens = 0; ///< output tokens already emitted
  bool Started = false;            ///< the answer to the caller has begun
  std::string AvoidEndpoint;       ///< refused or failed the previous attempt
};

/// Why one leg of an attempt, the work at one endpoint, ended.
enum class WorkEndReason {
  Completed, ///< the work was completed or is no longer needed
  Refused,   ///< the endpoint did not accept the work; nothing ran
  Failed,    ///< the endpoint failed or timed out
  Cancelled, ///< the entry process cancelled the work
};

/// Tell the scheduler that work at an endpoint ended.
struct EndWork {
  std::string Endpoint;
  wire::WorkRef Work;
  WorkEndReason Reason = WorkEndReason::Completed;
  std::uint32_t OutputTokens = 0;
};

/// Send a message to an endpoint's agent.
struct SendMessage {
  std::string Endpoint;
  wire::Envelope Message;
};

/// Append a claim of an idempotency key to the log; the result is passed to
/// RequestFlow::claimed.
struct AppendClaim {
  wire::Claim Claim;
};

/// Append the outcome of a claimed call to the log. No result is passed back.
struct RecordOutcome {
  wire::ClaimOutcome Outcome;
};

/// Send output tokens to the caller.
struct EmitTokens {
  std::uint32_t FirstIndex = 0;
  std::vector<std::string> Tokens;
};

/// Complete the answer to the caller.
struct FinishAnswer {
  std::string FinishReason;
  std::uint32_t OutputTokens = 0;
};

/// Send the reply to a plain call (not a completion) to the caller.
struct AnswerCall {
  wire::CallReply Reply;
};

/// Reject the request. Nothing of an answer has been sent to the caller.
struct RefuseRequest {
  Refusal Details;
};

/// Abort a streamed answer of which the caller already has a part and which
/// cannot be completed.
struct AbortAnswer {
  Error Cause;
};

using FlowAction =
    std::variant<DebitAccount, RefundTokens, FindPlacement, EndWork,
                 SendMessage, AppendClaim, RecordOutcome, EmitTokens,
                 FinishAnswer, AnswerCall, RefuseRequest, AbortAnswer>;

/// Actions in the order in which they must be performed.
using FlowActions = std::vector<FlowAction>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_FLOW_ACTION_HPP
