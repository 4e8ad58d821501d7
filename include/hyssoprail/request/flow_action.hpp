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

/// Debit \p Tokens of the account; answered by RequestFlow::debited.
struct DebitAccount {
  std::uint64_t Tokens = 0;
};

/// Return the unused part of the debit.
struct RefundTokens {
  std::uint64_t Tokens = 0;
};

/// Ask the scheduler for endpoints; answered by RequestFlow::placed or
/// notPlaced.
struct FindPlacement {
  std::uint32_t Attempt = 1;
  std::uint32_t ResumedTokens = 0; ///< output tokens that were already emitted
  bool Started = false;            ///< the caller's answer has begun
  std::string AvoidEndpoint;       ///< failed in the previous attempt
};

/// How the part of an attempt at one endpoint ended.
enum class WorkEndReason {
  Completed, ///< it ran to its end
  Refused,   ///< the endpoint had no room; nothing ran
  Failed,    ///< the endpoint failed or timed out
  Cancelled, ///< the entry gave up on it
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

/// Append a claim record; answered by RequestFlow::claimed.
struct AppendClaim {
  wire::Claim Claim;
};

/// Append the outcome of a claimed call; not answered.
struct RecordOutcome {
  wire::ClaimOutcome Outcome;
};

/// Give output tokens to the caller.
struct EmitTokens {
  std::uint32_t FirstIndex = 0;
  std::vector<std::string> Tokens;
};

/// Complete the caller's answer.
struct FinishAnswer {
  std::string FinishReason;
  std::uint32_t OutputTokens = 0;
};

/// Give the answer of a plain call to the caller.
struct AnswerCall {
  wire::CallReply Reply;
};

/// Reject the request; no answer has begun.
struct RefuseRequest {
  Refusal Details;
};

/// Break off an answer that has begun and cannot be completed.
struct AbortAnswer {
  Error Cause;
};

using FlowAction =
    std::variant<DebitAccount, RefundTokens, FindPlacement, EndWork,
                 SendMessage, AppendClaim, RecordOutcome, EmitTokens,
                 FinishAnswer, AnswerCall, RefuseRequest, AbortAnswer>;

/// Actions in the order in which they must be carried out.
using FlowActions = std::vector<FlowAction>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_FLOW_ACTION_HPP
