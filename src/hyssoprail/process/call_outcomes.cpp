#include "hyssoprail/process/call_outcomes.hpp"

namespace hyssoprail {

const CallRecord *CallOutcomes::find(const std::string &RequestId,
                                     const std::string &Claim) const {
  // A call that ran for the same claim under another request id takes
  // precedence over the record of this request id.
  if (auto ClaimIt = RequestByClaim.find(Claim);
      !Claim.empty() && ClaimIt != RequestByClaim.end())
    if (auto It = Records.find(ClaimIt->second);
        It != Records.end() && It->second.Outcome != wire::CALL_OUTCOME_NOT_RUN)
      return &It->second;
  auto It = Records.find(RequestId);
  return It == Records.end() ? nullptr : &It->second;
}

void CallOutcomes::recordStart(const std::string &RequestId,
                               std::uint32_t Attempt, const std::string &Claim,
                               TimePoint Now) {
  CallRecord &Record = Records[RequestId];
  Record.Outcome = wire::CALL_OUTCOME_RUNNING;
  Record.Attempt = Attempt;
  Record.Claim = Claim;
  Record.UpdatedAt = Now;
  if (!Claim.empty())
    RequestByClaim[Claim] = RequestId;
}

void CallOutcomes::recordResult(const std::string &RequestId,
                                wire::CallOutcome Outcome,
                                wire::CallReply Reply, TimePoint Now) {
  auto It = Records.find(RequestId);
  if (It == Records.end())
    return;
  CallRecord &Record = It->second;
  Record.Outcome = Outcome;
  Record.UpdatedAt = Now;
  Record.Reply = std::move(Reply);
  ReplyBytes += Record.Reply.body().size();
  ReplyQueue.push_back(RequestId);
  EndedCalls.emplace_back(Now, RequestId);
  evictReplies();
}

void CallOutcomes::recordNotRun(const std::string &RequestId,
                                std::uint32_t Attempt, TimePoint Now) {
  CallRecord &Record = Records[RequestId];
  Record.Outcome = wire::CALL_OUTCOME_NOT_RUN;
  Record.Attempt = Attempt;
  Record.UpdatedAt = Now;
  EndedCalls.emplace_back(Now, RequestId);
}

void CallOutcomes::expire(TimePoint Now) {
  while (!EndedCalls.empty() &&
         Now - EndedCalls.front().first > Limits.Retention) {
    const auto [EndedAt, RequestId] = EndedCalls.front();
    EndedCalls.pop_front();
    auto It = Records.find(RequestId);
    // Skip if a later attempt of the same request has updated the record.
    if (It == Records.end() || It->second.UpdatedAt != EndedAt ||
        It->second.Outcome == wire::CALL_OUTCOME_RUNNING)
      continue;
    ReplyBytes -= It->second.Reply.body().size();
    if (auto ClaimIt = RequestByClaim.find(It->second.Claim);
        ClaimIt != RequestByClaim.end() && ClaimIt->second == RequestId)
      RequestByClaim.erase(ClaimIt);
    Records.erase(It);
  }
}

void CallOutcomes::evictReplies() {
  while (ReplyBytes > Limits.MaxReplyBytes && !ReplyQueue.empty()) {
    auto It = Records.find(ReplyQueue.front());
    ReplyQueue.pop_front();
    if (It == Records.end() || It->second.Reply.body().empty())
      continue;
    ReplyBytes -= It->second.Reply.body().size();
    It->second.Reply.Clear();
    It->second.Outcome = wire::CALL_OUTCOME_UNKNOWN;
  }
}

} // namespace hyssoprail
